package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
)

// assignTarget chooses a target and reserves a slot there for the request. It
// returns nil if no target can accept the request. The caller holds q.mu.
func (q *queue) assignTarget(req *slotRequest, now time.Time) *target {
	if !q.outage.allowsRequest(now) {
		return nil
	}
	s := q.g.snapshot.Load()
	backend := s.table.Backend(q.backend)
	targets := s.targets[q.backend]
	candidates := make([]routing.Candidate, len(targets))
	allKnown, preferred := true, -1
	for i, t := range targets {
		t.mu.Lock()
		usable := req.isAllowed(t) && t.canAccept(now)
		load, known := t.load(now)
		if usable && backend != nil && t.isWarmingUp(now) && backend.WarmUpRate > 0 {
			usable = s.allowsWarmUp(t, backend.WarmUpRate, now)
		}
		candidates[i] = routing.Candidate{
			Load: float64(load), OwnLoad: float64(t.ownRequests.Load()), Slots: t.Slots, FailureRate: t.failureRate,
			Local: t.DataCentre == q.g.opts.DataCentre, Connected: t.pool.HasIdle(), Usable: usable, Slowdown: t.slowdown,
			Unresponsive: t.isUnresponsive(now),
		}
		t.mu.Unlock()
		allKnown = allKnown && (known || !usable)
		if usable && req.place.prefers(t) && !candidates[i].Full() {
			preferred = i
		}
	}
	routing.AvoidUnresponsive(candidates)
	i := preferred
	if i >= 0 && !candidates[i].Usable {
		i = -1
	}
	switch {
	case i >= 0:
	case allKnown:
		i = routing.PickOfTwo(candidates, rand.IntN)
	default:
		i = routing.Pick(candidates, s.instanceCount, rand.IntN(max(1, len(candidates))))
	}
	if i < 0 {
		return nil
	}
	i = q.weighHeldPrompts(req, s, candidates, i, now)
	t := targets[i]
	t.mu.Lock()
	if backend != nil && t.isWarmingUp(now) && backend.WarmUpRate > 0 {
		t.warmUpLimiter.TakeRequest(backend.WarmUpRate, routing.WarmUpSenders(backend.WarmUpRate, s.instanceCount), now)
	}
	t.takeSlot(now)
	t.mu.Unlock()
	q.outage.recordProbe(now)
	return t
}
