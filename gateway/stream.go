package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/gateway/sse"
	"github.com/skylarkstep/skylarkstep/gateway/upstream"
)

// streamExchange is an exchange whose response is a series of events.
type streamExchange struct {
	*exchange
	// ctx ends when nobody needs the response any more.
	ctx    context.Context
	events sse.Splitter
	// headerSent is set once the headers of the response have been sent to the caller.
	headerSent bool
	// lastFailed is the latest error response of a target; nil if there is none.
	lastFailed *attemptResult
	// pendingHedge is the hedge in progress; nil if there is none.
	pendingHedge *streamHedge
	// nextHedgeAt is when another target may be looked for again.
	nextHedgeAt time.Time
	stallLogged bool
}

// streamAttempt is one attempt at a stream.
type streamAttempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	target *target
	sentAt time.Time
	// response receives the result of sending the request, once.
	response chan attemptResult
}

// serveStream serves a request whose response is a series of events. If the
// target fails, or stalls and another one does not, the stream resumes on another target
// after the last complete event.
func (x *exchange) serveStream(ctx context.Context) error {
	s := &streamExchange{exchange: x, ctx: ctx, events: sse.Splitter{RequireIDs: x.route.Resumable}}
	defer s.dropHedge()
	a, err := s.beginAttempt()
	for err == nil {
		res := s.runAttempt(a)
		if res.verdict == failed {
			s.lastFailed = &res
		}
		switch {
		case res.verdict == succeeded && !res.hasEvents():
			return s.forwardResponse(res)
		case res.verdict == succeeded:
			return nil
		case ctx.Err() != nil:
			return s.interruption(s.deadlineError())
		case errors.Is(res.err, errCallerNotReading):
			return errkind.Wrap(errInterrupted, errkind.Canceled, "the caller disconnected")
		}
		a, err = s.nextAttempt(res)
	}
	return s.failure(err)
}

// nextAttempt returns the attempt that follows a result: the hedge, if there is one, or a
// retry.
func (s *streamExchange) nextAttempt(res attemptResult) (*streamAttempt, error) {
	s.events.Reset()
	if a := s.adoptHedge(); a != nil {
		return a, nil
	}
	if !s.shouldRetry(res) {
		return nil, s.attemptsFailedError()
	}
	s.backOff(s.ctx, res)
	return s.beginAttempt()
}

// beginAttempt acquires a target and begins to send the request.
func (s *streamExchange) beginAttempt() (*streamAttempt, error) {
	t, err := s.acquireTarget(s.ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	a := &streamAttempt{ctx: ctx, cancel: cancel, target: t, sentAt: time.Now(), response: make(chan attemptResult, 1)}
	lastEventID := s.events.LastID()
	go func() { a.response <- s.send(ctx, t, lastEventID) }()
	return a, nil
}

// runAttempt relays the events of an attempt. It releases the slot at the target.
func (s *streamExchange) runAttempt(a *streamAttempt) attemptResult {
	defer a.cancel()
	res := s.awaitResponse(a)
	switch {
	case res.verdict == succeeded && s.headerSent && !s.continuesStream(res.resp):
		res.resp.Close()
		res.verdict = lost
		res.err = errors.Errorf("target %s resumed a stream with status %d and content type %q", a.target.ID, res.resp.StatusCode, mediaType(res.resp.Header))
	case res.verdict == succeeded && res.hasEvents():
		res = s.relay(a, res)
	case res.verdict == succeeded || res.verdict == failed:
		res = readResponseBody(a.ctx, res)
	}
	s.reportAttempt(a.ctx, res)
	s.setEventCount()
	s.recordAttempt(res)
	slotTime := time.Duration(0)
	if res.verdict == succeeded {
		slotTime = time.Since(a.sentAt)
		a.target.recordOutcome(false)
	}
	s.g.queues.forBackend(s.backend).releaseSlot(a.target, slotTime)
	return res
}

// setEventCount records how many events the response has. A hedge in progress reads the
// number, which then does not change.
func (s *streamExchange) setEventCount() {
	if n := s.events.Events(); n != s.eventCount {
		s.eventCount = n
	}
}

// hasEvents reports whether the body of a response to a stream consists of
// events. Redirects and errors have other bodies.
func (r *attemptResult) hasEvents() bool { return r.resp.StatusCode < http.StatusMultipleChoices }

// continuesStream reports whether a response can continue the stream that was begun.
// A target may describe its failure in a response with status 200, whose text would
// reach the caller as an event.
func (x *exchange) continuesStream(resp *upstream.Response) bool {
	if resp.StatusCode >= http.StatusMultipleChoices {
		return false
	}
	begun := mediaType(x.w.Header())
	return begun == "" || begun == mediaType(resp.Header)
}

// mediaType returns the content type without its parameters, or "" if there is none.
func mediaType(h http.Header) string {
	value, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(value))
}

// failure ends a stream whose attempts have failed. As long as nothing has
// been sent to the caller, a target's own error response takes precedence.
func (s *streamExchange) failure(err error) error {
	if s.lastFailed != nil && !s.headerSent {
		return s.forwardFailure(*s.lastFailed)
	}
	return s.interruption(err)
}

// interruption returns the error of a stream. Once events have been sent, no
// error response is possible, and the connection is interrupted instead.
func (s *streamExchange) interruption(err error) error {
	if !s.headerSent {
		return err
	}
	s.lastErr = err
	return errkind.Wrap(errInterrupted, errkind.KindOf(err), "after %d events", s.eventCount)
}

// awaitResponse waits for the response of an attempt. If its target has stalled and
// another one goes on with the stream, the attempt ends.
func (s *streamExchange) awaitResponse(a *streamAttempt) attemptResult {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	progress := streamProgress{sentAt: a.sentAt}
	for {
		select {
		case res := <-a.response:
			return res
		case now := <-ticker.C:
			s.checkStall(a, progress, now)
		case res := <-s.hedgeResponse():
			if s.hedgeWins(res) {
				a.cancel()
				return stalledResult(<-a.response, time.Since(a.sentAt))
			}
		}
	}
}

// stalledResult returns the result of an attempt that was cancelled because the
// target did not respond and another one did. A response that arrived meanwhile cannot be
// used, since its connection is closed, but a refusal remains one.
func stalledResult(res attemptResult, idle time.Duration) attemptResult {
	res.target.recordOutcome(true)
	if res.verdict == refused || res.verdict == notSent {
		return res
	}
	if res.resp != nil {
		res.resp.Close()
	}
	return attemptResult{verdict: lost, target: res.target, err: errors.Errorf("target %s sent no response for %d ms", res.target.ID, idle.Milliseconds())}
}
