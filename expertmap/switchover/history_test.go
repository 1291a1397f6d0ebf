package switchover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// at returns a time in seconds.
func at(s int) time.Time { return time.Unix(int64(s), 0) }

// preparedGroup returns the reports of three ranks that have prepared version 5, as
// of a time.
func preparedGroup(asOf time.Time) []State {
	states := make([]State, 3)
	for i := range states {
		states[i] = State{Reported: true, Open: true, Epoch: 1, Step: 40, PreparedVersion: 5, AsOf: asOf}
	}
	return states
}

// claimedHistory returns a history in which all ranks have confirmed an order at a
// time.
func claimedHistory(claimed time.Time) *History {
	h := NewHistory(1)
	for rank := range 3 {
		h.Record(Order{Rank: rank, Operation: Disarm, Version: 1, Epoch: 1}, true, claimed)
	}
	return h
}

var preparedPlan = Plan{Version: 5, HoldRank: 1, LeadSteps: 3}

// Guards against a second step for which ranks are armed, because a report of before
// an order was used: it shows neither the hold nor the armed ranks.
func TestReportOlderThanOrderIsNotUsed(t *testing.T) {
	h := claimedHistory(at(1))
	phase, orders := h.Decide(preparedGroup(at(1)), preparedPlan)
	require.Equal(t, Holding, phase)
	for _, confirmed := range []bool{true, false} { // a lost reply shows nothing
		h.Record(orders[0], confirmed, at(3))
		states := preparedGroup(at(4))
		states[1].AsOf = at(2)
		phase, later := h.Decide(states, preparedPlan)
		require.Equal(t, Outdated, phase)
		require.Empty(t, later)
	}
	phase, _ = h.Decide(preparedGroup(at(3)), preparedPlan)
	require.Equal(t, Holding, phase)
}

// Guards against a decision from reports that an order of an earlier coordinator
// still changes, and against a rank that has forgotten the fencing number in a new
// epoch.
func TestNoOrderBeforeAllRanksAreClaimed(t *testing.T) {
	h := NewHistory(1)
	phase, orders := h.Decide(preparedGroup(at(1)), preparedPlan)
	require.Equal(t, Claiming, phase)
	require.Len(t, orders, 3)
	for _, o := range orders {
		require.Equal(t, Order{Rank: o.Rank, Operation: Disarm, Version: 1, Epoch: 1}, o, "the order must change nothing")
		h.Record(o, o.Rank != 2, at(2))
	}
	phase, orders = h.Decide(preparedGroup(at(5)), preparedPlan)
	require.Equal(t, Claiming, phase)
	require.Len(t, orders, 1, "rank 2 has not confirmed the order")
	h.Record(orders[0], true, at(6))
	phase, _ = h.Decide(preparedGroup(at(5)), preparedPlan)
	require.Equal(t, Outdated, phase, "the reports are older than the claim")
	phase, _ = h.Decide(preparedGroup(at(6)), preparedPlan)
	require.Equal(t, Holding, phase)

	states := preparedGroup(at(7))
	for i := range states {
		states[i].Epoch = 2
	}
	phase, orders = h.Decide(states, preparedPlan)
	require.Equal(t, Claiming, phase)
	require.Len(t, orders, 3)
}

// Guards against a step that begins while some ranks are armed: a report of before a
// copy was complete came after a later one, and the coordinator took its own hold for
// a leftover. A hold that belongs to no map, or to one in use, is released.
func TestOwnHoldIsNotReleased(t *testing.T) {
	h := claimedHistory(at(1))
	_, orders := h.Decide(preparedGroup(at(2)), preparedPlan)
	require.Equal(t, Hold, orders[0].Operation)
	held := func(change func(states []State)) []State {
		states := preparedGroup(at(9))
		states[1].Held, states[1].HeldStep = true, orders[0].Step
		change(states)
		return states
	}
	phase, later := h.Decide(held(func(s []State) { s[2].PreparedVersion = 0 }), preparedPlan)
	require.Equal(t, Outdated, phase)
	require.Empty(t, later)
	for name, change := range map[string]func(s []State){
		"the map is in use": func(s []State) { s[0].MapVersion, s[1].MapVersion, s[2].MapVersion = 5, 5, 5 },
		"another step":      func(s []State) { s[1].HeldStep, s[2].PreparedVersion = 50, 0 },
	} {
		phase, later = h.Decide(held(change), preparedPlan)
		require.Equal(t, Holding, phase, name)
		require.Equal(t, Go, later[0].Operation, name)
	}
}

// Guards against a late hold order that holds a later step, and against one for a
// step that has begun.
func TestHoldIsRepeatedForOneStep(t *testing.T) {
	h := claimedHistory(at(1))
	held := func(step uint64) uint64 {
		states := preparedGroup(at(9))
		for i := range states {
			states[i].Step = step
		}
		phase, orders := h.Decide(states, preparedPlan)
		require.Equal(t, Holding, phase)
		return orders[0].Step
	}
	require.EqualValues(t, 43, held(40))
	require.EqualValues(t, 43, held(42), "the step has not begun")
	require.EqualValues(t, 46, held(43))
}

// Guards against a step that begins while some ranks are armed, because a process
// that acts in place of the coordinator saw reports of different ages and took the
// hold for a leftover.
func TestFinishReleasesOnlyArmedGroup(t *testing.T) {
	states := preparedGroup(at(1))
	states[1].Held, states[1].HeldStep = true, 43
	states[2].PreparedVersion = 0 // as of before its copy was complete
	_, orders := Finish(states)
	require.Empty(t, orders)

	states[2].PreparedVersion = 5
	_, orders = Finish(states)
	require.Len(t, orders, 3)
	for i, o := range orders {
		require.Equal(t, Order{Rank: i, Operation: Arm, Version: 5, Step: 43, Epoch: 1}, o)
		states[i] = states[i].After(o, at(2))
	}
	_, orders = Finish(states)
	require.Equal(t, []Order{{Rank: 1, Operation: Go, Step: 43, Epoch: 1}}, orders)
}

// Guards against two held steps for one map: a hold order of the process from which
// the number was inherited takes effect late, for a step that has not begun.
func TestNoNewMapWhileInheritedHoldMayBeLate(t *testing.T) {
	h := claimedHistory(at(1))
	h.Inherit(4)
	prepares := func(step, epoch uint64) int {
		states := preparedGroup(at(9))
		for i := range states {
			states[i].Step, states[i].Epoch, states[i].PreparedVersion = step, epoch, 0
			h.Record(Order{Rank: i, Operation: Disarm, Version: 1, Epoch: epoch}, true, at(8))
		}
		phase, orders := h.Decide(states, preparedPlan)
		require.Equal(t, Preparing, phase)
		return len(orders)
	}
	require.Zero(t, prepares(40, 1))
	require.Zero(t, prepares(43, 1))
	require.Equal(t, 3, prepares(44, 1))
	require.Equal(t, 3, prepares(3, 2), "late orders are for the former epoch")
}

// Guards against two held steps for one map: the plan was dropped after a hold order
// that got no reply, and the order takes effect while the next map is prepared.
func TestNoOtherMapWhileHoldMayBeLate(t *testing.T) {
	h := claimedHistory(at(1))
	_, orders := h.Decide(preparedGroup(at(2)), preparedPlan)
	require.Equal(t, Hold, orders[0].Operation)
	other := Plan{Version: 6, HoldRank: 2, LeadSteps: 3}
	states := preparedGroup(at(9))
	phase, prepares := h.Decide(states, other)
	require.Equal(t, Preparing, phase)
	require.Empty(t, prepares)
	for i := range states {
		states[i].Step = orders[0].Step
	}
	_, prepares = h.Decide(states, other)
	require.Len(t, prepares, 3)
}

// Guards against a decision from a report that comes after a newer one, from the rank
// itself after the one of its agent.
func TestReportOlderThanUsedOneIsNotUsed(t *testing.T) {
	h := claimedHistory(at(1))
	phase, _ := h.Decide(preparedGroup(at(5)), preparedPlan)
	require.Equal(t, Holding, phase)
	states := preparedGroup(at(6))
	states[2].AsOf = at(4)
	phase, orders := h.Decide(states, preparedPlan)
	require.Equal(t, Outdated, phase)
	require.Empty(t, orders)
	phase, _ = h.Decide(preparedGroup(at(6)), preparedPlan)
	require.Equal(t, Holding, phase)
}
