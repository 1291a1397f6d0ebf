package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/gateway/upstream"
	"github.com/skylarkstep/skylarkstep/routing"
)

// target is one incarnation of a target as its entry shows it. The entry may
// change; what traffic knows of the incarnation stays.
type target struct {
	routing.Target
	*traffic
}

// traffic is what this instance knows about one incarnation from its requests.
// Its connections end with it.
type traffic struct {
	pool *upstream.Pool
	// own is the number of requests of this instance at the target, and others
	// what the other instances have told.
	own, others atomic.Int64
	// coldUntil is on the clock of monotonic.
	coldUntil atomic.Int64

	mu sync.Mutex
	// slowness is the target's time for a piece of work over that of a sound one;
	// zero if nothing is known.
	slowness float64
	failures float64
	warmUp   routing.WarmUpLimiter
	// quietUntil is set after the target refused a request for want of room.
	quietUntil time.Time
	// lastByte is when the target last sent anything.
	lastByte time.Time
	// proven is set once the target has worked on a request, and triedAt is when
	// the first one was sent to it.
	proven  bool
	triedAt time.Time
	// begunSent is when the newest request was sent that has begun to answer.
	begunSent time.Time
}

func newTarget(t routing.Target) *target {
	return &target{Target: t, traffic: &traffic{pool: upstream.NewPool(t.Addr)}}
}

// provenAfter is how long a target gets no second request until it has worked on
// the first. Its entry may be that of a process which has ended: then each request
// is refused, and uses up a part of the retry limits.
const provenAfter = 250 * time.Millisecond

// usable reports whether the target may get a request now, apart from its load.
// The caller holds the lock.
func (t *traffic) usable(now time.Time) bool {
	if now.Before(t.quietUntil) {
		return false
	}
	return t.proven || t.own.Load() == 0 || now.Sub(t.triedAt) > provenAfter
}

// takePlace counts a request that is about to be sent. The caller holds the lock.
func (t *traffic) takePlace(now time.Time) {
	if t.own.Load() == 0 {
		t.triedAt = now
	}
	t.own.Add(1)
}

func (t *traffic) cold(now time.Time) bool { return monotonic(now) < t.coldUntil.Load() }

// outcome notes whether the target failed a request.
func (t *traffic) outcome(failed bool) {
	t.mu.Lock()
	t.proven = t.proven || !failed
	t.failures = routing.NextFailureRate(t.failures, failed)
	t.mu.Unlock()
}

func (t *traffic) setSlowness(s float64) {
	t.mu.Lock()
	t.slowness = s
	t.mu.Unlock()
}

// heard notes that the target has sent a part of the answer to a request that
// was sent at the given time. It reports whether this proves the target.
func (t *traffic) heard(now, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.proven
	t.lastByte, t.proven = now, true
	if sent.After(t.begunSent) {
		t.begunSent = sent
	}
	return !before
}

// isQuiet reports whether the target has just refused a request.
func (t *traffic) isQuiet(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.quietUntil)
}

// quiet keeps new work away for a while.
func (t *traffic) quiet(until time.Time) {
	t.mu.Lock()
	t.quietUntil = until
	t.mu.Unlock()
}

// snapshot is what traffic reads. It is never changed after it is published.
type snapshot struct {
	table     *routing.Table
	revision  int64
	targets   map[string][]*target // by back end; those that may get new work
	instances int
}
