package switchover

import "time"

// Operation is the kind of an order.
type Operation string

// The operations of an order.
const (
	Prepare Operation = "prepare"
	Arm     Operation = "arm"
	Disarm  Operation = "disarm"
	Hold    Operation = "hold"
	Go      Operation = "go"
)

// Map lists the experts of each rank, by set and rank.
type Map [][][]int

// State is the state that one rank reports.
type State struct {
	// Reported is set if the rank has replied in this round.
	Reported bool
	// Open is false while the group is broken.
	Open  bool
	Epoch uint64
	// Step is the last step that the rank has begun.
	Step uint64
	// MapVersion is the version of the map in use, and PreparedVersion that of
	// the map whose experts are loaded and that can be used next.
	MapVersion, PreparedVersion uint64
	// ArmedVersion is the version that the rank uses from ArmedStep on; 0 means
	// that it is not armed.
	ArmedVersion, ArmedStep uint64
	// Held is set while the rank keeps the group from beginning HeldStep.
	Held     bool
	HeldStep uint64
	// AsOf is the earliest time at which the rank can have been in this state. Only
	// reports that a rank sends to its own machine are as of the query.
	AsOf time.Time
}

// After returns the state of the rank after it has confirmed an order at a time.
func (s State) After(o Order, at time.Time) State {
	s.AsOf = at
	switch o.Operation {
	case Arm:
		s.ArmedVersion, s.ArmedStep = o.Version, o.Step
	case Disarm:
		s.ArmedVersion, s.ArmedStep = 0, 0
	case Hold:
		s.Held, s.HeldStep = true, o.Step
	case Go:
		s.Held = false
	case Prepare:
		// The rank reports the map as prepared once it has copied the experts.
	}
	return s
}

// Order is one order for one rank. The rank refuses it if the epoch has changed
// or if it has seen a higher fencing number.
type Order struct {
	Rank      int
	Operation Operation
	Version   uint64
	Step      uint64
	Map       Map
	Epoch     uint64
}

// Plan is the map that the coordinator wants the group to use. The zero value
// stands for no change.
type Plan struct {
	Version uint64
	Map     Map
	// HoldRank is the number, modulo the group size, of the rank that holds the
	// step of the switch. Its agent finishes the switch if the coordinator
	// becomes unresponsive, so it should not run on the coordinator's machine.
	HoldRank int
	// LeadSteps is the number of steps between the last one begun and the held
	// one.
	LeadSteps uint64
}

// Phase is the progress of a group's switch.
type Phase string

// The phases of a switch.
const (
	// Unready means that the group is broken, or that some rank has not
	// reported.
	Unready Phase = "unready"
	// Claiming means that some rank has not confirmed an order under the
	// coordinator's fencing number.
	Claiming Phase = "claiming"
	// Outdated means that some report may be older than the last order to its rank.
	Outdated Phase = "outdated"
	// Settled means that all ranks use one map and no switch is in progress.
	Settled Phase = "settled"
	// Preparing means that ranks copy the experts of the next map.
	Preparing Phase = "preparing"
	// Holding means that a step is being held, or that a hold is being
	// released.
	Holding Phase = "holding"
	// Arming means that some ranks are armed and others are not.
	Arming Phase = "arming"
	// Armed means that all ranks are armed and switch when the step begins.
	Armed Phase = "armed"
)

// Decide returns the phase of the group and the next orders, given the states
// of all ranks.
func Decide(states []State, plan Plan) (Phase, []Order) {
	if !allReportSameEpoch(states) {
		return Unready, nil
	}
	if version, step, ok := firstArmed(states); ok {
		return finishArming(states, plan, version, step)
	}
	held, step := firstHeld(states)
	if held >= 0 {
		return armAfterHold(states, held, step)
	}
	if plan.Version == 0 || allUseVersion(states, plan.Version) {
		return Settled, nil
	}
	if orders := prepareOrders(states, plan); len(orders) > 0 {
		return Preparing, orders
	}
	return Holding, []Order{newOrder(states, plan.HoldRank%len(states), Hold, 0, lastBegunStep(states)+max(1, plan.LeadSteps))}
}

// allReportSameEpoch reports whether all ranks have reported and belong to one
// open epoch. Otherwise no order may be sent, since a rank that has not
// reported may be armed.
func allReportSameEpoch(states []State) bool {
	for _, s := range states {
		if !s.Reported || !s.Open || s.Epoch != states[0].Epoch {
			return false
		}
	}
	return len(states) > 0
}

func firstArmed(states []State) (version, step uint64, ok bool) {
	for _, s := range states {
		if s.ArmedVersion != 0 {
			return s.ArmedVersion, s.ArmedStep, true
		}
	}
	return 0, 0, false
}

func firstHeld(states []State) (rank int, step uint64) {
	for i, s := range states {
		if s.Held {
			return i, s.HeldStep
		}
	}
	return -1, 0
}

func allUseVersion(states []State, version uint64) bool {
	for _, s := range states {
		if s.MapVersion != version {
			return false
		}
	}
	return true
}

func lastBegunStep(states []State) uint64 {
	step := uint64(0)
	for _, s := range states {
		step = max(step, s.Step)
	}
	return step
}

// finishArming arms the ranks that are not armed yet and releases the held step
// once all are. It returns no orders if some rank already uses the version or
// has begun the step: the step began while the states were being read.
func finishArming(states []State, plan Plan, version, step uint64) (Phase, []Order) {
	held, _ := firstHeld(states)
	var arms []Order
	allPrepared := true
	for i, s := range states {
		switch {
		case s.MapVersion == version || s.Step >= step:
			return Armed, nil
		case s.ArmedVersion != version || s.ArmedStep != step:
			arms = append(arms, newOrder(states, i, Arm, version, step))
			allPrepared = allPrepared && s.PreparedVersion == version
		}
	}
	switch {
	case len(arms) == 0 && held >= 0:
		return Armed, []Order{newOrder(states, held, Go, 0, states[held].HeldStep)}
	case len(arms) == 0:
		return Armed, nil
	case held < 0:
		// The hold was released although a rank is not armed. A new hold keeps
		// the step from beginning before all ranks are armed.
		return Arming, []Order{newOrder(states, 0, Hold, 0, step)}
	case !allPrepared:
		return Arming, disarmConflicting(states, plan)
	}
	return Arming, arms
}

// disarmConflicting disarms a group in which two coordinators have prepared
// different maps, so that some ranks can't be armed. It first sends the plan to
// the ranks that are not armed. The prepare order carries the current fencing
// number, so these ranks then refuse an arm order of the former coordinator
// that is still in transit.
func disarmConflicting(states []State, plan Plan) []Order {
	if plan.Version == 0 {
		return nil
	}
	var prepares, disarms []Order
	for i, s := range states {
		switch {
		case s.ArmedVersion != 0:
			disarms = append(disarms, newOrder(states, i, Disarm, s.ArmedVersion, 0))
		case s.PreparedVersion != plan.Version:
			o := newOrder(states, i, Prepare, plan.Version, 0)
			o.Map = plan.Map
			prepares = append(prepares, o)
		}
	}
	if len(prepares) > 0 {
		return prepares
	}
	return disarms
}

// armAfterHold arms all ranks if they have prepared the same new version,
// whichever coordinator prepared it. Otherwise the hold is left over from an
// earlier switch and is released. No arm order can be in transit then, since
// ranks are armed only after all have prepared.
func armAfterHold(states []State, held int, step uint64) (Phase, []Order) {
	version := states[0].PreparedVersion
	for _, s := range states {
		if s.PreparedVersion != version || version == 0 || s.MapVersion == version {
			return Holding, []Order{newOrder(states, held, Go, 0, step)}
		}
	}
	orders := make([]Order, 0, len(states))
	for i := range states {
		orders = append(orders, newOrder(states, i, Arm, version, step))
	}
	return Arming, orders
}

// prepareOrders returns the orders for the ranks that have not prepared the
// map.
func prepareOrders(states []State, plan Plan) []Order {
	var orders []Order
	for i, s := range states {
		if s.PreparedVersion != plan.Version {
			o := newOrder(states, i, Prepare, plan.Version, 0)
			o.Map = plan.Map
			orders = append(orders, o)
		}
	}
	return orders
}

func newOrder(states []State, rank int, op Operation, version, step uint64) Order {
	return Order{Rank: rank, Operation: op, Version: version, Step: step, Epoch: states[rank].Epoch}
}
