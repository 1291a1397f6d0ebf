package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/gateway/sse"
	"github.com/skylarkstep/skylarkstep/gateway/upstream"
)

const (
	// chunkSize is the size in bytes of the buffer for one read from a stream.
	chunkSize = 4 << 10
	// stallCheckInterval is how often a stream without new events is checked.
	stallCheckInterval = 100 * time.Millisecond
	// stallTimeout is the time without an event after which a stream is retried
	// on another target, if other streams of its target continue.
	stallTimeout = 900 * time.Millisecond
	// unresponsiveStallTimeout is the time without an event after which a stream is
	// retried if the coordinator of the group gets no reply from its target either.
	unresponsiveStallTimeout = 400 * time.Millisecond
	// pathLossTimeout is the time after which a target that sends nothing at
	// all counts as unreachable, if other targets of the back end continue to
	// send.
	pathLossTimeout = 1300 * time.Millisecond
	// eventTimeout limits the time from the first byte of an event to its end.
	// Targets send an event in one write. Callers drop a stream that pauses for
	// longer than this.
	eventTimeout = 2 * time.Second
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

// streamProgress records when a stream was requested and when it last made
// progress. Bytes that complete no event are no progress.
type streamProgress struct {
	sentAt time.Time
	// lastEventAt is when an event was last complete; zero before the first one.
	lastEventAt time.Time
	// incompleteSince is when the first byte of an incomplete event arrived; zero
	// if there is none.
	incompleteSince time.Time
}

func (p streamProgress) idleSince() time.Time {
	if p.lastEventAt.IsZero() {
		return p.sentAt
	}
	return p.lastEventAt
}

// isStalled reports whether a stream has been idle for too long although others
// continue. If all are idle, another target would not help, and the work that
// is queued at this one would be lost.
func (x *exchange) isStalled(t *target, progress streamProgress, now time.Time) bool {
	idle := now.Sub(progress.idleSince())
	if idle < unresponsiveStallTimeout || !x.route.Retryable() || x.countedAttempts+1 >= x.route.MaxAttempts {
		return false
	}
	t.mu.Lock()
	lastByteAt, newestRespondingSentAt, unresponsive := t.lastByteAt, t.newestRespondingSentAt, t.isUnresponsive(now)
	t.mu.Unlock()
	respondingSince := x.g.queues.forBackend(x.backend).respondingSince(now)
	if unresponsive && !respondingSince.IsZero() {
		return true
	}
	if idle < stallTimeout {
		return false
	}
	if progress.lastEventAt.IsZero() && newestRespondingSentAt.After(progress.sentAt) {
		return true // a request that was sent later already receives its response
	}
	if !progress.lastEventAt.IsZero() && lastByteAt.Sub(progress.lastEventAt) > stallTimeout {
		return true // other streams of the target continue
	}
	return !respondingSince.IsZero() && now.Sub(respondingSince) > pathLossTimeout && now.Sub(lastByteAt) > pathLossTimeout
}

var errCallerNotReading = errors.New("the caller does not read")

// relay forwards complete events until the response ends.
func (x *exchange) relay(ctx context.Context, res attemptResult, sentAt time.Time, events *sse.Splitter, headerSent *bool) attemptResult {
	defer res.resp.Close()
	chunks := make(chan []byte)
	readErr := make(chan error, 1)
	go readChunks(ctx, res.resp.Body, chunks, readErr)
	progress := streamProgress{sentAt: sentAt}
	harmless := false
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case chunk := <-chunks:
			if err := x.relayChunk(res, chunk, &progress, events, headerSent); err != nil {
				return res.lostWith(err)
			}
			if !harmless && progress.lastEventAt.Sub(res.beganAt) >= beginningTime {
				harmless = true
				x.recordHarmless(ctx, progress.lastEventAt)
			}
		case err := <-readErr:
			return x.finishStream(ctx, res, err, progress, events, headerSent)
		case now := <-ticker.C:
			if err := x.checkProgress(res.target, progress, now); err != nil {
				res.target.recordOutcome(true)
				return res.lostWith(err)
			}
		case <-ctx.Done():
			return res.lostWith(errors.WithStack(ctx.Err()))
		}
	}
}

// relayChunk adds bytes to the stream and forwards the events that they complete.
func (x *exchange) relayChunk(res attemptResult, chunk []byte, progress *streamProgress, events *sse.Splitter, headerSent *bool) error {
	now := time.Now()
	eventsBefore := events.Events()
	out, streamErr := events.Push(chunk)
	if events.Events() > eventsBefore {
		progress.lastEventAt = now
		x.timing.recordEvent(now)
		newlyVerified := res.target.recordResponse(now, progress.sentAt)
		x.g.queues.forBackend(x.backend).recordResponse(progress.sentAt, now, newlyVerified)
	}
	switch {
	case !events.Incomplete():
		progress.incompleteSince = time.Time{}
	case out != nil || progress.incompleteSince.IsZero():
		progress.incompleteSince = now
	}
	if out != nil {
		if err := x.writeEvents(res, out, headerSent); err != nil {
			return err
		}
	}
	if streamErr != nil {
		res.target.recordOutcome(true)
		return errors.Wrapf(streamErr, "stream of target %s after event %q", res.target.ID, events.LastID())
	}
	return nil
}

// checkProgress returns an error if a stream has made no progress for too long.
func (x *exchange) checkProgress(t *target, progress streamProgress, now time.Time) error {
	if !progress.incompleteSince.IsZero() && now.Sub(progress.incompleteSince) > eventTimeout {
		return errors.Errorf("target %s did not complete an event in %d ms", t.ID, now.Sub(progress.incompleteSince).Milliseconds())
	}
	if x.isStalled(t, progress, now) {
		return errors.Errorf("target %s sent no event for %d ms in a stream", t.ID, now.Sub(progress.idleSince()).Milliseconds())
	}
	return nil
}

func readChunks(ctx context.Context, body io.Reader, chunks chan<- []byte, readErr chan<- error) {
	for {
		buf := make([]byte, chunkSize)
		n, err := body.Read(buf)
		if n > 0 {
			select {
			case chunks <- buf[:n]:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			readErr <- err
			return
		}
	}
}

// beginStream writes the headers of the first response.
func (x *exchange) beginStream(res attemptResult, headerSent *bool) {
	if *headerSent {
		return
	}
	*headerSent = true
	x.copyHeader(res.resp)
	x.w.WriteHeader(res.resp.StatusCode)
}

// writeEvents writes complete events to the caller. The headers of the first
// response precede them.
func (x *exchange) writeEvents(res attemptResult, out []byte, headerSent *bool) error {
	x.beginStream(res, headerSent)
	if err := x.write(out); err != nil {
		return errCallerNotReading
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errCallerNotReading
	}
	return nil
}

// finishStream determines whether a stream ended completely. One that only the end
// of its connection ends did not if it has no event or its target has crashed.
func (x *exchange) finishStream(ctx context.Context, res attemptResult, err error, progress streamProgress, events *sse.Splitter, headerSent *bool) attemptResult {
	isEmpty := progress.lastEventAt.IsZero() && endsWithConnection(res.resp.Response)
	if !errors.Is(err, io.EOF) || events.Incomplete() || isEmpty || res.endedByCrash(ctx) {
		res.target.recordOutcome(true)
		return res.lostWith(errors.Wrapf(err, "stream of target %s was interrupted after event %q", res.target.ID, events.LastID()))
	}
	x.beginStream(res, headerSent)
	res.resp.Finish()
	return res
}
