package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// recordAccepted records that a target has accepted a request, which ends an
// outage. The caller holds q.mu.
func (q *queue) recordAccepted(sentAt, now time.Time) {
	if q.outage.recordAccepted(sentAt, now) {
		q.g.log.Info("back end serves again", "back_end", q.backend, "waiting", len(q.waiters))
		q.grantSlots(now)
	}
}

// recordRefusal records that a target has refused a request without running it.
func (q *queue) recordRefusal(id string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.outage.recordRefusal(id, len(q.g.snapshot.Load().targets[q.backend]), now) {
		q.g.log.Warn("back end refuses all requests", "back_end", q.backend, "waiting", len(q.waiters))
	}
}

// recordGroupLoss records that the only rank group of the back end cannot serve, since
// a rank has crashed. Waiters whose wait ends before the group can be back are rejected.
func (q *queue) recordGroupLoss(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.outage.recordGroupLoss(now) {
		remaining, _ := q.outage.remaining(now)
		q.g.log.Warn("back end lost its rank group", "back_end", q.backend, "waiting", len(q.waiters), "expected_ms", remaining.Milliseconds())
	}
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		err := q.outageRejection(&w.slotRequest, now)
		if err != nil {
			w.rejected <- err
		}
		return err != nil
	})
}

// isDown reports whether the back end refuses all requests, or all its targets
// are paused after a refused or undeliverable request.
func (q *queue) isDown(now time.Time) bool {
	q.mu.Lock()
	ongoing := q.outage.isOngoing(now)
	q.mu.Unlock()
	return ongoing || !slices.ContainsFunc(q.g.snapshot.Load().targets[q.backend], func(t *target) bool { return !t.isPaused(now) })
}

// outageRemaining returns the Retry-After for a request that was refused in an outage
// whose end can be foreseen.
func (q *queue) outageRemaining(now time.Time) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	remaining, known := q.outage.remaining(now)
	if !known || !q.outage.isOngoing(now) {
		return 0, false
	}
	return q.returnAfterOutage(remaining), true
}

// outageError returns the error for a request to a back end that refuses all
// requests.
func (q *queue) outageError(retryAfter time.Duration) error {
	return errkind.New(errkind.NoTarget, "no target of back end %s accepts requests", q.backend).WithRetryAfter(retryAfter)
}

// outageRejection returns an error if a request would wait in vain for the end of an
// outage. If the end cannot be foreseen, it waits for a short time, in which others
// probe the back end. The caller holds q.mu.
func (q *queue) outageRejection(req *slotRequest, now time.Time) error {
	remaining, known := q.outage.remaining(now)
	switch {
	case !known && now.After(req.outageWaitUntil):
		return q.outageError(jitter(req.outageRetryAfter))
	case known && now.Add(remaining).After(req.waitUntil):
		return q.outageError(q.returnAfterOutage(remaining))
	}
	return nil
}

// maxReturnSpread limits the time over which callers return after an outage.
const maxReturnSpread = time.Second

// returnAfterOutage returns the Retry-After for a request that is rejected during an
// outage. Callers return one after the other, at the rate at which the targets can
// take them. The caller holds q.mu.
func (q *queue) returnAfterOutage(remaining time.Duration) time.Duration {
	q.outage.deferred++
	spread := min(maxReturnSpread, q.estimateWait(q.outage.deferred, q.g.snapshot.Load()))
	return remaining + rand.N(max(1, spread))
}
