package target

import (
	"time"

	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
)

const (
	drainPoll = 5 * time.Millisecond
	// drainSilence is how long a session without an echo of the leaving state
	// holds up the stop. An entry that is silent for this long is paused or gone.
	drainSilence = 3 * time.Second
	// drainLinger covers a dispatch that an entry routed just before it acted on
	// the leaving state; it must be refused, not lost with the session.
	drainLinger = 100 * time.Millisecond
	// controlStreams is the number of streams of a session without work.
	controlStreams = 1
)

func (t *Target) kickHeartbeats() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, beats := range t.sessions {
		beats.SendNow()
	}
}

// tellLeaving sends the leaving state to all entries and returns, per session,
// the sequence number that its entry must echo.
func (t *Target) tellLeaving() map[*wire.Session]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	told := map[*wire.Session]uint64{}
	for s, beats := range t.sessions {
		// A heartbeat that is being built may still carry the old state, so the
		// one after it is the first that surely says leaving.
		told[s] = beats.LastSent() + 2
		beats.SendNow()
	}
	return told
}

// drain waits until every entry has acted on the leaving state and has closed
// its work streams, so that closing the sessions loses neither a dispatch nor
// the end of an answer.
func (t *Target) drain(told map[*wire.Session]uint64, deadline time.Time) {
	silence := time.Now().Add(drainSilence)
	for time.Now().Before(deadline) {
		if t.drained(told, time.Now().After(silence)) {
			break
		}
		t.kickHeartbeats()
		time.Sleep(drainPoll)
	}
	time.Sleep(min(drainLinger, max(time.Until(deadline), 0)))
	t.node.Events.Record(timeline.Event{Kind: timeline.StopStep, Target: t.node.Name, Detail: "entries have acted on the stop"})
}

func (t *Target) drained(told map[*wire.Session]uint64, ignoreSilent bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s, beats := range t.sessions {
		if ignoreSilent && !echoed(beats, told[s]) {
			continue
		}
		if !echoed(beats, told[s]) || s.Streams() > controlStreams {
			return false
		}
	}
	return true
}

// echoed reports whether the entry has acted on the heartbeat. A session that
// started after the stop began carries only heartbeats that say leaving.
func echoed(beats *node.Heartbeats, sequence uint64) bool {
	return beats.LastEchoed() >= max(sequence, 1)
}
