package target

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
)

const (
	drainPollInterval = 5 * time.Millisecond
	// drainEchoTimeout is how long the stop waits for a session to echo the
	// leaving state. An entry that does not echo for this long is paused or
	// unreachable.
	drainEchoTimeout = 3 * time.Second
	// drainGrace covers a dispatch that an entry routed just before it applied
	// the leaving state. It must be refused, not lost with the session.
	drainGrace = 100 * time.Millisecond
	// handoverReserve is the part of the stop timeout that is kept for handing
	// over stored responses, a quarter of the timeout at most.
	handoverReserve = 3 * time.Second
	// controlStreams is the number of streams of a session that has no work.
	controlStreams = 1
)

// stop refuses new work, waits for the work in progress, and then waits until
// the entries have applied the leaving state. It hands stored responses over
// before its time is up, also if work is still in progress then.
func (t *Target) stop() {
	timeout := t.settings.StopTimeout()
	deadline := time.Now().Add(timeout)
	idle := t.work.Close()
	requiredEchoes := t.announceLeaving()
	t.recordStopStep("refusing new work")
	t.node.Log.Info("planned stop: refusing new work", "running", t.work.Count())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	transfer := newHandover(t)
	if !finishedBy(idle, deadline.Add(-min(handoverReserve, timeout/4))) {
		t.node.Log.Warn("planned stop: handing over with work in progress", "running", t.work.Count())
		transfer.run(ctx)
		if !finishedBy(idle, deadline) {
			t.node.Log.Warn("planned stop: timeout reached with work in progress", "running", t.work.Count())
			return
		}
	}
	t.recordStopStep("work finished")
	transfer.run(ctx)
	t.drain(requiredEchoes, deadline)
}

// finishedBy waits for idle to be closed, until the deadline at most.
func finishedBy(idle <-chan struct{}, deadline time.Time) bool {
	select {
	case <-idle:
		return true
	case <-time.After(time.Until(deadline)):
		return false
	}
}

func (t *Target) recordStopStep(detail string) {
	t.node.Events.Record(timeline.Event{Kind: timeline.StopStep, Target: t.node.Name, Detail: detail})
}

func (t *Target) sendHeartbeatsNow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, heartbeats := range t.sessions {
		heartbeats.SendNow()
	}
}

// announceLeaving sends the leaving state to all entries. It returns the
// sequence number that each session's entry must echo.
func (t *Target) announceLeaving() map[*wire.Session]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	requiredEchoes := map[*wire.Session]uint64{}
	for s, heartbeats := range t.sessions {
		// A heartbeat that is being built may still carry the old state. Only the
		// one after it is certain to carry the leaving state.
		requiredEchoes[s] = heartbeats.LastSent() + 2
		heartbeats.SendNow()
	}
	return requiredEchoes
}

// drain waits until every entry has applied the leaving state and closed its
// work streams, so that closing the sessions loses neither a dispatch nor the
// end of a response.
func (t *Target) drain(requiredEchoes map[*wire.Session]uint64, deadline time.Time) {
	echoDeadline := time.Now().Add(drainEchoTimeout)
	for time.Now().Before(deadline) {
		if t.drained(requiredEchoes, time.Now().After(echoDeadline)) {
			break
		}
		t.sendHeartbeatsNow()
		time.Sleep(drainPollInterval)
	}
	time.Sleep(min(drainGrace, max(time.Until(deadline), 0)))
	t.recordStopStep("entries have applied the leaving state")
}

// drained reports whether every entry has applied the leaving state and closed
// its work streams. If ignoreUnresponsive is set, entries that have not echoed
// the leaving state are ignored.
func (t *Target) drained(requiredEchoes map[*wire.Session]uint64, ignoreUnresponsive bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s, heartbeats := range t.sessions {
		if ignoreUnresponsive && !hasEchoed(heartbeats, requiredEchoes[s]) {
			continue
		}
		if !hasEchoed(heartbeats, requiredEchoes[s]) || s.StreamCount() > controlStreams {
			return false
		}
	}
	return true
}

// hasEchoed reports whether the entry has applied the heartbeat with the given
// sequence number. Zero stands for a session that started after the stop began:
// all its heartbeats carry the leaving state, so any echo will do.
func hasEchoed(heartbeats *node.Heartbeats, sequence uint64) bool {
	return heartbeats.LastEchoed() >= max(sequence, 1)
}
