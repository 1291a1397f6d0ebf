package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/routing/promptcache"
)

const (
	// slotTimeWeight is the weight of the latest request in the moving average
	// of the time that a request occupies a slot.
	slotTimeWeight = 0.05
	// initialSlotTime is assumed until requests have completed.
	initialSlotTime = 300 * time.Millisecond
)

// slotRequest describes what a request needs from a target and how long it may
// wait.
type slotRequest struct {
	backend  string
	priority int
	// isAllowed reports whether the request may be sent to the target, and place where
	// it should be.
	isAllowed func(*target) bool
	place     place
	// prompt holds the parts of the prompt; empty if it has none or targets keep none.
	prompt []promptcache.Part
	// latencyGoalAt is when the response should have arrived. Requests that
	// have missed this time are served after those of the same priority that
	// have not.
	latencyGoalAt time.Time
	// waitUntil is when waiting ends, and outageWaitUntil when it ends while
	// the whole back end refuses requests.
	waitUntil, outageWaitUntil time.Time
	// stopLimit returns when waiting ends in a planned stop, or the zero time if
	// no stop limits it.
	stopLimit func() time.Time
	// outageRetryAfter is the Retry-After if the back end remains unavailable.
	outageRetryAfter time.Duration
}

// waiter is a queued request.
type waiter struct {
	slotRequest
	granted chan *target
	// rejected receives the error of a request that is rejected before waitUntil.
	rejected chan error
}

// missedGoal returns 1 if latencyGoalAt has passed, and otherwise 0.
func (r *slotRequest) missedGoal(now time.Time) int {
	if now.After(r.latencyGoalAt) {
		return 1
	}
	return 0
}

// limitToStop ends the wait early enough for a planned stop. It reports whether
// that was necessary.
func (r *slotRequest) limitToStop() bool {
	if r.stopLimit == nil {
		return false
	}
	limit := r.stopLimit()
	if limit.IsZero() || !limit.Before(r.waitUntil) {
		return false
	}
	r.waitUntil = limit
	return true
}

// queue holds the requests that wait for a free slot at the targets of one back
// end.
type queue struct {
	g       *Gateway
	backend string

	mu           sync.Mutex
	waiters      []*waiter
	meanSlotTime time.Duration
	// lastByteAt is when any target last sent data, and activeSince the end of
	// the last pause of all targets that was longer than activityGap.
	lastByteAt, activeSince time.Time
	outage                  outageDetector
	// emptySince is when the back end was first found to have no targets.
	emptySince time.Time
}

// activityGap is the time without data from any target after which the back end
// counts as idle.
const activityGap = 300 * time.Millisecond

// recordResponse records that a target of the back end has sent data for a request
// that was sent at sentAt. newlyVerified is set if this has verified the target, which
// may then receive more than one request.
func (q *queue) recordResponse(sentAt, now time.Time, newlyVerified bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastByteAt) > activityGap {
		q.activeSince = now
	}
	q.lastByteAt = now
	q.recordAccepted(sentAt, now)
	if newlyVerified {
		q.grantSlots(now)
	}
}

// respondingSince returns since when the targets have sent data without a
// pause, or the zero time if they are idle.
func (q *queue) respondingSince(now time.Time) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastByteAt) > activityGap {
		return time.Time{}
	}
	return q.activeSince
}

// queues holds the queue of each back end.
type queues struct {
	g         *Gateway
	mu        sync.Mutex
	byBackend map[string]*queue
}

func (qs *queues) forBackend(backend string) *queue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	q := qs.byBackend[backend]
	if q == nil {
		q = &queue{g: qs.g, backend: backend, meanSlotTime: initialSlotTime}
		qs.byBackend[backend] = q
	}
	return q
}

// recordTarget records that a target of a back end has appeared.
func (qs *queues) recordTarget(backend string) {
	qs.mu.Lock()
	q := qs.byBackend[backend]
	qs.mu.Unlock()
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.outage.recordReplacement(time.Now())
}

// grantAll assigns free slots of all back ends to waiters.
func (qs *queues) grantAll() {
	qs.mu.Lock()
	all := make([]*queue, 0, len(qs.byBackend))
	for _, q := range qs.byBackend {
		all = append(all, q)
	}
	qs.mu.Unlock()
	for _, q := range all {
		q.mu.Lock()
		q.grantSlots(time.Now())
		q.mu.Unlock()
	}
}

// acquire returns a target with a slot that is reserved for the request. It
// waits while all targets are full, but rejects at once a request that could
// not be served in time.
func (q *queue) acquire(ctx context.Context, req slotRequest) (*target, error) {
	now := time.Now()
	began := q.g.stops.began.Done()
	stopLimited := req.limitToStop()
	q.mu.Lock()
	if q.waitersAhead(req.priority) == 0 {
		if t := q.assignTarget(&req, now); t != nil {
			q.mu.Unlock()
			return t, nil
		}
	}
	if err := q.admissionError(&req, now); err != nil {
		q.mu.Unlock()
		if stopLimited && errkind.KindOf(err) == errkind.Overloaded {
			return nil, errkind.Wrap(err, errkind.Leaving, "no free slot early enough in the planned stop")
		}
		return nil, err
	}
	w := &waiter{slotRequest: req, granted: make(chan *target, 1), rejected: make(chan error, 1)}
	q.insert(w)
	q.mu.Unlock()
	timer := time.NewTimer(time.Until(req.waitUntil))
	defer timer.Stop()
	for {
		select {
		case t := <-w.granted:
			return t, nil
		case err := <-w.rejected:
			return nil, err
		case <-began:
			began = nil
			req.limitToStop()
			timer.Reset(time.Until(req.waitUntil))
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return q.abandon(ctx, w)
	}
}

// abandon removes a waiter from the queue, unless it was granted a slot or
// rejected in the meantime.
func (q *queue) abandon(ctx context.Context, w *waiter) (*target, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case t := <-w.granted:
		return t, nil
	case err := <-w.rejected:
		return nil, err
	default:
	}
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
	now := time.Now()
	remaining, known := q.outage.remaining(now)
	switch {
	case ctx.Err() != nil:
		return nil, errkind.Wrap(ctx.Err(), errkind.Canceled, "canceled while queued")
	case known && q.outage.isOngoing(now):
		return nil, q.outageError(q.returnAfterOutage(remaining))
	}
	return nil, q.overloadedError()
}

// waitersAhead returns the number of waiters that precede a new one of the
// given priority.
func (q *queue) waitersAhead(priority int) int {
	n := 0
	for _, w := range q.waiters {
		if w.priority <= priority {
			n++
		}
	}
	return n
}

func (q *queue) insert(w *waiter) {
	q.waiters = slices.Insert(q.waiters, q.waitersAhead(w.priority), w)
}

// grantSlots assigns free slots to waiters: by priority, then those that can
// still meet their latency goal, then in order of arrival. The caller holds
// q.mu.
func (q *queue) grantSlots(now time.Time) {
	slices.SortStableFunc(q.waiters, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.missedGoal(now) - b.missedGoal(now)
	})
	isEmpty := len(q.g.snapshot.Load().targets[q.backend]) == 0
	remaining := q.waiters[:0]
	for _, w := range q.waiters {
		if t := q.assignTarget(&w.slotRequest, now); t != nil {
			w.granted <- t
		} else if err := q.earlyRejection(w, isEmpty, now); err != nil {
			w.rejected <- err
		} else {
			remaining = append(remaining, w)
		}
	}
	clear(q.waiters[len(remaining):])
	q.waiters = remaining
}

// releaseSlot releases a slot. slotTime is zero if the request did not succeed;
// such requests do not count towards the mean.
func (q *queue) releaseSlot(t *target, slotTime time.Duration) {
	t.ownRequests.Add(-1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if slotTime > 0 {
		q.meanSlotTime += time.Duration(slotTimeWeight * float64(slotTime-q.meanSlotTime))
	}
	q.grantSlots(time.Now())
}
