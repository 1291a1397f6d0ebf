package switchover

import (
	"slices"
	"time"
)

// History is what a coordinator remembers of the orders that it has sent under one
// fencing number. It must last as long as the number is used. It keeps a decision
// from using what was true before an order that has had an effect since, of this
// coordinator or of an earlier one. It reads no clock.
type History struct {
	// claimVersion is a version that no map has. To disarm it changes nothing at a
	// rank, which from then on refuses the orders of lower fencing numbers.
	claimVersion uint64
	ranks        map[int]rankHistory
	hold         holdDecision
	inherited    inheritedHolds
}

// inheritedHolds are the hold orders that another process may have sent under the
// same number. They are for the next maxLead steps in an epoch.
type inheritedHolds struct {
	maxLead             uint64 // 0 if the number is not inherited
	epoch, lastHeldStep uint64 // set by the first decision
}

// rankHistory is what is known of the orders that were sent to one rank.
type rankHistory struct {
	// settledAt is when the reply to the last order came, or when the coordinator
	// stopped waiting for it, and usedAsOf the time as of which the last report
	// was that was used.
	settledAt, usedAsOf time.Time
	// claimedEpoch is the epoch in which the rank has last confirmed an order, if
	// claimed is set. A rank that starts again forgets the fencing number, and the
	// group then forms a new epoch.
	claimedEpoch uint64
	claimed      bool
}

// holdDecision is the step that was last to be held, and for which map.
type holdDecision struct {
	version, epoch, step uint64
}

// NewHistory returns the history of a coordinator that has sent no order under its
// number yet. claimVersion is a version that no map of the group has.
func NewHistory(claimVersion uint64) *History {
	return &History{claimVersion: claimVersion, ranks: map[int]rankHistory{}}
}

// Inherit records that another process has sent orders under the number before, and
// that it has held steps at most maxLead steps ahead.
func (h *History) Inherit(maxLead uint64) {
	h.inherited = inheritedHolds{maxLead: maxLead}
}

// Record records an order that was sent. Without a confirmation the rank may have
// carried it out, or may do so later. settledAt is when the coordinator stopped
// waiting for the reply.
func (h *History) Record(o Order, confirmed bool, settledAt time.Time) {
	r := h.ranks[o.Rank]
	r.settledAt = settledAt
	if confirmed {
		r.claimedEpoch, r.claimed = o.Epoch, true
	}
	h.ranks[o.Rank] = r
}

// Decide returns the phase of the group and the next orders like the function
// Decide. It sends no order
//
//   - that follows from a report that is older than the last order to its rank: a
//     report of before an arm order shows no armed rank, and the group would be
//     armed for another step,
//   - that follows from a report that is older than one used before: a rank that
//     seems to have lost its copy would have the held step released,
//   - before all ranks have confirmed an order under this number: an order of an
//     earlier coordinator could still be carried out after the reports, and
//   - for another step than the last one that was to be held, unless that one has
//     begun: the late order for it would hold, or release, a later switch. For the
//     same reason another map is not prepared before that step has begun, nor while
//     a hold order of a process from which the number was inherited may be late.
func (h *History) Decide(states []State, plan Plan) (Phase, []Order) {
	if !allReportSameEpoch(states) {
		return Unready, nil
	}
	if claims := h.claims(states); len(claims) > 0 {
		return Claiming, claims
	}
	if h.outdated(states) {
		return Outdated, nil
	}
	h.use(states)
	phase, orders := Decide(states, plan)
	switch {
	case phase == Preparing && (h.awaitsHold(states, plan.Version) || h.awaitsInheritedHold(states)):
		return Preparing, nil
	case phase != Holding:
	case orders[0].Operation == Hold:
		orders[0].Step = h.holdStep(orders[0], plan.Version, lastBegunStep(states))
	case h.isOwnHold(orders[0], states):
		return Outdated, nil
	}
	return phase, orders
}

// claims returns an order without effect for each rank that has not confirmed an
// order of this coordinator in the epoch.
func (h *History) claims(states []State) []Order {
	var orders []Order
	for i, s := range states {
		if r := h.ranks[i]; !r.claimed || r.claimedEpoch != s.Epoch {
			orders = append(orders, newOrder(states, i, Disarm, h.claimVersion, 0))
		}
	}
	return orders
}

// outdated reports whether some rank may have carried out an order after the state
// that it has reported, or has reported a later one before.
func (h *History) outdated(states []State) bool {
	for i, s := range states {
		r := h.ranks[i]
		if s.AsOf.Before(r.settledAt) || s.AsOf.Before(r.usedAsOf) {
			return true
		}
	}
	return false
}

// use records that the states are used for a decision.
func (h *History) use(states []State) {
	for i, s := range states {
		r := h.ranks[i]
		r.usedAsOf = s.AsOf
		h.ranks[i] = r
	}
}

// awaitsHold reports whether a hold order for another map than the one with the
// version may still take effect.
func (h *History) awaitsHold(states []State, version uint64) bool {
	return h.hold.version != version && h.hold.epoch == states[0].Epoch && lastBegunStep(states) < h.hold.step
}

// awaitsInheritedHold reports whether a hold order of the process from which the
// number was inherited may still take effect.
func (h *History) awaitsInheritedHold(states []State) bool {
	i := &h.inherited
	lastBegun := lastBegunStep(states)
	if i.maxLead > 0 && i.lastHeldStep == 0 {
		i.epoch, i.lastHeldStep = states[0].Epoch, lastBegun+i.maxLead
	}
	return i.epoch == states[0].Epoch && lastBegun < i.lastHeldStep
}

// isOwnHold reports whether an order would release the step that was held for a map
// which no rank uses yet. All ranks had prepared that map, so that a state without it
// is older.
func (h *History) isOwnHold(o Order, states []State) bool {
	own := h.hold.version != 0 && h.hold.epoch == o.Epoch && h.hold.step == o.Step
	return own && !slices.ContainsFunc(states, func(s State) bool { return s.MapVersion == h.hold.version })
}

// holdStep returns the step to hold: the one that was held for the map before, while
// it has not begun, or the step of the order.
func (h *History) holdStep(o Order, version, lastBegun uint64) uint64 {
	if h.hold.version != version || h.hold.epoch != o.Epoch || h.hold.step <= lastBegun {
		h.hold = holdDecision{version: version, epoch: o.Epoch, step: o.Step}
	}
	return h.hold.step
}

// Finish returns the next orders of a switch that has begun, for a process that acts
// in place of the coordinator, under its number and without its history. The
// states may be old, and the coordinator may act too. The orders are therefore only
// those that are right whenever the states were true: while a step is held, all
// ranks are armed for this step and no other, and the group is released when all
// are armed. A hold that belongs to no switch is left to the coordinator.
func Finish(states []State) (Phase, []Order) {
	if !allReportSameEpoch(states) {
		return Unready, nil
	}
	if version, step, ok := firstArmed(states); ok {
		return finishArming(states, Plan{}, version, step)
	}
	held, step := firstHeld(states)
	if held < 0 {
		return Settled, nil
	}
	if phase, orders := armAfterHold(states, held, step); phase == Arming {
		return phase, orders
	}
	return Holding, nil
}
