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
	*targetState
}

// targetState is what this instance knows about one incarnation from its requests.
// Its connections end with it.
type targetState struct {
	pool *upstream.Pool
	// ownRequests is the number of requests of this instance at the target, and others
	// what the other instances have told.
	ownRequests, peerRequests atomic.Int64
	// warmUpUntil is on the clock of monotonic.
	warmUpUntil atomic.Int64

	mu sync.Mutex
	// slowdown is the target's time for a piece of work over that of a sound one;
	// zero if nothing is known.
	slowdown      float64
	failureRate   float64
	warmUpLimiter routing.WarmUpLimiter
	// pausedUntil is set after the target refused a request for want of room.
	pausedUntil time.Time
	// lastByteAt is when the target last sent anything.
	lastByteAt time.Time
	// verified is set once the target has worked on a request, and triedAt is when
	// the first one was sent to it.
	verified    bool
	firstSentAt time.Time
	// newestRespondingSentAt is when the newest request was sent that has begun to answer.
	newestRespondingSentAt time.Time
}

func newTarget(t routing.Target) *target {
	return &target{Target: t, targetState: &targetState{pool: upstream.NewPool(t.Addr)}}
}

// verificationTimeout is how long a target gets no second request until it has worked on
// the first. Its entry may be that of a process which has ended: then each request
// is refused, and uses up a part of the retry limits.
const verificationTimeout = 250 * time.Millisecond

// canAccept reports whether the target may get a request now, apart from its load.
// The caller holds the lock.
func (t *targetState) canAccept(now time.Time) bool {
	if now.Before(t.pausedUntil) {
		return false
	}
	return t.verified || t.ownRequests.Load() == 0 || now.Sub(t.firstSentAt) > verificationTimeout
}

// takeSlot counts a request that is about to be sent. The caller holds the lock.
func (t *targetState) takeSlot(now time.Time) {
	if t.ownRequests.Load() == 0 {
		t.firstSentAt = now
	}
	t.ownRequests.Add(1)
}

func (t *targetState) isWarmingUp(now time.Time) bool { return monotonic(now) < t.warmUpUntil.Load() }

// recordOutcome notes whether the target failed a request.
func (t *targetState) recordOutcome(failed bool) {
	t.mu.Lock()
	t.verified = t.verified || !failed
	t.failureRate = routing.NextFailureRate(t.failureRate, failed)
	t.mu.Unlock()
}

func (t *targetState) setSlowdown(s float64) {
	t.mu.Lock()
	t.slowdown = s
	t.mu.Unlock()
}

// recordResponse notes that the target has sent a part of the answer to a request that
// was sent at the given time. It reports whether this proves the target.
func (t *targetState) recordResponse(now, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.verified
	t.lastByteAt, t.verified = now, true
	if sent.After(t.newestRespondingSentAt) {
		t.newestRespondingSentAt = sent
	}
	return !before
}

// isPaused reports whether the target has just refused a request.
func (t *targetState) isPaused(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.pausedUntil)
}

// pauseUntil keeps new work away for a while.
func (t *targetState) pauseUntil(until time.Time) {
	t.mu.Lock()
	t.pausedUntil = until
	t.mu.Unlock()
}

// snapshot is what traffic reads. It is never changed after it is published.
type snapshot struct {
	table     *routing.Table
	revision  int64
	targets   map[string][]*target // by back end; those that may get new work
	instances int
}
