package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// noTargetRetryAfter is the mean retry-after time that callers receive while no
// target can accept their request.
const noTargetRetryAfter = time.Second

// request is a request of a caller that is in progress at this entry.
type request struct {
	entry        *Entry
	id           string
	customer     *config.Customer
	backend      string
	deadline     time.Time
	maxTokens    int
	prefixHash   uint64 // of the prompt; zero for a call
	triedTargets map[string]bool
	attempts     uint32
	receivedAt   time.Time
	// mayHaveRun is set once an attempt has failed that a target may have begun.
	mayHaveRun bool
}

// recordFailure records what the failure of an attempt says about the request.
func (r *request) recordFailure(err *errkind.Error) {
	r.mayHaveRun = r.mayHaveRun || err.DidRun != errkind.NotRun
}

// withTrueDidRun returns the error of the last attempt as that of the request: its
// refusal says nothing about the earlier attempts.
func (r *request) withTrueDidRun(err *errkind.Error) *errkind.Error {
	if r.mayHaveRun && err.DidRun == errkind.NotRun {
		return err.WithDidRun(errkind.Unknown)
	}
	return err
}

// attempt is one dispatch to one target. Each attempt has its own stream, so
// that late frames of an abandoned attempt are never read.
type attempt struct {
	request       *request
	route         *route
	stream        *wire.Stream
	number        uint32
	ended         bool
	stallDetector *stallDetector
	// detach stops the cancellation of the attempt by its context.
	detach           func() bool
	reportedByTarget bool // the target itself returned the failure
}

// pickTarget chooses a target that the request has not tried. It fails with
// NoTarget if there is none.
func (r *request) pickTarget() (*route, error) {
	s, err := r.entry.readySnapshot()
	if err != nil {
		return nil, err
	}
	p := s.pools[r.backend]
	if p == nil {
		return nil, noTarget(r.backend)
	}
	i, err := r.pickUntried(p, balancer.Request{
		Allowed:    func(dc string) bool { return s.config.Serves(r.customer.Name, dc) },
		PrefixHash: r.prefixHash,
		Tokens:     r.maxTokens,
		Random:     rand.Uint64(),
	})
	if err != nil {
		return nil, noTarget(r.backend)
	}
	return &p.targets[i], nil
}

func noTarget(backend string) error {
	return errkind.New(errkind.NoTarget, "no target of %s can accept the request now", backend).
		WithRetryAfter(retryAfter())
}

// retryAfter returns a retry-after time with jitter, so that callers rejected
// together don't retry together.
func retryAfter() time.Duration { return noTargetRetryAfter/2 + rand.N(noTargetRetryAfter) }

// beginAttempt dispatches to a target. If the dispatch was not written, the
// error's DidRun is NotRun.
func (r *request) beginAttempt(ctx context.Context, to *route, d *wirepb.Dispatch) (*attempt, error) {
	if httpapi.CallerLeft(ctx) {
		return nil, errkind.New(errkind.Canceled, "the caller has left before the dispatch").WithDidRun(errkind.NotRun)
	}
	r.attempts++
	if r.triedTargets == nil {
		r.triedTargets = map[string]bool{}
	}
	r.triedTargets[to.name] = true
	d.RequestId = r.id
	d.Attempt = r.attempts
	d.Customer = r.customer.Name
	d.CustomerWeight = uint32(max(r.customer.Weight, 1))
	d.Backend = r.backend
	d.RemainingMs = uint64(max(time.Until(r.deadline).Milliseconds(), 1))
	d.EntryRevision = r.entry.revision()
	d.TargetIncarnation = to.incarnation
	d.Hlc = uint64(r.entry.node.Clock.Now())
	r.recordEvent(timeline.AttemptStarted, to, r.attempts, nil)
	to.outstanding.Requests.Add(1)
	to.outstanding.Tokens.Add(int64(r.maxTokens))
	st, err := to.session.Open(&wirepb.Open{Body: &wirepb.Open_Dispatch{Dispatch: d}})
	if err != nil {
		to.outstanding.Requests.Add(-1)
		to.outstanding.Tokens.Add(-int64(r.maxTokens))
		r.recordEvent(timeline.AttemptEnded, to, r.attempts, err)
		return nil, err
	}
	a := &attempt{request: r, route: to, stream: st, number: r.attempts}
	var suspect func() bool
	if d.GetIdempotent() {
		// A call that may run only once waits for its owner until its deadline:
		// ending it earlier would only make its outcome unknown.
		suspect = func() bool { return r.entry.isSuspect(to.name) }
	}
	a.stallDetector = newStallDetector(suspect, a.cancel)
	a.detach = context.AfterFunc(ctx, a.cancel)
	return a, nil
}

// cancel closes the stream, which tells the target to stop, and unblocks recv.
func (a *attempt) cancel() {
	_ = a.stream.Close()
	_ = a.stream.SetReadDeadline(time.Unix(1, 0))
}

// end releases the attempt and records its result. Only the first call has an
// effect.
func (a *attempt) end(err error) {
	if a.ended {
		return
	}
	a.ended = true
	a.detach()
	a.cancel()
	a.route.outstanding.Requests.Add(-1)
	a.route.outstanding.Tokens.Add(-int64(a.request.maxTokens))
	a.request.recordEvent(timeline.AttemptEnded, a.route, a.number, err)
}

// recv returns the next frame. A failure frame is returned as its error. A
// stream that ends without an end frame fails with TargetLost, and one without
// progress with Stalled.
func (a *attempt) recv() (*wirepb.Frame, error) {
	var f wirepb.Frame
	a.stallDetector.startWait()
	err := a.stream.Recv(&f)
	if reason := a.stallDetector.endWait(&f); reason != "" {
		return nil, errkind.New(errkind.Stalled, "target %s %s", a.route.name, reason)
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.TargetLost, "target %s stopped answering", a.route.name)
	}
	if f.GetHlc() != 0 {
		a.request.entry.node.Clock.Observe(timeline.Timestamp(f.GetHlc()))
	}
	if failure := f.GetFailure(); failure != nil {
		a.reportedByTarget = true
		a.request.entry.observeRevision(a.route.session, failure.GetRevision())
		return nil, failureError(failure)
	}
	return &f, nil
}

func failureError(f *wirepb.Failure) error {
	return errkind.New(errkind.Kind(f.GetKind()), "%s", f.GetMessage()).
		WithDidRun(errkind.DidRun(f.GetDidRun())).
		WithRetryAfter(time.Duration(f.GetRetryAfterMs()) * time.Millisecond)
}

// recordEvent records an event of the request on the timeline and in the
// metrics. The end of an attempt is also evidence about the health of its
// target.
func (r *request) recordEvent(kind timeline.Kind, to *route, attempt uint32, err error) {
	switch kind {
	case timeline.RequestReceived:
		r.receivedAt = time.Now()
		r.entry.retries.recordFirstAttempt(r.customer.Name)
	case timeline.RequestFinished:
		r.entry.observeRequest(r.backend, time.Since(r.receivedAt), err)
	case timeline.AttemptStarted:
		r.entry.counter(metricAttempts).Inc(1)
	case timeline.AttemptEnded:
		r.entry.observeAttempt(to, err)
		r.observeHealth(to, err)
	}
	ev := timeline.Event{
		Kind:      kind,
		RequestID: r.id,
		Attempt:   attempt,
		Customer:  r.customer.Name,
		Backend:   r.backend,
		Revision:  r.entry.revision(),
	}
	if to != nil {
		ev.Target, ev.DataCentre = to.name, to.dataCentre
	}
	if err != nil {
		x := errkind.From(err)
		ev.Error, ev.DidRun = x.Kind.String(), x.DidRun.String()
	}
	r.entry.node.Events.Record(ev)
}
