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
	// chunkBytes is the size of the buffer for events in bytes.
	chunkBytes = 4 << 10
	// stallCheck is how often a silent stream is looked at.
	stallCheck = 100 * time.Millisecond
	// stallAfter is the silence after which a stream goes on at another target,
	// if others of its target go on.
	stallAfter = 900 * time.Millisecond
	// cutAfter is the silence of a whole target that counts as a lost path to it
	// while the other targets of the back end go on.
	cutAfter = 1300 * time.Millisecond
)

// stream serves a request whose answer is a series of events. If its target
// breaks off, it goes on at another one after the last whole event.
func (x *exchange) stream(ctx context.Context) error {
	var events sse.Splitter
	begun := false
	for {
		t, err := x.place(ctx)
		if err != nil {
			return x.streamFailed(begun, err)
		}
		began := time.Now()
		attempt, cancel := context.WithCancel(ctx)
		res := x.sendStream(attempt, cancel, t, events.LastID())
		if res.verdict == succeeded {
			res = x.relay(attempt, res, began, &events, &begun)
		}
		cancel()
		x.attempted(res)
		x.events = events.Events()
		held := time.Duration(0)
		if res.verdict == succeeded {
			held = time.Since(began)
			t.outcome(false)
		}
		x.g.queues.of(x.backend).release(t, held)
		switch {
		case res.verdict == succeeded:
			return nil
		case ctx.Err() != nil:
			return x.streamFailed(begun, x.expired())
		case errors.Is(res.err, errCallerGone):
			return errkind.Wrap(errBroken, errkind.Canceled, "the caller has gone")
		case x.again(res):
			events.Reset()
			x.backOff(ctx, res)
		case res.verdict == failed && !begun:
			if res = readAnswer(res); res.verdict == failed {
				return x.answerFailure(res)
			}
			return x.giveUp()
		default:
			return x.streamFailed(begun, x.giveUp())
		}
	}
}

// streamFailed returns the error of a stream; once events were sent, the only
// honest end is a cut connection.
func (x *exchange) streamFailed(begun bool, err error) error {
	if !begun {
		return err
	}
	x.lastErr = err
	return errkind.Wrap(errBroken, errkind.KindOf(err), "after %d events", x.events)
}

// sendStream makes one attempt and cancels it if the target stays silent while
// others answer.
func (x *exchange) sendStream(ctx context.Context, cancel func(), t *target, lastEvent string) result {
	done := make(chan result, 1)
	go func() { done <- x.send(ctx, t, lastEvent) }()
	began := time.Now()
	ticker := time.NewTicker(stallCheck)
	defer ticker.Stop()
	for {
		select {
		case res := <-done:
			return res
		case now := <-ticker.C:
			if x.stalled(t, silence{sent: began}, now) {
				cancel()
				res := <-done
				res.err = errors.Errorf("target %s was silent for %d ms", t.ID, now.Sub(began).Milliseconds())
				t.outcome(true)
				return res
			}
		}
	}
}

// silence is how long a stream has been without an event, and what for.
type silence struct {
	sent time.Time
	// last is when the last event came, or the zero time.
	last time.Time
}

func (s silence) since() time.Time {
	if s.last.IsZero() {
		return s.sent
	}
	return s.last
}

// stalled reports whether a stream has been silent for too long although others
// go on. If all are silent, another target would not help, and the work that
// waits at this one would be lost.
func (x *exchange) stalled(t *target, s silence, now time.Time) bool {
	if now.Sub(s.since()) < stallAfter || !x.route.Retryable() || x.counted+1 >= x.route.MaxAttempts {
		return false
	}
	t.mu.Lock()
	lastByte, begunSent := t.lastByte, t.begunSent
	t.mu.Unlock()
	if s.last.IsZero() && begunSent.After(s.sent) {
		return true // a request that was sent later has begun
	}
	if !s.last.IsZero() && lastByte.Sub(s.last) > stallAfter {
		return true // other streams of the target go on
	}
	active := x.g.queues.of(x.backend).active(now)
	return !active.IsZero() && now.Sub(active) > cutAfter && now.Sub(lastByte) > cutAfter
}

var errCallerGone = errors.New("the caller does not read")

// relay passes on whole events until the answer ends.
func (x *exchange) relay(ctx context.Context, res result, sent time.Time, events *sse.Splitter, begun *bool) result {
	defer res.resp.Close()
	chunks := make(chan []byte)
	ended := make(chan error, 1)
	go readChunks(ctx, res.resp.Body, chunks, ended)
	quiet := silence{sent: sent}
	ticker := time.NewTicker(stallCheck)
	defer ticker.Stop()
	for {
		select {
		case p := <-chunks:
			quiet.last = time.Now()
			x.pace.heard(quiet.last)
			proves := res.target.heard(quiet.last, sent)
			x.g.queues.of(x.backend).heard(quiet.last, proves)
			if out := events.Push(p); out != nil {
				if err := x.passOn(res, out, begun); err != nil {
					return result{verdict: lost, target: res.target, err: err}
				}
			}
		case err := <-ended:
			return x.finish(res, err, events, begun)
		case now := <-ticker.C:
			if x.stalled(res.target, quiet, now) {
				res.target.outcome(true)
				return result{verdict: lost, target: res.target, err: errors.Errorf("target %s was silent for %d ms in a stream", res.target.ID, now.Sub(quiet.since()).Milliseconds())}
			}
		case <-ctx.Done():
			return result{verdict: lost, target: res.target, err: errors.WithStack(ctx.Err())}
		}
	}
}

func readChunks(ctx context.Context, body io.Reader, chunks chan<- []byte, ended chan<- error) {
	for {
		buf := make([]byte, chunkBytes)
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

// passOn writes whole events, after the header of the first answer.
func (x *exchange) passOn(res result, out []byte, begun *bool) error {
	if !*begun {
		*begun = true
		x.copyHeader(res.resp)
		x.w.WriteHeader(res.resp.StatusCode)
	}
	if err := x.write(out); err != nil {
		return errCallerGone
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// finish judges how an answer ended.
func (x *exchange) finish(res result, err error, events *sse.Splitter, begun *bool) result {
	if !errors.Is(err, io.EOF) || events.Incomplete() {
		res.target.outcome(true)
		return result{verdict: lost, target: res.target, err: errors.Wrapf(err, "stream of target %s was cut after event %q", res.target.ID, events.LastID())}
	}
	if !*begun {
		*begun = true
		x.copyHeader(res.resp)
		x.w.WriteHeader(res.resp.StatusCode)
	}
	res.resp.Finish()
	return res
}
