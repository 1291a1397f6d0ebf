package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// minRetryAfter is the usual minimum of Retry-After, before jitter is
	// applied.
	minRetryAfter = 200 * time.Millisecond
	// noTargetRetryAfter is the Retry-After if a back end has no target.
	noTargetRetryAfter = time.Second
)

// admissionError returns an error if the request cannot be served in time. The
// caller holds q.mu.
func (q *queue) admissionError(req *slotRequest, now time.Time) error {
	s := q.g.snapshot.Load()
	allowed := 0
	for _, t := range s.targets[q.backend] {
		if req.isAllowed(t) {
			allowed++
		}
	}
	if q.recentlyEmpty(now) {
		return nil // waits for a short time: expired entries usually reappear soon
	}
	if allowed == 0 {
		return errkind.New(errkind.NoTarget, "back end %s has no target for the request", q.backend).WithRetryAfter(jitter(noTargetRetryAfter))
	}
	if until := q.allRestUntil(req.isAllowed, now); !until.IsZero() {
		if until.After(req.waitUntil) {
			return q.restError(until.Sub(now))
		}
		return nil // waits for the end of the rest
	}
	if q.outage.isOngoing(now) {
		return q.outageRejection(req, now)
	}
	if now.Add(q.estimateWait(q.waitersAhead(req.priority)+1, s)).After(req.waitUntil) {
		return q.overloadedError()
	}
	return nil
}

// recentlyEmpty reports whether the back end has been without targets for a
// short time only, so that their entries may reappear. The caller holds q.mu.
func (q *queue) recentlyEmpty(now time.Time) bool {
	if len(q.g.snapshot.Load().targets[q.backend]) > 0 {
		q.emptySince = time.Time{}
		return false
	}
	if q.emptySince.IsZero() {
		q.emptySince = now
	}
	return now.Sub(q.emptySince) < expiryGrace
}

// estimateWait estimates how long the waiter at a position waits. The waiters
// of all instances compete for the slots.
func (q *queue) estimateWait(position int, s *snapshot) time.Duration {
	rate := q.capacity(s)
	if rate == 0 {
		return noTargetRetryAfter
	}
	return time.Duration(float64(position*s.instanceCount) / rate * float64(time.Second))
}

// capacity returns the number of requests per second that the targets take from all
// instances: as many as their slots allow, or less if they have named a limit, and
// none while they rest.
func (q *queue) capacity(s *snapshot) float64 {
	total := 0.0
	now := time.Now()
	for _, t := range s.targets[q.backend] {
		if !t.restUntil(now).IsZero() {
			continue
		}
		rate := float64(t.Slots) / q.meanSlotTime.Seconds()
		t.mu.Lock()
		if t.rateLimit.named {
			rate = min(rate, max(t.rateLimit.limit, routing.MinRateLimit))
		}
		t.mu.Unlock()
		total += rate
	}
	return total
}

// overloadedError returns the error for a request that gets no slot in time.
// Its Retry-After is the estimated time until the present waiters have been
// served. The caller holds q.mu.
func (q *queue) overloadedError() error {
	retryAfter := max(minRetryAfter, q.estimateWait(len(q.waiters)+1, q.g.snapshot.Load()))
	return errkind.New(errkind.Overloaded, "all targets of back end %s are full, %d requests are queued", q.backend, len(q.waiters)).
		WithRetryAfter(jitter(retryAfter))
}

// jitter returns a random duration between half and one and a half of d, so
// that rejected callers do not retry all at once. It returns 0 if d is not
// positive: a part of the remaining time is negative after the deadline.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}

// earlyRejection returns an error if a waiter cannot get a slot before its wait
// ends. isEmpty is set if the back end has no target.
func (q *queue) earlyRejection(w *waiter, isEmpty bool, now time.Time) error {
	if isEmpty && now.After(w.outageWaitUntil) {
		return q.outageError(jitter(w.outageRetryAfter))
	}
	if _, known := q.outage.remaining(now); q.outage.isOngoing(now) && !known && now.After(w.outageWaitUntil) {
		return q.outageError(jitter(w.outageRetryAfter))
	}
	if until := q.allRestUntil(w.isAllowed, now); until.After(w.waitUntil) {
		return q.restError(until.Sub(now))
	}
	return nil
}
