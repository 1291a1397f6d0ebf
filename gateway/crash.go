package gateway

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/gateway/crashguard"
	"github.com/skylarkstep/skylarkstep/routing/quarantine"
)

const (
	// beginningTime is how long after the first byte of its response a request
	// may still have crashed its target. A part that crashes targets does so as
	// soon as they begin to write.
	beginningTime = time.Second
	// exitCheckTimeout limits the check whether a target has crashed. A crashed
	// one refuses connections at once.
	exitCheckTimeout = 200 * time.Millisecond
	// exitCheckValidity is how long a target that refused a connection counts as
	// crashed without another check: all requests at it are lost at once. It may
	// accept connections again later, if the network had refused them.
	exitCheckValidity = time.Second
	// probeRetryAfter is the Retry-After of a request whose suspect is being probed
	// by another request.
	probeRetryAfter = time.Second
)

// enterGuard makes the request known to the guard, and makes it end at once if it,
// or a part of its prompt, is quarantined while it is in progress. The returned
// function ends that.
func (x *exchange) enterGuard(cancel context.CancelFunc) (leave func()) {
	r := crashguard.Request{Method: x.r.Method, Host: x.r.Host, URI: x.r.RequestURI, Body: x.body}
	if x.customer != nil {
		r.Customer = x.customer.Name
	}
	x.fingerprint = r.Fingerprint()
	parts := crashguard.SharedParts(x.meta.PromptParts)
	x.admission = x.g.guard.Enter(parts, quarantine.RequestSubject(x.fingerprint), x.stopsGroup(), time.Now(), func(e quarantine.Entry) {
		x.quarantinedBy.Store(&e)
		cancel()
	})
	return x.admission.Leave
}

// stopsGroup reports whether the targets of the back end form rank groups.
func (x *exchange) stopsGroup() bool {
	b := x.snapshot.table.Backend(x.backend)
	return b != nil && b.Experts != nil
}

// admitSubjects returns an error if the request must not be sent to a target: it, or
// a part of its prompt, crashes targets, or is suspected to and is being probed by
// another request.
func (x *exchange) admitSubjects(now time.Time) error {
	switch o := x.admission.Check(now, x.snapshot.probes); {
	case o == nil:
		return nil
	case o.Entry != nil:
		return x.quarantinedError(o.Entry, now)
	case o.AtOtherInstance:
		return x.suspectError(o.Subject, "is probed at another instance", jitter(probeRetryAfter))
	case o.Wait > 0:
		return x.suspectError(o.Subject, "was in progress when a target crashed, or was just probed", o.Wait)
	default:
		return x.suspectError(o.Subject, "has crashed targets and is being probed by another request", jitter(probeRetryAfter))
	}
}

// probes reports whether this instance is the one that probes a subject if only one
// may.
func (s *snapshot) probes(subject string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(subject))
	return int(h.Sum32()%uint32(max(1, s.instanceCount))) == s.position
}

// quarantinedError returns the final error of a request that is quarantined, or
// has a quarantined part.
func (x *exchange) quarantinedError(e *quarantine.Entry, now time.Time) error {
	x.g.metrics.quarantineRefusals.Inc(1)
	x.quarantinedSubject = e.Subject
	return x.subjectError(e.Ends().Sub(now), "%s has crashed %d targets", describeSubject(e.Subject), len(e.Crashes))
}

func (x *exchange) suspectError(subject, reason string, retryAfter time.Duration) error {
	x.g.metrics.quarantineRefusals.Inc(1)
	x.quarantinedSubject = subject
	return x.subjectError(retryAfter, "%s %s", describeSubject(subject), reason)
}

func describeSubject(subject string) string {
	if quarantine.IsRequest(subject) {
		return "this request (" + subject + ")"
	}
	return "part " + subject + " of the prompt"
}

func (x *exchange) subjectError(retryAfter time.Duration, format string, args ...any) error {
	if x.mayHaveRun {
		return errkind.New(errkind.TargetLost, format, args...)
	}
	return errkind.New(errkind.Quarantined, format, args...).WithRetryAfter(retryAfter)
}

// isConnectionEnd reports whether the target, or the network, has ended the
// connection.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// endsWithConnection reports whether only the end of the connection shows the end
// of the response.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// endedByCrash reports whether a response that only the end of its connection ends
// did so because its target crashed.
func (r *attemptResult) endedByCrash(ctx context.Context) bool {
	return endsWithConnection(r.resp.Response) && !r.target.isLeaving() && r.target.hasExited(ctx)
}

// reportAttempt records what the result of an attempt says about the request and
// the parts of its prompt.
func (x *exchange) reportAttempt(ctx context.Context, res attemptResult) {
	switch now := time.Now(); {
	case res.verdict == succeeded && !endsWithConnection(res.resp.Response):
		x.recordHarmless(ctx, now)
	case res.verdict == lost && ctx.Err() == nil && isConnectionEnd(res.err) && res.isBeginning(now):
		x.recordLoss(ctx, res.target, now)
	}
}

// recordHarmless records that the request and the parts of its prompt do not crash
// targets: the response is complete, or has gone on for longer than beginningTime.
func (x *exchange) recordHarmless(ctx context.Context, now time.Time) {
	report := x.admission.Complete(now)
	if len(report) > 0 {
		x.g.control.post(ctx, func() { x.g.control.crashes.RecordCompletions(report, now) })
	}
}

// isBeginning reports whether the target had at most just begun to respond.
func (r *attemptResult) isBeginning(now time.Time) bool {
	return r.beganAt.IsZero() || now.Sub(r.beganAt) < beginningTime
}

// recordLoss records that the connection to a target ended when it had at most
// just begun to respond. If the target has crashed, that counts against the
// request and the parts of its prompt.
func (x *exchange) recordLoss(ctx context.Context, t *target, now time.Time) {
	if t.isLeaving() {
		return
	}
	crashed := t.hasExited(ctx)
	suspects := x.admission.Suspects()
	x.g.control.call(ctx, func() {
		c := x.g.control
		if crashed {
			c.crashes.RecordCrash(t.crashID(), suspects, now)
			return
		}
		known := c.targets[t.ID]
		c.crashes.RecordLoss(t.crashID(), suspects, known == nil || known.Incarnation != t.Incarnation, now)
	})
	if crashed {
		x.crashedTarget.Store(true)
	}
}

// hasExited reports whether the target refuses connections.
func (t *target) hasExited(ctx context.Context) bool {
	refusedAt := t.refusedAt.Load()
	if refusedAt != 0 && monotonic(time.Now())-refusedAt < int64(exitCheckValidity) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, exitCheckTimeout)
	defer cancel()
	if !errors.Is(t.pool.Check(ctx), syscall.ECONNREFUSED) {
		return false
	}
	t.refusedAt.Store(monotonic(time.Now()))
	return true
}

func (t *target) crashID() quarantine.CrashID {
	return quarantine.CrashID{Target: t.ID, Incarnation: t.Incarnation}
}

// mayCrashAgain reports whether the request was in progress when a target crashed,
// and it or one of its parts was at several crashes.
func (x *exchange) mayCrashAgain() bool { return x.crashedTarget.Load() && x.admission.HasSuspect() }
