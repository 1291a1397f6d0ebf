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

// serveStream serves a request whose response is a series of events. If the
// target fails, the stream resumes on another target after the last complete
// event.
func (x *exchange) serveStream(ctx context.Context) error {
	events := sse.Splitter{RequireIDs: x.route.Resumable}
	var lastFailed *attemptResult
	headerSent := false
	for {
		t, err := x.acquireTarget(ctx)
		if err != nil {
			return x.streamFailure(headerSent, lastFailed, err)
		}
		res := x.attemptStream(ctx, t, &events, &headerSent)
		if res.verdict == failed {
			lastFailed = &res
		}
		switch {
		case res.verdict == succeeded && !res.hasEvents():
			return x.forwardResponse(res)
		case res.verdict == succeeded:
			return nil
		case ctx.Err() != nil:
			return x.streamError(headerSent, x.deadlineError())
		case errors.Is(res.err, errCallerNotReading):
			return errkind.Wrap(errInterrupted, errkind.Canceled, "the caller disconnected")
		case x.shouldRetry(res):
			events.Reset()
			x.backOff(ctx, res)
		default:
			return x.streamFailure(headerSent, lastFailed, x.attemptsFailedError())
		}
	}
}

// attemptStream makes one attempt and relays its events. It releases the slot at
// the target.
func (x *exchange) attemptStream(ctx context.Context, t *target, events *sse.Splitter, headerSent *bool) attemptResult {
	startedAt := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	res := x.sendStream(ctx, cancel, t, events.LastID())
	switch {
	case res.verdict == succeeded && *headerSent && !x.continuesStream(res.resp):
		res.resp.Close()
		res.verdict = lost
		res.err = errors.Errorf("target %s resumed a stream with status %d and content type %q", t.ID, res.resp.StatusCode, mediaType(res.resp.Header))
	case res.verdict == succeeded && res.hasEvents():
		res = x.relay(ctx, res, startedAt, events, headerSent)
	case res.verdict == succeeded || res.verdict == failed:
		res = readResponseBody(ctx, res)
	}
	x.reportAttempt(ctx, res)
	x.eventCount = events.Events()
	x.recordAttempt(res)
	slotTime := time.Duration(0)
	if res.verdict == succeeded {
		slotTime = time.Since(startedAt)
		t.recordOutcome(false)
	}
	x.g.queues.forBackend(x.backend).releaseSlot(t, slotTime)
	return res
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

// streamFailure ends a stream whose attempts have failed. As long as nothing has
// been sent to the caller, a target's own error response takes precedence.
func (x *exchange) streamFailure(headerSent bool, lastFailed *attemptResult, err error) error {
	if lastFailed != nil && !headerSent {
		return x.forwardFailure(*lastFailed)
	}
	return x.streamError(headerSent, err)
}

// streamError returns the error of a stream. Once events have been sent, no
// error response is possible, and the connection is interrupted instead.
func (x *exchange) streamError(headerSent bool, err error) error {
	if !headerSent {
		return err
	}
	x.lastErr = err
	return errkind.Wrap(errInterrupted, errkind.KindOf(err), "after %d events", x.eventCount)
}

// sendStream makes one attempt. It cancels the attempt if the target does not
// respond while others do.
func (x *exchange) sendStream(ctx context.Context, cancel func(), t *target, lastEventID string) attemptResult {
	done := make(chan attemptResult, 1)
	go func() { done <- x.send(ctx, t, lastEventID) }()
	sentAt := time.Now()
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case res := <-done:
			return res
		case now := <-ticker.C:
			if x.isStalled(t, streamProgress{sentAt: sentAt}, now) {
				cancel()
				return stalledResult(<-done, now.Sub(sentAt))
			}
		}
	}
}

// stalledResult returns the result of an attempt that was cancelled because the
// target did not respond. A response that arrived meanwhile cannot be used, since
// its connection is closed, but a refusal remains one.
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
