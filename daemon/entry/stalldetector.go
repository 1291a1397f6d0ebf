package entry

import (
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Timeouts of the wait for the next frame of an attempt. They limit the time
// without progress, not the duration of the response, so that a long response
// is never mistaken for a stalled one.
const (
	// firstFrameTimeout is the timeout for the first frame after a dispatch. A
	// target that sends nothing for this long is also suspect by its heartbeats.
	firstFrameTimeout = suspectAfter
	// firstTokenTimeout covers the engine's queue and the prefill of a long
	// prompt. The goal for the first token is 0.33 s.
	firstTokenTimeout = 10 * time.Second
	// progressTimeout is 70 times the goal of 71 ms between tokens, since a
	// rebalance or a preemption may pause a healthy stream for seconds.
	progressTimeout = 5 * time.Second
	// suspectCheckInterval is how often a waiting attempt checks whether its
	// target is suspect. Without this check, an attempt that was accepted by a
	// process that then froze would wait for the whole firstTokenTimeout.
	suspectCheckInterval = 500 * time.Millisecond
)

// stallDetector aborts an attempt that makes no progress or whose target is
// suspect. It is active only while the entry waits for a frame, so that a slow
// caller is not mistaken for a stalled target.
type stallDetector struct {
	// streamsTokens is set for token streams. The response of a plain service
	// shows no progress after its first frame, so no timeout applies to it then.
	streamsTokens bool
	// targetSuspect reports whether the heartbeats of the target have stopped. If
	// nil, only progress is checked.
	targetSuspect func() bool
	onStall       func()
	timeout       time.Duration

	mu            sync.Mutex
	timer         *time.Timer
	waiting       bool
	waitStartedAt time.Time
	reason        string
}

func newStallDetector(targetSuspect func() bool, onStall func()) *stallDetector {
	d := &stallDetector{timeout: firstFrameTimeout, targetSuspect: targetSuspect, onStall: onStall}
	d.timer = time.AfterFunc(firstFrameTimeout, d.check)
	d.timer.Stop()
	return d
}

// startWait starts the wait for a frame.
func (d *stallDetector) startWait() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting, d.waitStartedAt = true, time.Now()
	d.scheduleCheck()
}

// scheduleCheck sets the timer for the next check.
func (d *stallDetector) scheduleCheck() {
	next := d.timeout - time.Since(d.waitStartedAt)
	if d.targetSuspect != nil && (d.timeout == 0 || next > suspectCheckInterval) {
		next = suspectCheckInterval
	}
	if next > 0 {
		d.timer.Reset(next)
	}
}

func (d *stallDetector) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.waiting || d.reason != "" {
		return
	}
	switch {
	case d.timeout > 0 && time.Since(d.waitStartedAt) >= d.timeout:
		d.reason = "made no progress for " + d.timeout.String()
	case d.targetSuspect != nil && d.targetSuspect():
		d.reason = "sends no heartbeats"
	default:
		d.scheduleCheck()
		return
	}
	d.onStall()
}

// endWait ends the wait for a frame. It returns why the attempt was aborted, or
// nothing. The frame f selects the timeout of the next wait.
func (d *stallDetector) endWait(f *wirepb.Frame) (reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer.Stop()
	d.waiting = false
	switch {
	case !d.streamsTokens:
		d.timeout = 0
	case f.GetTokens() != nil:
		d.timeout = progressTimeout
	case f.GetAccepted() != nil:
		d.timeout = firstTokenTimeout
	}
	return d.reason
}
