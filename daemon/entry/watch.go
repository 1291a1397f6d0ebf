package entry

import (
	"sync"
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
	// suspectInterval is how often a waiting attempt looks whether its target is
	// suspect. Without it, an attempt that was accepted by a process that froze
	// waited for the whole firstTokenTimeout.
	suspectInterval = 500 * time.Millisecond
)

// watch ends an attempt that makes no progress or whose target is suspect. It
// runs only while the entry waits for a frame, so that a slow caller is not
// mistaken for a stalled target.
type watch struct {
	// tokens is set for streams of tokens. The answer of a plain service has no
	// progress to watch after its first frame.
	tokens bool
	// suspect reports whether the heartbeats of the target have stopped; nil
	// looks at progress alone.
	suspect func() bool
	expire  func()
	limit   time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	waiting bool
	began   time.Time
	reason  string
}

func newWatch(suspect func() bool, expire func()) *watch {
	w := &watch{limit: firstFrameTimeout, suspect: suspect, expire: expire}
	w.timer = time.AfterFunc(firstFrameTimeout, w.check)
	w.timer.Stop()
	return w
}

// start begins one wait.
func (w *watch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, w.began = true, time.Now()
	w.arm()
}

// arm sets the timer for the next check.
func (w *watch) arm() {
	next := w.limit - time.Since(w.began)
	if w.suspect != nil && (w.limit == 0 || next > suspectInterval) {
		next = suspectInterval
	}
	if next > 0 {
		w.timer.Reset(next)
	}
}

func (w *watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting || w.reason != "" {
		return
	}
	switch {
	case w.limit > 0 && time.Since(w.began) >= w.limit:
		w.reason = "made no progress for " + w.limit.String()
	case w.suspect != nil && w.suspect():
		w.reason = "sends no heartbeats"
	default:
		w.arm()
		return
	}
	w.expire()
}

// stop ends the wait and returns why the attempt was ended, or nothing. The
// frame that ended the wait sets the limit of the next one.
func (w *watch) stop(f *wirepb.Frame) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.waiting = false
	switch {
	case !w.tokens:
		w.limit = 0
	case f.GetTokens() != nil:
		w.limit = progressTimeout
	case f.GetAccepted() != nil:
		w.limit = firstTokenTimeout
	}
	return w.reason
}
