package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// slotTimeWeight is the weight of the latest request in the mean time that a
	// request keeps its place at a target.
	slotTimeWeight = 0.05
	// initialSlotTime is assumed until requests have been seen.
	initialSlotTime = 300 * time.Millisecond
	// minRetryAfter is the shortest pause that a refused caller is told.
	minRetryAfter = 200 * time.Millisecond
	// noTargetRetryAfter is what callers are told when a back end has no target.
	noTargetRetryAfter = time.Second
)

// slotRequest is what a request asks of a target.
type slotRequest struct {
	backend  string
	priority int
	// isAllowed reports whether the request may go to the target.
	isAllowed func(*target) bool
	// latencyGoalAt is when the answer should have come. Requests that have missed it
	// come after others of their priority that have not.
	latencyGoalAt time.Time
	// waitUntil is when waiting ends, and downUntil when it ends while the whole
	// back end refuses requests.
	waitUntil, outageWaitUntil time.Time
	// outageRetryAfter is what the caller is told if the back end stays down.
	outageRetryAfter time.Duration
}

type waiter struct {
	slotRequest
	granted chan *target
	// rejected is closed when the request is given up before its time.
	rejected chan struct{}
}

// missedGoal returns 1 if the goal of the request has passed.
func (n *slotRequest) missedGoal(now time.Time) int {
	if now.After(n.latencyGoalAt) {
		return 1
	}
	return 0
}

// queue holds the requests that wait for a place at the targets of one back end.
type queue struct {
	g       *Gateway
	backend string

	mu           sync.Mutex
	waiters      []*waiter
	meanSlotTime time.Duration
	// lastByteAt is when any target last sent something, and activeSince when the
	// last pause of all of them ended.
	lastByteAt, activeSince time.Time
	outage                  outageDetector
	// emptySince is when the back end was first seen without targets.
	emptySince time.Time
}

// activityGap is the silence of all targets that counts as a pause.
const activityGap = 300 * time.Millisecond

// recordResponse notes that a target of the back end has sent something, and whether it may
// get more requests because of that.
func (q *queue) recordResponse(now time.Time, proves bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastByteAt) > activityGap {
		q.activeSince = now
	}
	q.lastByteAt = now
	q.recordAccepted(now)
	if proves {
		q.grantSlots(now)
	}
}

// recordAccepted notes that a target has taken a request. The caller holds the lock.
func (q *queue) recordAccepted(now time.Time) {
	if q.outage.recordAccepted() {
		q.g.log.Info("back end serves again", "back_end", q.backend, "waiting", len(q.waiters))
		q.grantSlots(now)
	}
}

// recordRefusal notes that a target has refused a request that it has not run.
func (q *queue) recordRefusal(id string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.outage.recordRefusal(id, len(q.g.snapshot.Load().targets[q.backend]), now) {
		q.g.log.Warn("back end refuses all requests", "back_end", q.backend, "waiting", len(q.waiters))
	}
}

// respondingSince returns since when the targets have sent without a pause; the zero
// time if they are silent.
func (q *queue) respondingSince(now time.Time) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastByteAt) > activityGap {
		return time.Time{}
	}
	return q.activeSince
}

// queues holds one queue for each back end.
type queues struct {
	g         *Gateway
	mu        sync.Mutex
	byBackend map[string]*queue
}

func (q *queues) forBackend(backend string) *queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.byBackend[backend]
	if b == nil {
		b = &queue{g: q.g, backend: backend, meanSlotTime: initialSlotTime}
		q.byBackend[backend] = b
	}
	return b
}

// grantAll grants places that have become free.
func (q *queues) grantAll() {
	q.mu.Lock()
	all := make([]*queue, 0, len(q.byBackend))
	for _, b := range q.byBackend {
		all = append(all, b)
	}
	q.mu.Unlock()
	for _, b := range all {
		b.mu.Lock()
		b.grantSlots(time.Now())
		b.mu.Unlock()
	}
}

// acquire returns a target with a place for the request. It waits while all
// targets are full, but refuses at once what could not be served in time.
func (q *queue) acquire(ctx context.Context, n slotRequest) (*target, error) {
	now := time.Now()
	q.mu.Lock()
	if q.waitersAhead(n.priority) == 0 {
		if t := q.assignTarget(&n, now); t != nil {
			q.mu.Unlock()
			return t, nil
		}
	}
	if err := q.admissionError(&n, now); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	w := &waiter{slotRequest: n, granted: make(chan *target, 1), rejected: make(chan struct{})}
	q.insert(w)
	q.mu.Unlock()
	timer := time.NewTimer(time.Until(n.waitUntil))
	defer timer.Stop()
	select {
	case t := <-w.granted:
		return t, nil
	case <-w.rejected:
		return nil, q.outageError(w.outageRetryAfter)
	case <-timer.C:
	case <-ctx.Done():
	}
	return q.abandon(ctx, w)
}

// abandon takes a waiter out of the queue unless it was granted a place meanwhile.
func (q *queue) abandon(ctx context.Context, w *waiter) (*target, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case t := <-w.granted:
		return t, nil
	default:
	}
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
	if ctx.Err() != nil {
		return nil, errkind.Wrap(ctx.Err(), errkind.Canceled, "left the queue")
	}
	return nil, q.overloadedError()
}

// waitersAhead returns the number of waiters that come before a new one.
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

// admissionError returns an error if the request can't be served in time.
func (q *queue) admissionError(n *slotRequest, now time.Time) error {
	s := q.g.snapshot.Load()
	places, allowed := 0, 0
	for _, t := range s.targets[q.backend] {
		places += t.Slots
		if n.isAllowed(t) {
			allowed++
		}
	}
	if q.recentlyEmpty(now) {
		return nil // waits a little; entries that lapsed come back soon
	}
	if allowed == 0 {
		return errkind.New(errkind.NoTarget, "back end %s has no target for the request", q.backend).WithRetryAfter(jitter(noTargetRetryAfter))
	}
	if q.outage.isOngoing(now) {
		return nil // waits a little; others try whether the back end is back
	}
	if now.Add(q.estimateWait(q.waitersAhead(n.priority)+1, places, s.instances)).After(n.waitUntil) {
		return q.overloadedError()
	}
	return nil
}

// recentlyEmpty reports whether the back end has had no targets for a short time
// only, so that they may come back. The caller holds the lock.
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

// estimateWait estimates how long the n-th waiter waits. The places free up for the
// waiters of all instances.
func (q *queue) estimateWait(n, places, instances int) time.Duration {
	if places == 0 {
		return noTargetRetryAfter
	}
	return time.Duration(float64(n*instances) / float64(places) * float64(q.meanSlotTime))
}

// isDown reports whether the back end refuses all requests, or all its targets
// have just refused some.
func (q *queue) isDown(now time.Time) bool {
	q.mu.Lock()
	ongoing := q.outage.isOngoing(now)
	q.mu.Unlock()
	return ongoing || !slices.ContainsFunc(q.g.snapshot.Load().targets[q.backend], func(t *target) bool { return !t.isPaused(now) })
}

// outageError is the answer to a request for a back end that refuses all.
func (q *queue) outageError(comeBack time.Duration) error {
	return errkind.New(errkind.NoTarget, "back end %s has no target that takes requests", q.backend).WithRetryAfter(jitter(comeBack))
}

// overloadedError is the answer to a request for which there is no place in time. It
// tells the caller to come back when those that wait now have been served.
func (q *queue) overloadedError() error {
	s := q.g.snapshot.Load()
	places := 0
	for _, t := range s.targets[q.backend] {
		places += t.Slots
	}
	pause := max(minRetryAfter, q.estimateWait(len(q.waiters)+1, places, s.instances))
	return errkind.New(errkind.Overloaded, "all targets of back end %s are full, %d requests wait", q.backend, len(q.waiters)).
		WithRetryAfter(jitter(pause))
}

// jitter spreads those that are told to come back.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// grantSlots gives free places to waiters: by priority, then those that can still
// meet their goal, then in the order of arrival.
func (q *queue) grantSlots(now time.Time) {
	slices.SortStableFunc(q.waiters, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.missedGoal(now) - b.missedGoal(now)
	})
	down := q.outage.isOngoing(now) || len(q.g.snapshot.Load().targets[q.backend]) == 0
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if t := q.assignTarget(&w.slotRequest, now); t != nil {
			w.granted <- t
		} else if down && now.After(w.outageWaitUntil) {
			close(w.rejected)
		} else {
			kept = append(kept, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}

// assignTarget chooses a target and counts the request there.
func (q *queue) assignTarget(n *slotRequest, now time.Time) *target {
	if !q.outage.allowsRequest(now) {
		return nil
	}
	s := q.g.snapshot.Load()
	b := s.table.Backend(q.backend)
	targets := s.targets[q.backend]
	candidates := make([]routing.Candidate, len(targets))
	for i, t := range targets {
		t.mu.Lock()
		usable := n.isAllowed(t) && t.canAccept(now)
		if usable && b != nil && t.isWarmingUp(now) && b.WarmUpRate > 0 {
			usable = t.warmUpLimiter.CanTakeRequest(b.WarmUpRate, s.instances, now)
		}
		candidates[i] = routing.Candidate{
			Load: float64(t.ownRequests.Load() + t.peerRequests.Load()), OwnLoad: float64(t.ownRequests.Load()), Slots: t.Slots, FailureRate: t.failureRate,
			Local: t.DataCentre == q.g.opts.DataCentre, Usable: usable, Slowdown: t.slowdown,
		}
		t.mu.Unlock()
	}
	i := routing.Pick(candidates, s.instances, rand.IntN(max(1, len(candidates))))
	if i < 0 {
		return nil
	}
	t := targets[i]
	t.mu.Lock()
	if b != nil && t.isWarmingUp(now) && b.WarmUpRate > 0 {
		t.warmUpLimiter.TakeRequest(b.WarmUpRate, s.instances, now)
	}
	t.takeSlot(now)
	t.mu.Unlock()
	q.outage.recordProbe(now)
	return t
}

// releaseSlot gives a place back. held is zero if the request did not use it.
func (q *queue) releaseSlot(t *target, held time.Duration) {
	t.ownRequests.Add(-1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if held > 0 {
		q.meanSlotTime += time.Duration(slotTimeWeight * float64(held-q.meanSlotTime))
	}
	q.grantSlots(time.Now())
}
