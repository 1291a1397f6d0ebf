package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/gateway/sse"
)

const (
	// chunkSize is the size of the buffer for events in bytes.
	chunkSize = 4 << 10
	// stallCheckInterval is how often a silent stream is looked at.
	stallCheckInterval = 100 * time.Millisecond
	// stallTimeout is the silence after which a stream goes on at another target,
	// if others of its target go on.
	stallTimeout = 900 * time.Millisecond
	// pathLossTimeout is the silence of a whole target that counts as a lost path to it
	// while the other targets of the back end go on.
	pathLossTimeout = 1300 * time.Millisecond
)

// serveStream serves a request whose answer is a series of events. If its target
// breaks off, it goes on at another one after the last whole event.
func (x *exchange) serveStream(ctx context.Context) error {
	var events sse.Splitter
	begun := false
	for {
		t, err := x.acquireTarget(ctx)
		if err != nil {
			return x.streamError(begun, err)
		}
		began := time.Now()
		attempt, cancel := context.WithCancel(ctx)
		res := x.sendStream(attempt, cancel, t, events.LastID())
		if res.verdict == succeeded {
			res = x.relay(attempt, res, began, &events, &begun)
		}
		cancel()
		x.recordAttempt(res)
		x.eventCount = events.Events()
		held := time.Duration(0)
		if res.verdict == succeeded {
			held = time.Since(began)
			t.recordOutcome(false)
		}
		x.g.queues.forBackend(x.backend).releaseSlot(t, held)
		switch {
		case res.verdict == succeeded:
			return nil
		case ctx.Err() != nil:
			return x.streamError(begun, x.deadlineError())
		case errors.Is(res.err, errCallerNotReading):
			return errkind.Wrap(errInterrupted, errkind.Canceled, "the caller has gone")
		case x.shouldRetry(res):
			events.Reset()
			x.backOff(ctx, res)
		case res.verdict == failed && !begun:
			if res = readResponseBody(res); res.verdict == failed {
				return x.forwardFailure(res)
			}
			return x.attemptsFailedError()
		default:
			return x.streamError(begun, x.attemptsFailedError())
		}
	}
}

// streamError returns the error of a stream; once events were sent, the only
// honest end is a cut connection.
func (x *exchange) streamError(begun bool, err error) error {
	if !begun {
		return err
	}
	x.lastErr = err
	return errkind.Wrap(errInterrupted, errkind.KindOf(err), "after %d events", x.eventCount)
}

// sendStream makes one attempt and cancels it if the target stays silent while
// others answer.
func (x *exchange) sendStream(ctx context.Context, cancel func(), t *target, lastEvent string) attemptResult {
	done := make(chan attemptResult, 1)
	go func() { done <- x.send(ctx, t, lastEvent) }()
	began := time.Now()
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case res := <-done:
			return res
		case now := <-ticker.C:
			if x.isStalled(t, streamProgress{sentAt: began}, now) {
				cancel()
				res := <-done
				res.err = errors.Errorf("target %s was silent for %d ms", t.ID, now.Sub(began).Milliseconds())
				t.recordOutcome(true)
				return res
			}
		}
	}
}

// streamProgress is how long a stream has been without an event, and what for.
type streamProgress struct {
	sentAt time.Time
	// lastChunkAt is when the last event came, or the zero time.
	lastChunkAt time.Time
}

func (s streamProgress) idleSince() time.Time {
	if s.lastChunkAt.IsZero() {
		return s.sentAt
	}
	return s.lastChunkAt
}

// isStalled reports whether a stream has been silent for too long although others
// go on. If all are silent, another target would not help, and the work that
// waits at this one would be lost.
func (x *exchange) isStalled(t *target, s streamProgress, now time.Time) bool {
	if now.Sub(s.idleSince()) < stallTimeout || !x.route.Retryable() || x.countedAttempts+1 >= x.route.MaxAttempts {
		return false
	}
	t.mu.Lock()
	lastByte, begunSent := t.lastByteAt, t.newestRespondingSentAt
	t.mu.Unlock()
	if s.lastChunkAt.IsZero() && begunSent.After(s.sentAt) {
		return true // a request that was sent later has begun
	}
	if !s.lastChunkAt.IsZero() && lastByte.Sub(s.lastChunkAt) > stallTimeout {
		return true // other streams of the target go on
	}
	active := x.g.queues.forBackend(x.backend).respondingSince(now)
	return !active.IsZero() && now.Sub(active) > pathLossTimeout && now.Sub(lastByte) > pathLossTimeout
}

var errCallerNotReading = errors.New("the caller does not read")

// relay passes on whole events until the answer ends.
func (x *exchange) relay(ctx context.Context, res attemptResult, sent time.Time, events *sse.Splitter, begun *bool) attemptResult {
	defer res.resp.Close()
	chunks := make(chan []byte)
	ended := make(chan error, 1)
	go readChunks(ctx, res.resp.Body, chunks, ended)
	quiet := streamProgress{sentAt: sent}
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case p := <-chunks:
			quiet.lastChunkAt = time.Now()
			x.timing.recordChunk(quiet.lastChunkAt)
			proves := res.target.recordResponse(quiet.lastChunkAt, sent)
			x.g.queues.forBackend(x.backend).recordResponse(quiet.lastChunkAt, proves)
			if out := events.Push(p); out != nil {
				if err := x.writeEvents(res, out, begun); err != nil {
					return attemptResult{verdict: lost, target: res.target, err: err}
				}
			}
		case err := <-ended:
			return x.finishStream(res, err, events, begun)
		case now := <-ticker.C:
			if x.isStalled(res.target, quiet, now) {
				res.target.recordOutcome(true)
				return attemptResult{verdict: lost, target: res.target, err: errors.Errorf("target %s was silent for %d ms in a stream", res.target.ID, now.Sub(quiet.idleSince()).Milliseconds())}
			}
		case <-ctx.Done():
			return attemptResult{verdict: lost, target: res.target, err: errors.WithStack(ctx.Err())}
		}
	}
}

func readChunks(ctx context.Context, body io.Reader, chunks chan<- []byte, ended chan<- error) {
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
			ended <- err
			return
		}
	}
}

// writeEvents writes whole events, after the header of the first answer.
func (x *exchange) writeEvents(res attemptResult, out []byte, begun *bool) error {
	if !*begun {
		*begun = true
		x.copyHeader(res.resp)
		x.w.WriteHeader(res.resp.StatusCode)
	}
	if err := x.write(out); err != nil {
		return errCallerNotReading
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errCallerNotReading
	}
	return nil
}

// finishStream judges how an answer ended.
func (x *exchange) finishStream(res attemptResult, err error, events *sse.Splitter, begun *bool) attemptResult {
	if !errors.Is(err, io.EOF) || events.Incomplete() {
		res.target.recordOutcome(true)
		return attemptResult{verdict: lost, target: res.target, err: errors.Wrapf(err, "stream of target %s was cut after event %q", res.target.ID, events.LastID())}
	}
	if !*begun {
		*begun = true
		x.copyHeader(res.resp)
		x.w.WriteHeader(res.resp.StatusCode)
	}
	res.resp.Finish()
	return res
}
