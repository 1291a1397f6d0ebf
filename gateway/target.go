package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/gateway/upstream"
	"github.com/skylarkstep/skylarkstep/routing"
)

// target is one incarnation of a target: its latest entry and the state of this
// instance for it. A changed entry replaces Target and keeps the state.
type target struct {
	routing.Target
	*targetState
}

// targetState is what this instance has recorded about one incarnation from its
// requests. Its connections are closed when the incarnation is removed.
type targetState struct {
	pool *upstream.Pool
	// ownRequests is the number of requests of this instance at the target, and
	// peerRequests the number that the other instances have reported.
	ownRequests, peerRequests atomic.Int64
	// refusedAt is when the target was last found to refuse connections after a lost
	// request, as returned by monotonic; 0 if never.
	refusedAt atomic.Int64
	// saidLeaving is set once a response has said that the target leaves.
	saidLeaving atomic.Bool
	// misdirected is set once another process has answered at the address.
	misdirected atomic.Bool
	// warmUpUntil is the end of the warm-up, as returned by monotonic.
	warmUpUntil atomic.Int64

	mu sync.Mutex
	// slowdown is the slowdown factor of the target, as in routing.Candidate.
	slowdown      float64
	failureRate   float64
	warmUpLimiter routing.WarmUpLimiter
	rateLimit     targetLimit
	rest          routing.Rest
	// pausedUntil is the end of the pause after a refused or undeliverable
	// request, during which the target gets no new ones.
	pausedUntil time.Time
	// lastByteAt is when the target last sent data.
	lastByteAt time.Time
	// reported is the number of requests of all instances at the target as of
	// reportedAt, and ownAtReport that of this instance then.
	reported, ownAtReport int64
	reportedAt            time.Time
	// reportedUnresponsive is set if the target has not replied to the coordinator of
	// its group, as of reportedAt.
	reportedUnresponsive bool
	// verified is set once the target has worked on a request. firstSentAt is
	// when this instance last sent a request to the target while it had no
	// others there.
	verified    bool
	firstSentAt time.Time
	// newestRespondingSentAt is the latest time at which a request was sent to
	// which the target has begun to respond.
	newestRespondingSentAt time.Time
}

func newTarget(t routing.Target) *target {
	return &target{Target: t, targetState: &targetState{pool: upstream.NewPool(t.Addr)}}
}

// verificationTimeout is how long a target gets no second request until it has
// worked on the first. Its entry may belong to a process that has exited: each
// request is then refused and uses up part of the retry budget.
const verificationTimeout = 250 * time.Millisecond

// canAccept reports whether the target may receive a request now, regardless of
// its load. It may not if it leaves, rests or has used up the limit that it has
// named. The caller holds t.mu.
func (t *targetState) canAccept(now time.Time) bool {
	if t.saidLeaving.Load() || now.Before(t.pausedUntil) {
		return false
	}
	if !t.rest.Allows(now) || !t.rateLimit.allows(now) {
		return false
	}
	return t.verified || t.ownRequests.Load() == 0 || now.Sub(t.firstSentAt) > verificationTimeout
}

// takeSlot counts a request that is about to be sent. The caller holds t.mu.
func (t *targetState) takeSlot(now time.Time) {
	if t.ownRequests.Load() == 0 {
		t.firstSentAt = now
	}
	t.ownRequests.Add(1)
	t.rateLimit.take(now)
	t.rest.RecordRequest(now)
}

// reportedLoadTimeout is the age from which on the reported load of a target does not
// count.
const reportedLoadTimeout = 900 * time.Millisecond

// recordReportedLoad records the number of requests of all instances at the target, or
// that it has not replied.
func (t *targetState) recordReportedLoad(requests int64, unresponsive bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported, t.reportedAt, t.ownAtReport = requests, now, t.ownRequests.Load()
	t.reportedUnresponsive = unresponsive
}

// ownEvidenceAge is the age up to which a response of a target shows that it responds,
// whatever the coordinator of its group says: only its path to that one may be cut.
const ownEvidenceAge = 400 * time.Millisecond

// isUnresponsive reports whether the coordinator of its group gets no reply from the
// target and this instance has no newer response. The caller holds t.mu.
func (t *targetState) isUnresponsive(now time.Time) bool {
	if !t.reportedUnresponsive || now.Sub(t.reportedAt) > reportedLoadTimeout {
		return false
	}
	return now.Sub(t.lastByteAt) > ownEvidenceAge
}

// load returns the number of requests of all instances at the target, and whether its
// rank has reported it lately. Otherwise it is the number that some instances have
// told of. The caller holds t.mu.
func (t *targetState) load(now time.Time) (requests int64, reported bool) {
	own := t.ownRequests.Load()
	if t.reportedAt.IsZero() || now.Sub(t.reportedAt) > reportedLoadTimeout {
		return own + t.peerRequests.Load(), false
	}
	return max(own, t.reported+own-t.ownAtReport), true
}

func (t *targetState) isWarmingUp(now time.Time) bool { return monotonic(now) < t.warmUpUntil.Load() }

// recordOutcome updates the failure rate after a request.
func (t *targetState) recordOutcome(failed bool) {
	t.mu.Lock()
	t.verified = t.verified || !failed
	t.failureRate = routing.NextFailureRate(t.failureRate, failed)
	t.mu.Unlock()
}

func (t *targetState) setSlowdown(slowdown float64) {
	t.mu.Lock()
	t.slowdown = slowdown
	t.mu.Unlock()
}

// recordResponse records that the target has sent part of the response to a
// request that was sent at sentAt. It reports whether this has verified the
// target.
func (t *targetState) recordResponse(now, sentAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasVerified := t.verified
	t.lastByteAt, t.verified = now, true
	if sentAt.After(t.newestRespondingSentAt) {
		t.newestRespondingSentAt = sentAt
	}
	return !wasVerified
}

// isPaused reports whether pausedUntil has not been reached yet.
func (t *targetState) isPaused(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.pausedUntil)
}

// pauseUntil keeps new requests away from the target until the given time.
func (t *targetState) pauseUntil(until time.Time) {
	t.mu.Lock()
	t.pausedUntil = until
	t.mu.Unlock()
}

// snapshot is the view of the deployment by which requests are served. It is
// immutable once it is published.
type snapshot struct {
	table    *routing.Table
	revision int64
	targets  map[string][]*target // by back end; only those that accept new work
	// groups holds the rank groups of each back end to which this instance sends
	// requests, and rankOf the rank of each target that is one, by its id.
	groups map[string][]*rankGroup
	rankOf map[string]rankOf
	// instanceCount is the number of instances that send requests, and position
	// that of this one in the order of their ids.
	instanceCount, position int
}

// allowsWarmUp reports whether a target in its warm-up may get a request of this
// instance now. The caller holds t.mu.
func (s *snapshot) allowsWarmUp(t *target, rate float64, now time.Time) bool {
	senders := routing.WarmUpSenders(rate, s.instanceCount)
	return routing.IsSender(t.ID, s.position, s.instanceCount, senders) && t.warmUpLimiter.CanTakeRequest(rate, senders, now)
}
