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

	mu       sync.Mutex
	failures float64
	warmUp   routing.WarmUp
	// quietUntil is set after the target refused a request for want of room.
	quietUntil time.Time
	// lastByte is when the target last sent anything.
	lastByte time.Time
	// begunSent is when the newest request was sent that has begun to answer.
	begunSent time.Time
}

func newTarget(t routing.Target) *target {
	return &target{Target: t, traffic: &traffic{pool: upstream.NewPool(t.Addr)}}
}

func (t *traffic) cold(now time.Time) bool { return monotonic(now) < t.coldUntil.Load() }

// outcome notes whether the target failed a request.
func (t *traffic) outcome(failed bool) {
	t.mu.Lock()
	t.failures = routing.NextFailures(t.failures, failed)
	t.mu.Unlock()
}

// heard notes that the target has sent a part of the answer to a request that
// was sent at the given time.
func (t *traffic) heard(now, sent time.Time) {
	t.mu.Lock()
	t.lastByte = now
	if sent.After(t.begunSent) {
		t.begunSent = sent
	}
	t.mu.Unlock()
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
