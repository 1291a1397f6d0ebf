package gateway

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// stallCheckInterval is how often a stream without new events is checked.
	stallCheckInterval = 100 * time.Millisecond
	// stallTimeout is the time without an event after which another target is asked to
	// go on with a stream, if other streams of its target continue.
	stallTimeout = 900 * time.Millisecond
	// unresponsiveStallTimeout is the time without an event after which that is done if
	// the coordinator of the group gets no reply from its target either.
	unresponsiveStallTimeout = 400 * time.Millisecond
	// pathLossTimeout is the time after which a target that sends nothing at
	// all counts as unreachable, if other targets of the back end continue to
	// send.
	pathLossTimeout = 1300 * time.Millisecond
	// eventTimeout limits the time from the first byte of an event to its end, on routes
	// whose callers do not wait longer. Targets send an event in one write.
	eventTimeout = 2 * time.Second
)

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

// checkEvent returns an error if an event has been incomplete for too long: for longer
// than callers of the route wait for it.
func (s *streamExchange) checkEvent(t *target, progress streamProgress, now time.Time) error {
	timeout := max(eventTimeout, s.route.CallerIdleTimeout)
	if progress.incompleteSince.IsZero() || now.Sub(progress.incompleteSince) <= timeout {
		return nil
	}
	return errors.Errorf("target %s did not complete an event in %d ms", t.ID, now.Sub(progress.incompleteSince).Milliseconds())
}

// checkStall looks for another target if the one of the attempt has stalled. The attempt
// continues meanwhile.
func (s *streamExchange) checkStall(a *streamAttempt, progress streamProgress, now time.Time) {
	if !s.isStalled(a.target, progress, now) {
		return
	}
	s.dropStalledHedge(now)
	hedged := s.hedge(now)
	if s.stallLogged && !hedged {
		return
	}
	s.stallLogged = true
	s.g.log.Info("stream stalled", "request", s.meta.ID, "target", a.target.ID, "idle_ms", now.Sub(progress.idleSince()).Milliseconds(),
		"events", s.events.Events(), "hedged", hedged)
}
