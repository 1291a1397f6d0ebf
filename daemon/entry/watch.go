package entry

import (
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Limits of the wait for the next frame of an attempt. They bound the time
// without progress, not the time of the answer, so that a long answer is never
// taken for a stalled one.
const (
	// firstFrameTimeout bounds the wait for any frame after a dispatch. A target
	// that is silent for this long is also suspect by its heartbeats.
	firstFrameTimeout = suspectAfter
	// firstTokenTimeout covers the engine's queue and the prefill of a long
	// prompt; the goal for the first token is 0.33 s.
	firstTokenTimeout = 10 * time.Second
	// progressTimeout is 70 times the goal of 71 ms between tokens, since a
	// rebalance or a preemption may pause a healthy stream for seconds.
	progressTimeout = 5 * time.Second
)

// watch ends an attempt that makes no progress. It runs only while the entry
// waits for a frame, so that a slow caller is not mistaken for a stalled target.
type watch struct {
	// tokens is set for streams of tokens. The answer of a plain service has no
	// progress to watch after its first frame.
	tokens  bool
	limit   time.Duration
	timer   *time.Timer
	expired atomic.Bool
}

func newWatch(expire func()) *watch {
	w := &watch{limit: firstFrameTimeout}
	w.timer = time.AfterFunc(firstFrameTimeout, func() {
		w.expired.Store(true)
		expire()
	})
	w.timer.Stop()
	return w
}

// start begins one wait and returns its limit; zero is none.
func (w *watch) start() time.Duration {
	if w.limit > 0 {
		w.timer.Reset(w.limit)
	}
	return w.limit
}

// stop ends the wait. The frame that ended it sets the limit of the next one.
func (w *watch) stop(f *wirepb.Frame) {
	w.timer.Stop()
	switch {
	case !w.tokens:
		w.limit = 0
	case f.GetTokens() != nil:
		w.limit = progressTimeout
	case f.GetAccepted() != nil:
		w.limit = firstTokenTimeout
	}
}
