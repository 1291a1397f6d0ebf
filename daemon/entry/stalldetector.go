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
	// suspectCheckInterval is how often a waiting attempt looks whether its target is
	// suspect. Without it, an attempt that was accepted by a process that froze
	// waited for the whole firstTokenTimeout.
	suspectCheckInterval = 500 * time.Millisecond
)

// stallDetector ends an attempt that makes no progress or whose target is suspect. It
// runs only while the entry waits for a frame, so that a slow caller is not
// mistaken for a stalled target.
type stallDetector struct {
	// streamsTokens is set for streams of tokens. The answer of a plain service has no
	// progress to watch after its first frame.
	streamsTokens bool
	// targetSuspect reports whether the heartbeats of the target have stopped; nil
	// looks at progress alone.
	targetSuspect func() bool
	onStall       func()
	timeout       time.Duration

	mu            sync.Mutex
	timer         *time.Timer
	waiting       bool
	waitStartedAt time.Time
	reason        string
}

func newStallDetector(suspect func() bool, expire func()) *stallDetector {
	w := &stallDetector{timeout: firstFrameTimeout, targetSuspect: suspect, onStall: expire}
	w.timer = time.AfterFunc(firstFrameTimeout, w.check)
	w.timer.Stop()
	return w
}

// startWait begins one wait.
func (w *stallDetector) startWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, w.waitStartedAt = true, time.Now()
	w.scheduleCheck()
}

// scheduleCheck sets the timer for the next check.
func (w *stallDetector) scheduleCheck() {
	next := w.timeout - time.Since(w.waitStartedAt)
	if w.targetSuspect != nil && (w.timeout == 0 || next > suspectCheckInterval) {
		next = suspectCheckInterval
	}
	if next > 0 {
		w.timer.Reset(next)
	}
}

func (w *stallDetector) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting || w.reason != "" {
		return
	}
	switch {
	case w.timeout > 0 && time.Since(w.waitStartedAt) >= w.timeout:
		w.reason = "made no progress for " + w.timeout.String()
	case w.targetSuspect != nil && w.targetSuspect():
		w.reason = "sends no heartbeats"
	default:
		w.scheduleCheck()
		return
	}
	w.onStall()
}

// endWait ends the wait and returns why the attempt was ended, or nothing. The
// frame that ended the wait sets the limit of the next one.
func (w *stallDetector) endWait(f *wirepb.Frame) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.waiting = false
	switch {
	case !w.streamsTokens:
		w.timeout = 0
	case f.GetTokens() != nil:
		w.timeout = progressTimeout
	case f.GetAccepted() != nil:
		w.timeout = firstTokenTimeout
	}
	return w.reason
}
