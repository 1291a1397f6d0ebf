package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// noTargetRetryAfter tells callers when to come back while no target is usable.
const noTargetRetryAfter = time.Second

// request is one caller's request while the entry works on it.
type request struct {
	entry    *Entry
	id       string
	customer *config.Customer
	backend  string
	deadline time.Time
	tokens   int
	prefix   uint64 // of the prompt, zero for a call
	tried    map[string]bool
	attempts uint32
	received time.Time
}

// attempt is one dispatch to one target. Its frames arrive on a stream of its
// own, so that a late frame of an abandoned attempt reaches nobody.
type attempt struct {
	request *request
	route   *route
	stream  *wire.Stream
	number  uint32
	done    bool
	watch   *watch
	// release detaches the attempt from its context.
	release func() bool
	refused bool // the target itself said why the attempt failed
}

// pick chooses a target that the request has not tried.
func (r *request) pick() (*route, error) {
	s, err := r.entry.ready()
	if err != nil {
		return nil, err
	}
	p := s.pools[r.backend]
	if p == nil {
		return nil, noTarget(r.backend)
	}
	i, err := r.choose(p, balancer.Request{
		Allowed:    func(dc string) bool { return s.config.Serves(r.customer.Name, dc) },
		PrefixHash: r.prefix,
		Tokens:     r.tokens,
		Random:     rand.Uint64(),
	})
	if err != nil {
		return nil, noTarget(r.backend)
	}
	return &p.targets[i], nil
}

func noTarget(backend string) error {
	return errkind.New(errkind.NoTarget, "no target of %s may take the request now", backend).
		WithRetryAfter(retryAfter())
}

// retryAfter has jitter, so that callers refused together don't come back
// together.
func retryAfter() time.Duration { return noTargetRetryAfter/2 + rand.N(noTargetRetryAfter) }

// start dispatches to a target. The error of a dispatch that was not written
// has did-run not_run.
func (r *request) start(ctx context.Context, to *route, d *wirepb.Dispatch) (*attempt, error) {
	r.attempts++
	if r.tried == nil {
		r.tried = map[string]bool{}
	}
	r.tried[to.name] = true
	d.RequestId = r.id
	d.Attempt = r.attempts
	d.Customer = r.customer.Name
	d.CustomerWeight = uint32(max(r.customer.Weight, 1))
	d.Backend = r.backend
	d.RemainingMs = uint64(max(time.Until(r.deadline).Milliseconds(), 1))
	d.EntryRevision = r.entry.revision()
	d.TargetIncarnation = to.incarnation
	d.Hlc = uint64(r.entry.node.Clock.Now())
	r.record(timeline.AttemptStarted, to, r.attempts, nil)
	to.sent.Requests.Add(1)
	to.sent.Tokens.Add(int64(r.tokens))
	st, err := to.session.Open(&wirepb.Open{Body: &wirepb.Open_Dispatch{Dispatch: d}})
	if err != nil {
		to.sent.Requests.Add(-1)
		to.sent.Tokens.Add(-int64(r.tokens))
		r.record(timeline.AttemptEnded, to, r.attempts, err)
		return nil, err
	}
	a := &attempt{request: r, route: to, stream: st, number: r.attempts}
	var suspect func() bool
	if d.GetIdempotent() {
		// A call that may run only once waits for its owner up to its deadline:
		// ending it earlier gains nothing but an unknown outcome.
		suspect = func() bool { return r.entry.isSuspect(to.name) }
	}
	a.watch = newWatch(suspect, a.cancel)
	a.release = context.AfterFunc(ctx, a.cancel)
	return a, nil
}

// cancel tells the target to stop and unblocks recv.
func (a *attempt) cancel() {
	_ = a.stream.Close()
	_ = a.stream.SetReadDeadline(time.Unix(1, 0))
}

// end releases the attempt. It is called exactly once by the owner.
func (a *attempt) end(err error) {
	if a.done {
		return
	}
	a.done = true
	a.release()
	a.cancel()
	a.route.sent.Requests.Add(-1)
	a.route.sent.Tokens.Add(-int64(a.request.tokens))
	a.request.record(timeline.AttemptEnded, a.route, a.number, err)
}

// recv returns the next frame. A failure frame becomes its error; a stream that
// ends without an end frame is TargetLost, and one without progress Stalled.
func (a *attempt) recv() (*wirepb.Frame, error) {
	var f wirepb.Frame
	a.watch.start()
	err := a.stream.Recv(&f)
	if reason := a.watch.stop(&f); reason != "" {
		return nil, errkind.New(errkind.Stalled, "target %s %s", a.route.name, reason)
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.TargetLost, "target %s stopped answering", a.route.name)
	}
	if f.GetHlc() != 0 {
		a.request.entry.node.Clock.Observe(timeline.Timestamp(f.GetHlc()))
	}
	if x := f.GetFailure(); x != nil {
		a.refused = true
		a.request.entry.observeRevision(a.route.session, x.GetRevision())
		return nil, failureError(x)
	}
	return &f, nil
}

func failureError(x *wirepb.Failure) error {
	return errkind.New(errkind.Kind(x.GetKind()), "%s", x.GetMessage()).
		WithDidRun(errkind.DidRun(x.GetDidRun())).
		WithRetryAfter(time.Duration(x.GetRetryAfterMs()) * time.Millisecond)
}

func (r *request) record(kind timeline.Kind, to *route, attempt uint32, err error) {
	switch kind {
	case timeline.RequestReceived:
		r.received = time.Now()
		r.entry.retries.first(r.customer.Name)
	case timeline.RequestFinished:
		r.entry.observeRequest(r.backend, time.Since(r.received), err)
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
