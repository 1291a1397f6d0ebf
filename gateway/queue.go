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
	// holdWeight is the weight of the latest request in the mean time that a
	// request keeps its place at a target.
	holdWeight = 0.05
	// firstHold is assumed until requests have been seen.
	firstHold = 300 * time.Millisecond
	// comeBackSoonest is the shortest pause that a refused caller is told.
	comeBackSoonest = 200 * time.Millisecond
	// noTargetPause is what callers are told when a back end has no target.
	noTargetPause = time.Second
)

// need is what a request asks of a target.
type need struct {
	backend  string
	priority int
	// allowed reports whether the request may go to the target.
	allowed func(*target) bool
	// goalAt is when the answer should have come. Requests that have missed it
	// come after others of their priority that have not.
	goalAt time.Time
	// until is when waiting ends, and downUntil when it ends while the whole
	// back end refuses requests.
	until, downUntil time.Time
	// comeBack is what the caller is told if the back end stays down.
	comeBack time.Duration
}

type waiter struct {
	need
	granted chan *target
	// refused is closed when the request is given up before its time.
	refused chan struct{}
}

// missed returns 1 if the goal of the request has passed.
func (n *need) missed(now time.Time) int {
	if now.After(n.goalAt) {
		return 1
	}
	return 0
}

// queue holds the requests that wait for a place at the targets of one back end.
type queue struct {
	g       *Gateway
	backend string

	mu      sync.Mutex
	waiters []*waiter
	hold    time.Duration
	// lastByte is when any target last sent something, and activeSince when the
	// last pause of all of them ended.
	lastByte, activeSince time.Time
	outage                outage
	// emptySince is when the back end was first seen without targets.
	emptySince time.Time
}

// activityGap is the silence of all targets that counts as a pause.
const activityGap = 300 * time.Millisecond

// heard notes that a target of the back end has sent something, and whether it may
// get more requests because of that.
func (q *queue) heard(now time.Time, proves bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastByte) > activityGap {
		q.activeSince = now
	}
	q.lastByte = now
	q.served(now)
	if proves {
		q.grant(now)
	}
}

// served notes that a target has taken a request. The caller holds the lock.
func (q *queue) served(now time.Time) {
	if q.outage.end() {
		q.g.log.Info("back end serves again", "back_end", q.backend, "waiting", len(q.waiters))
		q.grant(now)
	}
}

// refused notes that a target has refused a request that it has not run.
func (q *queue) refused(id string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.outage.refused(id, len(q.g.state.Load().targets[q.backend]), now) {
		q.g.log.Warn("back end refuses all requests", "back_end", q.backend, "waiting", len(q.waiters))
	}
}

// active returns since when the targets have sent without a pause; the zero
// time if they are silent.
func (q *queue) active(now time.Time) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastByte) > activityGap {
		return time.Time{}
	}
	return q.activeSince
}

// queues holds one queue for each back end.
type queues struct {
	g  *Gateway
	mu sync.Mutex
	by map[string]*queue
}

func (q *queues) of(backend string) *queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.by[backend]
	if b == nil {
		b = &queue{g: q.g, backend: backend, hold: firstHold}
		q.by[backend] = b
	}
	return b
}

// wake grants places that have become free.
func (q *queues) wake() {
	q.mu.Lock()
	all := make([]*queue, 0, len(q.by))
	for _, b := range q.by {
		all = append(all, b)
	}
	q.mu.Unlock()
	for _, b := range all {
		b.mu.Lock()
		b.grant(time.Now())
		b.mu.Unlock()
	}
}

// acquire returns a target with a place for the request. It waits while all
// targets are full, but refuses at once what could not be served in time.
func (q *queue) acquire(ctx context.Context, n need) (*target, error) {
	now := time.Now()
	q.mu.Lock()
	if q.ahead(n.priority) == 0 {
		if t := q.pick(&n, now); t != nil {
			q.mu.Unlock()
			return t, nil
		}
	}
	if err := q.refuse(&n, now); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	w := &waiter{need: n, granted: make(chan *target, 1), refused: make(chan struct{})}
	q.insert(w)
	q.mu.Unlock()
	timer := time.NewTimer(time.Until(n.until))
	defer timer.Stop()
	select {
	case t := <-w.granted:
		return t, nil
	case <-w.refused:
		return nil, q.down(w.comeBack)
	case <-timer.C:
	case <-ctx.Done():
	}
	return q.leave(ctx, w)
}

// leave takes a waiter out of the queue unless it was granted a place meanwhile.
func (q *queue) leave(ctx context.Context, w *waiter) (*target, error) {
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
	return nil, q.overloaded()
}

// ahead returns the number of waiters that come before a new one.
func (q *queue) ahead(priority int) int {
	n := 0
	for _, w := range q.waiters {
		if w.priority <= priority {
			n++
		}
	}
	return n
}

func (q *queue) insert(w *waiter) {
	q.waiters = slices.Insert(q.waiters, q.ahead(w.priority), w)
}

// refuse returns an error if the request can't be served in time.
func (q *queue) refuse(n *need, now time.Time) error {
	s := q.g.state.Load()
	places, allowed := 0, 0
	for _, t := range s.targets[q.backend] {
		places += t.Slots
		if n.allowed(t) {
			allowed++
		}
	}
	if q.recentlyEmpty(now) {
		return nil // waits a little; entries that lapsed come back soon
	}
	if allowed == 0 {
		return errkind.New(errkind.NoTarget, "back end %s has no target for the request", q.backend).WithRetryAfter(jitter(noTargetPause))
	}
	if q.outage.ongoing(now) {
		return nil // waits a little; others try whether the back end is back
	}
	if now.Add(q.wait(q.ahead(n.priority)+1, places, s.instances)).After(n.until) {
		return q.overloaded()
	}
	return nil
}

// recentlyEmpty reports whether the back end has had no targets for a short time
// only, so that they may come back. The caller holds the lock.
func (q *queue) recentlyEmpty(now time.Time) bool {
	if len(q.g.state.Load().targets[q.backend]) > 0 {
		q.emptySince = time.Time{}
		return false
	}
	if q.emptySince.IsZero() {
		q.emptySince = now
	}
	return now.Sub(q.emptySince) < lapseGrace
}

// wait estimates how long the n-th waiter waits. The places free up for the
// waiters of all instances.
func (q *queue) wait(n, places, instances int) time.Duration {
	if places == 0 {
		return noTargetPause
	}
	return time.Duration(float64(n*instances) / float64(places) * float64(q.hold))
}

// isDown reports whether the back end refuses all requests, or all its targets
// have just refused some.
func (q *queue) isDown(now time.Time) bool {
	q.mu.Lock()
	ongoing := q.outage.ongoing(now)
	q.mu.Unlock()
	return ongoing || !slices.ContainsFunc(q.g.state.Load().targets[q.backend], func(t *target) bool { return !t.isQuiet(now) })
}

// down is the answer to a request for a back end that refuses all.
func (q *queue) down(comeBack time.Duration) error {
	return errkind.New(errkind.NoTarget, "back end %s has no target that takes requests", q.backend).WithRetryAfter(jitter(comeBack))
}

// overloaded is the answer to a request for which there is no place in time. It
// tells the caller to come back when those that wait now have been served.
func (q *queue) overloaded() error {
	s := q.g.state.Load()
	places := 0
	for _, t := range s.targets[q.backend] {
		places += t.Slots
	}
	pause := max(comeBackSoonest, q.wait(len(q.waiters)+1, places, s.instances))
	return errkind.New(errkind.Overloaded, "all targets of back end %s are full, %d requests wait", q.backend, len(q.waiters)).
		WithRetryAfter(jitter(pause))
}

// jitter spreads those that are told to come back.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// grant gives free places to waiters: by priority, then those that can still
// meet their goal, then in the order of arrival.
func (q *queue) grant(now time.Time) {
	slices.SortStableFunc(q.waiters, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.missed(now) - b.missed(now)
	})
	down := q.outage.ongoing(now) || len(q.g.state.Load().targets[q.backend]) == 0
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if t := q.pick(&w.need, now); t != nil {
			w.granted <- t
		} else if down && now.After(w.downUntil) {
			close(w.refused)
		} else {
			kept = append(kept, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}

// pick chooses a target and counts the request there.
func (q *queue) pick(n *need, now time.Time) *target {
	if !q.outage.mayTry(now) {
		return nil
	}
	s := q.g.state.Load()
	b := s.table.Backend(q.backend)
	targets := s.targets[q.backend]
	candidates := make([]routing.Candidate, len(targets))
	for i, t := range targets {
		t.mu.Lock()
		usable := n.allowed(t) && t.usable(now)
		if usable && b != nil && t.cold(now) && b.WarmUpRate > 0 {
			usable = t.warmUp.CanTakeRequest(b.WarmUpRate, s.instances, now)
		}
		candidates[i] = routing.Candidate{
			Load: float64(t.own.Load() + t.others.Load()), OwnLoad: float64(t.own.Load()), Slots: t.Slots, FailureRate: t.failures,
			Local: t.DataCentre == q.g.o.DataCentre, Usable: usable, Slowdown: t.slowness,
		}
		t.mu.Unlock()
	}
	i := routing.Pick(candidates, s.instances, rand.IntN(max(1, len(candidates))))
	if i < 0 {
		return nil
	}
	t := targets[i]
	t.mu.Lock()
	if b != nil && t.cold(now) && b.WarmUpRate > 0 {
		t.warmUp.TakeRequest(b.WarmUpRate, s.instances, now)
	}
	t.takePlace(now)
	t.mu.Unlock()
	q.outage.tried(now)
	return t
}

// release gives a place back. held is zero if the request did not use it.
func (q *queue) release(t *target, held time.Duration) {
	t.own.Add(-1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if held > 0 {
		q.hold += time.Duration(holdWeight * float64(held-q.hold))
	}
	q.grant(time.Now())
}
