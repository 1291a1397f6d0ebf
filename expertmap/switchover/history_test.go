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

var preparedPlan = Plan{Version: 5, HoldRank: 1, LeadSteps: 3}

// Guards against a second step for which ranks are armed, because a report of before
// an order was used: it shows neither the hold nor the armed ranks.
func TestReportOlderThanOrderIsNotUsed(t *testing.T) {
	h := NewHistory()
	phase, orders := h.Decide(preparedGroup(at(1)), preparedPlan)
	require.Equal(t, Holding, phase)
	h.Record(orders[0], at(3))
	states := preparedGroup(at(4))
	states[1].AsOf = at(2)
	phase, later := h.Decide(states, preparedPlan)
	require.Equal(t, Outdated, phase)
	require.Empty(t, later)
	phase, _ = h.Decide(preparedGroup(at(3)), preparedPlan)
	require.Equal(t, Holding, phase)
}

// Guards against a step that begins while some ranks are armed: a report of before a
// copy was complete came after a later one, and the coordinator took its own hold for
// a leftover. A hold that belongs to no map, or to one in use, is released.
func TestOwnHoldIsNotReleased(t *testing.T) {
	h := NewHistory()
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
	h := NewHistory()
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
