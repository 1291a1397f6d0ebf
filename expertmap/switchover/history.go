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
	ranks map[int]rankHistory
	hold  holdDecision
}

// rankHistory is what is known of the orders that were sent to one rank.
type rankHistory struct {
	// settledAt is when the reply to the last order came, or when the coordinator
	// stopped waiting for it, and usedAsOf the time as of which the last report
	// was that was used.
	settledAt, usedAsOf time.Time
}

// holdDecision is the step that was last to be held, and for which map.
type holdDecision struct {
	version, epoch, step uint64
}

// NewHistory returns the history of a coordinator that has sent no order under its
// number yet.
func NewHistory() *History {
	return &History{ranks: map[int]rankHistory{}}
}

// Record records an order that was sent. Without a confirmation the rank may have
// carried it out, or may do so later. settledAt is when the reply came, or when the
// coordinator stopped waiting for it.
func (h *History) Record(o Order, settledAt time.Time) {
	r := h.ranks[o.Rank]
	r.settledAt = settledAt
	h.ranks[o.Rank] = r
}

// Decide returns the phase of the group and the next orders like the function
// Decide. It sends no order
//
//   - that follows from a report that is older than the last order to its rank: a
//     report of before an arm order shows no armed rank, and the group would be
//     armed for another step,
//   - that follows from a report that is older than one used before: a rank that
//     seems to have lost its copy would have the held step released, and
//   - for another step than the last one that was to be held, unless that one has
//     begun: the late order for it would hold, or release, a later switch.
func (h *History) Decide(states []State, plan Plan) (Phase, []Order) {
	if !allReportSameEpoch(states) {
		return Unready, nil
	}
	if h.outdated(states) {
		return Outdated, nil
	}
	h.use(states)
	phase, orders := Decide(states, plan)
	switch {
	case phase != Holding:
	case orders[0].Operation == Hold:
		orders[0].Step = h.holdStep(orders[0], plan.Version, lastBegunStep(states))
	case h.isOwnHold(orders[0], states):
		return Outdated, nil
	}
	return phase, orders
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
