package switchover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxReportAge is the largest age of a report in the model, in events.
const maxReportAge = 12

// maxModelLead is the largest lead of a held step in the model.
const maxModelLead = 3

// simulation models a group of ranks, coordinators that may be paused, agents that
// finish switches under a coordinator's number, orders that are lost, duplicated or
// late, and reports that are old. The ranks follow the same rules as real ones.
type simulation struct {
	rng            *rand.Rand
	events         int
	idle           bool // whether steps are rare
	ranks          []modelRank
	highestFencing []uint64
	highestVersion []uint64
	delayed        []sentOrder
	coords         []*modelCoordinator
	agents         []*modelAgent
	content        uint64 // of the last map that was planned
	safeguards     safeguards
	err            error
}

// modelRank is one rank: its state, the content of its maps, and the states that it
// may still report.
type modelRank struct {
	State
	content, preparedContent uint64
	copying, copyingContent  uint64 // the version that the rank is copying; 0 is none
	past                     []State
}

type safeguards struct {
	// fencing makes ranks refuse lower fencing numbers.
	fencing bool
	// decide is Decide, or a variant of it that leaves out one step.
	decide func([]State, Plan) (Phase, []Order)
	// without names the parts of History.Decide that are left out.
	without []string
	// forgetCount lets a coordinator that starts again under its number count its
	// maps from 0.
	forgetCount bool
	// finish is Finish, or a variant of it.
	finish func([]State) (Phase, []Order)
}

// allSafeguards are the safeguards of the product.
var allSafeguards = safeguards{fencing: true, decide: Decide, finish: Finish}

type sentOrder struct {
	Order
	fencing uint64
	content uint64 // of the map of a prepare order
}

// modelCoordinator decides from states that may be out of date.
type modelCoordinator struct {
	fencing     uint64
	mapsPlanned uint64
	history     *History
	plan        Plan
	content     uint64 // of the plan
	states      []State
	orders      []Order
	// unconfirmed is set if an order of the round was not confirmed.
	unconfirmed bool
}

// modelAgent finishes the switch of a coordinator under its number.
type modelAgent struct {
	of     *modelCoordinator
	orders []Order
}

func newSimulation(seed uint64, ranks int, g safeguards) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), safeguards: g, idle: seed%4 < 2}
	for range ranks {
		w.ranks = append(w.ranks, modelRank{State: State{Reported: true, Open: true, Epoch: 1}})
		w.highestFencing = append(w.highestFencing, 0)
		w.highestVersion = append(w.highestVersion, 0)
	}
	for n := range 1 + seed/3%3 {
		c := &modelCoordinator{fencing: n + 1, history: NewHistory((n + 1) * 1000)}
		w.coords = append(w.coords, c)
		w.agents = append(w.agents, &modelAgent{of: c})
	}
	return w
}

// now returns the time of the current event.
func (w *simulation) now() time.Time { return time.Unix(int64(w.events), 0) }

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
			r.MapVersion, r.content, r.ArmedVersion, r.ArmedStep = r.ArmedVersion, r.preparedContent, 0, 0
		}
	}
	first := w.ranks[0]
	for _, r := range w.ranks {
		if r.MapVersion != first.MapVersion || r.content != first.content {
			w.err = fmt.Errorf("step %d begins with maps %d (%d) and %d (%d)", step, first.MapVersion, first.content, r.MapVersion, r.content)
		}
	}
}

// report returns the state of a rank as of now, or as of an earlier event. AsOf is
// then the bound that a coordinator knows.
func (w *simulation) report(rank int, old bool) State {
	r := w.ranks[rank]
	if !old {
		s := r.State
		s.AsOf = w.now()
		return s
	}
	s := r.past[len(r.past)-1-w.rng.IntN(min(len(r.past), maxReportAge))]
	s.AsOf = w.now().Add(-maxReportAge * time.Second)
	return s
}

// reports returns the states of all ranks. Some agents may be away: the reports of
// their ranks are old.
func (w *simulation) reports() []State {
	away := w.rng.IntN(3)
	var states []State
	for i := range w.ranks {
		states = append(states, w.report(i, away == 1 && w.rng.IntN(2) == 0 || away == 2))
	}
	return states
}

// decide lets a coordinator decide on its states.
func (w *simulation) decide(c *modelCoordinator) []Order {
	g := w.safeguards
	h := c.history
	switch {
	case !allReportSameEpoch(c.states):
		return nil
	case !slices.Contains(g.without, "claims") && len(h.claims(c.states)) > 0:
		return h.claims(c.states)
	case !slices.Contains(g.without, "newer reports") && h.outdated(c.states):
		return nil
	}
	if !slices.Contains(g.without, "reports in order") {
		h.use(c.states)
	}
	phase, orders := g.decide(c.states, c.plan)
	switch {
	case phase == Preparing && !slices.Contains(g.without, "inherited holds") && h.awaitsInheritedHold(c.states):
		return nil
	case phase == Preparing && !slices.Contains(g.without, "late holds") && h.awaitsHold(c.states, c.plan.Version):
		return nil
	case phase != Holding:
	case orders[0].Operation == Hold && !slices.Contains(g.without, "one step"):
		orders[0].Step = h.holdStep(orders[0], c.plan.Version, lastBegunStep(c.states))
	case orders[0].Operation == Go && !slices.Contains(g.without, "own hold") && h.isOwnHold(orders[0], c.states):
		return nil
	}
	return orders
}

// confirm applies the result of an order. When all orders of a round were
// confirmed, the coordinator continues without reading the ranks again.
func (w *simulation) confirm(c *modelCoordinator, o Order, confirmed bool) {
	c.history.Record(o, confirmed, w.now())
	if !confirmed || o.Operation == Prepare {
		c.unconfirmed = true
		return
	}
	c.states[o.Rank] = c.states[o.Rank].After(o, w.now())
	if len(c.orders) == 0 && !c.unconfirmed {
		c.orders = w.decide(c)
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
		r.PreparedVersion, r.copying, r.copyingContent, w.highestVersion[o.Rank] = 0, o.Version, o.content, o.Version
	case o.Operation == Arm && r.PreparedVersion == o.Version && r.Step < o.Step:
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

// finishCopies completes the copies of all ranks.
func (w *simulation) finishCopies() {
	for i := range w.ranks {
		w.finishCopy(i)
	}
}

func (w *simulation) finishCopy(rank int) {
	r := &w.ranks[rank]
	if r.copying != 0 {
		r.PreparedVersion, r.preparedContent, r.copying = r.copying, r.copyingContent, 0
	}
}

// remember keeps the states that the ranks may still report.
func (w *simulation) remember() {
	w.events++
	for i := range w.ranks {
		r := &w.ranks[i]
		r.past = append(r.past, r.State)
		if len(r.past) > maxReportAge {
			r.past = r.past[1:]
		}
	}
}

// planMap plans the next map of a coordinator.
func (w *simulation) planMap(c *modelCoordinator) {
	c.mapsPlanned++
	w.content++
	c.content = w.content
	c.plan = Plan{Version: c.fencing*1000 + c.mapsPlanned, HoldRank: w.rng.IntN(len(w.ranks)), LeadSteps: 1 + w.rng.Uint64N(maxModelLead)}
}

// send sends an order, which may be carried out at once, later, twice or both. It
// reports whether the rank has confirmed it.
func (w *simulation) send(o sentOrder) bool {
	confirmed := false
	if w.rng.IntN(4) == 0 {
		w.delayed = append(w.delayed, o)
	} else {
		confirmed = w.deliver(o) && w.rng.IntN(8) > 0
	}
	if w.rng.IntN(4) == 0 {
		w.delayed = append(w.delayed, o)
	}
	return confirmed
}

// restart lets a coordinator begin again under its number: the process has lost its
// token for a moment, or the term was handed over. It has no orders left to send.
func (w *simulation) restart(c *modelCoordinator) {
	c.plan, c.states, c.orders, c.history = Plan{}, nil, nil, NewHistory(c.fencing*1000)
	c.history.Inherit(maxModelLead)
	if w.safeguards.forgetCount {
		c.mapsPlanned = 0
	}
}

// randomEvent applies one random event.
func (w *simulation) randomEvent() {
	w.remember()
	c := w.coords[w.rng.IntN(len(w.coords))]
	agent := w.agents[w.rng.IntN(len(w.agents))]
	switch n := w.rng.IntN(16); {
	case n < 3:
		if !w.idle || w.rng.IntN(20) == 0 {
			w.beginStep()
		}
	case n < 5: // read the states of all ranks and decide
		c.states = w.reports()
		if w.rng.IntN(10) == 0 {
			c.states[w.rng.IntN(len(c.states))].Reported = false
		}
		if c.plan.Version == 0 || w.rng.IntN(40) == 0 || allUseVersion(c.states, c.plan.Version) && w.rng.IntN(4) == 0 {
			w.planMap(c)
		}
		c.orders = w.decide(c)
		c.unconfirmed = false
	case n < 10 && len(c.orders) > 0: // send the next order decided on
		o := sentOrder{c.orders[0], c.fencing, c.content}
		c.orders = c.orders[1:]
		w.confirm(c, o.Order, w.send(o))
	case n == 10 && len(w.delayed) > 0: // a late order arrives
		i := w.rng.IntN(len(w.delayed))
		w.deliver(w.delayed[i])
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	case n == 11 && w.rng.IntN(200) == 0: // a rank restarts and the group forms a new epoch
		w.formEpoch()
	case n == 12:
		w.finishCopy(w.rng.IntN(len(w.ranks)))
	case n == 13 && w.rng.IntN(8) == 0: // an agent decides in place of the coordinator
		_, agent.orders = w.safeguards.finish(w.reports())
	case n == 14 && len(agent.orders) > 0:
		w.send(sentOrder{agent.orders[0], agent.of.fencing, 0})
		agent.orders = agent.orders[1:]
	case n == 15 && w.rng.IntN(100) == 0 && len(c.orders) == 0:
		w.restart(c)
	}
}

// formEpoch restarts one rank. The group then forms again.
func (w *simulation) formEpoch() {
	epoch := w.ranks[0].Epoch + 1
	for i := range w.ranks {
		w.ranks[i] = modelRank{State: State{Reported: true, Open: true, Epoch: epoch, Step: w.ranks[i].Step}, past: w.ranks[i].past}
	}
	i := w.rng.IntN(len(w.ranks))
	w.highestFencing[i], w.highestVersion[i] = 0, 0
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

// Guards against a step that begins with two maps, by version or content, under any
// sequence of lost, late and duplicated orders, old reports, rank restarts, pauses
// and restarts of coordinators, and agents that finish their switches.
func TestNoStepBeginsWithTwoMaps(t *testing.T) {
	for seed := range uint64(3000) {
		require.NoError(t, simulate(seed, 2+int(seed%3), 1500, allSafeguards), "seed %d", seed)
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
	finishWithRelease := func(s []State) (Phase, []Order) { return Decide(s, Plan{}) }
	without := func(parts ...string) safeguards {
		g := allSafeguards
		g.without = parts
		return g
	}
	for name, g := range map[string]safeguards{
		"hold":                 {fencing: true, decide: withoutHold, finish: Finish},
		"all ranks armed":      {fencing: true, decide: withoutAllArmed, finish: Finish},
		"fencing":              {decide: Decide, finish: Finish},
		"no release by agents": {fencing: true, decide: Decide, finish: finishWithRelease},
		"count of maps":        {fencing: true, decide: Decide, finish: Finish, forgetCount: true},
		"claims":               without("claims"),
		"late holds":           without("late holds"),
		"one step":             without("one step"),
		// These overlap: each is found in time together with another one only.
		"age of reports, own hold": without("newer reports", "reports in order", "own hold"),
		"age of reports, one step": without("newer reports", "one step"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
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
		w := newSimulation(seed, 3, allSafeguards)
		for range 400 {
			w.randomEvent()
		}
		w.delayed = nil
		history := NewHistory(9000)
		plan := Plan{Version: 9001, LeadSteps: 2}
		for range 80 {
			w.remember()
			states := []State{w.report(0, false), w.report(1, false), w.report(2, false)}
			_, orders := history.Decide(states, plan)
			for _, o := range orders {
				history.Record(o, w.deliver(sentOrder{o, 9, w.content + 1}), w.now())
			}
			w.finishCopies()
			w.beginStep()
		}
		require.NoError(t, w.err)
		for _, r := range w.ranks {
			require.Equal(t, plan.Version, r.MapVersion, "seed %d", seed)
			require.False(t, r.Held)
		}
	}
}
