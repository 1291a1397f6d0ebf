package switchover

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// world is a group of ranks with the rules of real ones, two coordinators that
// may be paused, and orders that get lost, doubled or late.
type world struct {
	rng     *rand.Rand
	ranks   []State
	fences  []uint64
	highest []uint64
	late    []sentOrder
	coords  []*modelCoordinator
	guards  guards
	err     error
}

type guards struct {
	// fence makes ranks refuse lower fencing numbers.
	fence bool
	// decide is the logic under test, or one with a step left out.
	decide func([]State, Plan) (Phase, []Order)
}

type sentOrder struct {
	Order
	fencing uint64
}

// modelCoordinator decides from states that it read a while ago.
type modelCoordinator struct {
	fencing uint64
	counter uint64
	plan    Plan
	states  []State
	orders  []Order
	// doubtful is set while an order of the round was not confirmed.
	doubtful bool
}

func newWorld(seed uint64, ranks int, g guards) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), guards: g}
	for range ranks {
		w.ranks = append(w.ranks, State{Reported: true, Open: true, Epoch: 1})
		w.fences = append(w.fences, 0)
		w.highest = append(w.highest, 0)
	}
	w.coords = []*modelCoordinator{{fencing: 1}, {fencing: 2}}
	return w
}

// pass begins the next step if no rank holds it.
func (w *world) pass() {
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

// confirm takes in the answer to an order. When all orders of a round were
// confirmed, the coordinator goes on without reading the ranks again.
func (c *modelCoordinator) confirm(o Order, confirmed bool, g guards) {
	if !confirmed || o.Operation == Prepare {
		c.doubtful = true
		return
	}
	c.states[o.Rank] = c.states[o.Rank].After(o)
	if len(c.orders) == 0 && !c.doubtful {
		_, c.orders = g.decide(c.states, c.plan)
	}
}

// receive carries out an order as a rank does, and reports whether the rank
// confirms it.
func (w *world) receive(o sentOrder) bool {
	r := &w.ranks[o.Rank]
	if o.Epoch != r.Epoch || w.guards.fence && o.fencing < w.fences[o.Rank] {
		return false
	}
	w.fences[o.Rank] = max(w.fences[o.Rank], o.fencing)
	switch {
	case o.Operation == Prepare && o.Version > w.highest[o.Rank] && r.ArmedVersion == 0:
		r.PreparedVersion, w.highest[o.Rank] = o.Version, o.Version
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

// act lets one thing happen.
func (w *world) act() {
	c := w.coords[w.rng.IntN(len(w.coords))]
	switch n := w.rng.IntN(12); {
	case n < 3:
		w.pass()
	case n < 5: // read all ranks, and decide
		c.states = append(c.states[:0], w.ranks...)
		if w.rng.IntN(10) == 0 {
			c.states[w.rng.IntN(len(c.states))].Reported = false
		}
		if c.plan.Version == 0 || w.rng.IntN(40) == 0 {
			c.counter++
			c.plan = Plan{Version: c.fencing*1000 + c.counter, HoldRank: w.rng.IntN(len(w.ranks)), LeadSteps: uint64(1 + w.rng.IntN(3))}
		}
		_, c.orders = w.guards.decide(c.states, c.plan)
		c.doubtful = false
	case n < 10 && len(c.orders) > 0: // send one of the orders decided on
		o := sentOrder{c.orders[0], c.fencing}
		c.orders = c.orders[1:]
		confirmed := false
		if w.rng.IntN(4) == 0 {
			w.late = append(w.late, o)
		} else {
			confirmed = w.receive(o)
		}
		c.confirm(o.Order, confirmed, w.guards)
		if w.rng.IntN(4) == 0 {
			w.late = append(w.late, o)
		}
	case n == 10 && len(w.late) > 0: // one that was late arrives
		i := w.rng.IntN(len(w.late))
		w.receive(w.late[i])
		w.late = append(w.late[:i], w.late[i+1:]...)
	case n == 11 && w.rng.IntN(200) == 0: // a rank restarts, and the group forms anew
		epoch := w.ranks[0].Epoch + 1
		for i := range w.ranks {
			w.ranks[i] = State{Reported: true, Open: true, Epoch: epoch, Step: w.ranks[i].Step}
		}
		i := w.rng.IntN(len(w.ranks))
		w.fences[i], w.highest[i] = 0, 0
	}
}

func run(seed uint64, ranks, actions int, g guards) error {
	w := newWorld(seed, ranks, g)
	for range actions {
		if w.act(); w.err != nil {
			return w.err
		}
	}
	return nil
}

// Guards against any order of losses, delays, repeats, restarts and pauses of two
// coordinators in which a step begins with two maps.
func TestNoStepBeginsWithTwoMaps(t *testing.T) {
	for seed := range uint64(3000) {
		require.NoError(t, run(seed, 2+int(seed%3), 1500, guards{fence: true, decide: Decide}), "seed %d", seed)
	}
}

// Guards against a model that finds nothing: each guard that is taken out must
// lead to two maps in one step.
func TestModelFindsMissingGuard(t *testing.T) {
	withoutHold := func(s []State, p Plan) (Phase, []Order) {
		phase, orders := Decide(s, p)
		if phase == Holding && len(orders) == 1 && orders[0].Operation == Hold {
			var arms []Order
			for i := range s {
				arms = append(arms, order(s, i, Arm, p.Version, orders[0].Step))
			}
			return Arming, arms
		}
		return phase, orders
	}
	withoutAllArmed := func(s []State, p Plan) (Phase, []Order) {
		phase, orders := Decide(s, p)
		if held, step := anyHeld(s); phase == Arming && held >= 0 {
			orders = append(orders, order(s, held, Go, 0, step))
		}
		return phase, orders
	}
	for name, g := range map[string]guards{
		"hold":            {fence: true, decide: withoutHold},
		"all ranks armed": {fence: true, decide: withoutAllArmed},
		"fencing":         {decide: Decide},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60000) {
				if run(seed, 2+int(seed%3), 1500, g) != nil {
					return
				}
			}
			require.Fail(t, "nothing found")
		})
	}
}

// Guards against a group that stays held: without further faults a switch ends,
// whatever a coordinator has left behind.
func TestSwitchEnds(t *testing.T) {
	for seed := range uint64(500) {
		w := newWorld(seed, 3, guards{fence: true, decide: Decide})
		for range 400 {
			w.act()
		}
		w.late = nil
		plan := Plan{Version: 3001, LeadSteps: 2}
		for range 60 {
			_, orders := Decide(w.ranks, plan)
			for _, o := range orders {
				w.receive(sentOrder{o, 3})
			}
			w.pass()
		}
		require.NoError(t, w.err)
		for _, r := range w.ranks {
			require.Equal(t, plan.Version, r.MapVersion, "seed %d", seed)
			require.False(t, r.Held)
		}
	}
}
