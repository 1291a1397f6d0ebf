package switchover

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// simulation models a group of ranks, two coordinators that may be paused, and
// orders that are lost, duplicated or late. The ranks follow the same rules as
// real ones.
type simulation struct {
	rng            *rand.Rand
	ranks          []State
	highestFencing []uint64
	highestVersion []uint64
	delayed        []sentOrder
	coords         []*modelCoordinator
	safeguards     safeguards
	err            error
}

type safeguards struct {
	// fencing makes ranks refuse lower fencing numbers.
	fencing bool
	// decide is Decide, or a variant of it that leaves out one step.
	decide func([]State, Plan) (Phase, []Order)
}

type sentOrder struct {
	Order
	fencing uint64
}

// modelCoordinator decides from states that may be out of date.
type modelCoordinator struct {
	fencing     uint64
	mapsPlanned uint64
	plan        Plan
	states      []State
	orders      []Order
	// unconfirmed is set if an order of the round was not confirmed.
	unconfirmed bool
}

func newSimulation(seed uint64, ranks int, g safeguards) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), safeguards: g}
	for range ranks {
		w.ranks = append(w.ranks, State{Reported: true, Open: true, Epoch: 1})
		w.highestFencing = append(w.highestFencing, 0)
		w.highestVersion = append(w.highestVersion, 0)
	}
	w.coords = []*modelCoordinator{{fencing: 1}, {fencing: 2}}
	return w
}

// beginStep begins the next step on all ranks unless a rank holds it.
func (w *simulation) beginStep() {
	step := w.ranks[0].Step + 1
	for _, r := range w.ranks {
		if r.Held && r.HeldStep == step {
			return
		}
	}
	for i := range w.ranks {
		r := &w.ranks[i]
		r.Step = step
		if r.ArmedVersion != 0 && r.ArmedStep == step {
			r.MapVersion, r.ArmedVersion, r.ArmedStep = r.ArmedVersion, 0, 0
		}
	}
	for _, r := range w.ranks {
		if r.MapVersion != w.ranks[0].MapVersion {
			w.err = fmt.Errorf("step %d begins with maps %d and %d", step, w.ranks[0].MapVersion, r.MapVersion)
		}
	}
}

// confirm applies the result of an order. When all orders of a round were
// confirmed, the coordinator continues without reading the ranks again.
func (c *modelCoordinator) confirm(o Order, confirmed bool, g safeguards) {
	if !confirmed || o.Operation == Prepare {
		c.unconfirmed = true
		return
	}
	c.states[o.Rank] = c.states[o.Rank].After(o)
	if len(c.orders) == 0 && !c.unconfirmed {
		_, c.orders = g.decide(c.states, c.plan)
	}
}

// deliver applies an order to its rank and reports whether the rank confirms
// it.
func (w *simulation) deliver(o sentOrder) bool {
	r := &w.ranks[o.Rank]
	if o.Epoch != r.Epoch || w.safeguards.fencing && o.fencing < w.highestFencing[o.Rank] {
		return false
	}
	w.highestFencing[o.Rank] = max(w.highestFencing[o.Rank], o.fencing)
	switch {
	case o.Operation == Prepare && o.Version > w.highestVersion[o.Rank] && r.ArmedVersion == 0:
		r.PreparedVersion, w.highestVersion[o.Rank] = o.Version, o.Version
	case o.Operation == Arm && r.PreparedVersion == o.Version && r.Step < o.Step && (r.ArmedVersion == 0 || r.ArmedVersion == o.Version):
		r.ArmedVersion, r.ArmedStep = o.Version, o.Step
	case o.Operation == Disarm && r.MapVersion != o.Version:
		if r.ArmedVersion == o.Version {
			r.ArmedVersion, r.ArmedStep = 0, 0
		}
	case o.Operation == Hold && r.Step < o.Step && (!r.Held || r.HeldStep == o.Step):
		r.Held, r.HeldStep = true, o.Step
	case o.Operation == Go:
		if r.Held && r.HeldStep == o.Step {
			r.Held = false
		}
	default:
		return false
	}
	return true
}

// randomEvent applies one random event.
func (w *simulation) randomEvent() {
	c := w.coords[w.rng.IntN(len(w.coords))]
	switch n := w.rng.IntN(12); {
	case n < 3:
		w.beginStep()
	case n < 5: // read the states of all ranks and decide
		c.states = append(c.states[:0], w.ranks...)
		if w.rng.IntN(10) == 0 {
			c.states[w.rng.IntN(len(c.states))].Reported = false
		}
		if c.plan.Version == 0 || w.rng.IntN(40) == 0 {
			c.mapsPlanned++
			c.plan = Plan{Version: c.fencing*1000 + c.mapsPlanned, HoldRank: w.rng.IntN(len(w.ranks)), LeadSteps: uint64(1 + w.rng.IntN(3))}
		}
		_, c.orders = w.safeguards.decide(c.states, c.plan)
		c.unconfirmed = false
	case n < 10 && len(c.orders) > 0: // send the next order decided on
		o := sentOrder{c.orders[0], c.fencing}
		c.orders = c.orders[1:]
		confirmed := false
		if w.rng.IntN(4) == 0 {
			w.delayed = append(w.delayed, o)
		} else {
			confirmed = w.deliver(o)
		}
		c.confirm(o.Order, confirmed, w.safeguards)
		if w.rng.IntN(4) == 0 {
			w.delayed = append(w.delayed, o)
		}
	case n == 10 && len(w.delayed) > 0: // a late order arrives
		i := w.rng.IntN(len(w.delayed))
		w.deliver(w.delayed[i])
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	case n == 11 && w.rng.IntN(200) == 0: // a rank restarts and the group forms a new epoch
		epoch := w.ranks[0].Epoch + 1
		for i := range w.ranks {
			w.ranks[i] = State{Reported: true, Open: true, Epoch: epoch, Step: w.ranks[i].Step}
		}
		i := w.rng.IntN(len(w.ranks))
		w.highestFencing[i], w.highestVersion[i] = 0, 0
	}
}

func simulate(seed uint64, ranks, actions int, g safeguards) error {
	w := newSimulation(seed, ranks, g)
	for range actions {
		if w.randomEvent(); w.err != nil {
			return w.err
		}
	}
	return nil
}

// Guards against a step that begins with two maps, under any sequence of lost,
// late and duplicated orders, rank restarts and pauses of two coordinators.
func TestNoStepBeginsWithTwoMaps(t *testing.T) {
	for seed := range uint64(3000) {
		require.NoError(t, simulate(seed, 2+int(seed%3), 1500, safeguards{fencing: true, decide: Decide}), "seed %d", seed)
	}
}

// Guards against a model that finds no violations: without any one of the
// safeguards, it must find a step that begins with two maps.
func TestModelFindsMissingGuard(t *testing.T) {
	withoutHold := func(s []State, p Plan) (Phase, []Order) {
		phase, orders := Decide(s, p)
		if phase == Holding && len(orders) == 1 && orders[0].Operation == Hold {
			var arms []Order
			for i := range s {
				arms = append(arms, newOrder(s, i, Arm, p.Version, orders[0].Step))
			}
			return Arming, arms
		}
		return phase, orders
	}
	withoutAllArmed := func(s []State, p Plan) (Phase, []Order) {
		phase, orders := Decide(s, p)
		if held, step := firstHeld(s); phase == Arming && held >= 0 {
			orders = append(orders, newOrder(s, held, Go, 0, step))
		}
		return phase, orders
	}
	for name, g := range map[string]safeguards{
		"hold":            {fencing: true, decide: withoutHold},
		"all ranks armed": {fencing: true, decide: withoutAllArmed},
		"fencing":         {decide: Decide},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60000) {
				if simulate(seed, 2+int(seed%3), 1500, g) != nil {
					return
				}
			}
			require.Fail(t, "no violation found")
		})
	}
}

// Guards against a group that stays held: once no more faults occur, a switch
// must complete from whatever state the coordinators have left.
func TestSwitchEnds(t *testing.T) {
	for seed := range uint64(500) {
		w := newSimulation(seed, 3, safeguards{fencing: true, decide: Decide})
		for range 400 {
			w.randomEvent()
		}
		w.delayed = nil
		plan := Plan{Version: 3001, LeadSteps: 2}
		for range 60 {
			_, orders := Decide(w.ranks, plan)
			for _, o := range orders {
				w.deliver(sentOrder{o, 3})
			}
			w.beginStep()
		}
		require.NoError(t, w.err)
		for _, r := range w.ranks {
			require.Equal(t, plan.Version, r.MapVersion, "seed %d", seed)
			require.False(t, r.Held)
		}
	}
}
