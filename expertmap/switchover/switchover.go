package switchover

// Operation is what an order does.
type Operation string

// The operations.
const (
	Prepare Operation = "prepare"
	Arm     Operation = "arm"
	Disarm  Operation = "disarm"
	Hold    Operation = "hold"
	Go      Operation = "go"
)

// Map is the placement of experts, by set and rank.
type Map [][][]int

// State is what one rank reports.
type State struct {
	// Reported is set if the rank has answered in this round.
	Reported bool
	// Open is false while the group is broken.
	Open  bool
	Epoch uint64
	// Step is the last step that was begun.
	Step uint64
	// MapVersion is the version in use, and PreparedVersion the one that is ready to be used.
	MapVersion, PreparedVersion uint64
	// ArmedVersion is the version that the rank switches to at ArmedStep; 0 is none.
	ArmedVersion, ArmedStep uint64
	// Held says that the group does not begin HeldStep.
	Held     bool
	HeldStep uint64
}

// After returns the state of a rank that has confirmed an order.
func (s State) After(o Order) State {
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

// Order is one order for one rank. A rank refuses it in another epoch, and with
// a lower fencing number than it has seen.
type Order struct {
	Rank      int
	Operation Operation
	Version   uint64
	Step      uint64
	Map       Map
	Epoch     uint64
}

// Plan is the map that the coordinator wants. The zero value wants none.
type Plan struct {
	Version uint64
	Map     Map
	// HoldRank is the rank that is asked to hold the step of the switch. Its agent
	// finishes the switch if the coordinator falls silent, so it should not be
	// the coordinator's own.
	HoldRank int
	// LeadSteps is the number of steps between the last one begun and the one held.
	LeadSteps uint64
}

// Phase describes how far the group is.
type Phase string

// The phases.
const (
	// Unready groups are broken, or not all ranks have answered.
	Unready Phase = "unready"
	// Settled groups use one map and nothing is under way.
	Settled Phase = "settled"
	// Preparing groups copy the experts of the next map.
	Preparing Phase = "preparing"
	// Holding groups get, or have, a held step.
	Holding Phase = "holding"
	// Arming groups have ranks that are armed and others that are not.
	Arming Phase = "arming"
	// Armed groups switch when the step begins.
	Armed Phase = "armed"
)

// Decide returns the orders that follow from the states of all ranks.
func Decide(states []State, plan Plan) (Phase, []Order) {
	if !agree(states) {
		return Unready, nil
	}
	if version, step, ok := anyArmed(states); ok {
		return finishArming(states, plan, version, step)
	}
	held, step := anyHeld(states)
	if held >= 0 {
		return afterHold(states, held, step)
	}
	if plan.Version == 0 || allUse(states, plan.Version) {
		return Settled, nil
	}
	if orders := prepare(states, plan); len(orders) > 0 {
		return Preparing, orders
	}
	return Holding, []Order{order(states, plan.HoldRank%len(states), Hold, 0, lastStep(states)+max(1, plan.LeadSteps))}
}

// agree reports whether all ranks have answered from one open epoch. Nothing
// may be decided otherwise: a rank that is missing may be armed.
func agree(states []State) bool {
	for _, s := range states {
		if !s.Reported || !s.Open || s.Epoch != states[0].Epoch {
			return false
		}
	}
	return len(states) > 0
}

func anyArmed(states []State) (version, step uint64, ok bool) {
	for _, s := range states {
		if s.ArmedVersion != 0 {
			return s.ArmedVersion, s.ArmedStep, true
		}
	}
	return 0, 0, false
}

func anyHeld(states []State) (rank int, step uint64) {
	for i, s := range states {
		if s.Held {
			return i, s.HeldStep
		}
	}
	return -1, 0
}

func allUse(states []State, version uint64) bool {
	for _, s := range states {
		if s.MapVersion != version {
			return false
		}
	}
	return true
}

func lastStep(states []State) uint64 {
	step := uint64(0)
	for _, s := range states {
		step = max(step, s.Step)
	}
	return step
}

// finishArming arms the ranks that are not yet armed, and lets the step go when
// all are. Ranks that use the version already have begun the step since the
// others were asked; then nothing is to be done.
func finishArming(states []State, plan Plan, version, step uint64) (Phase, []Order) {
	held, _ := anyHeld(states)
	var missing []Order
	possible := true
	for i, s := range states {
		switch {
		case s.MapVersion == version || s.Step >= step:
			return Armed, nil
		case s.ArmedVersion != version || s.ArmedStep != step:
			missing = append(missing, order(states, i, Arm, version, step))
			possible = possible && s.PreparedVersion == version
		}
	}
	switch {
	case len(missing) == 0 && held >= 0:
		return Armed, []Order{order(states, held, Go, 0, states[held].HeldStep)}
	case len(missing) == 0:
		return Armed, nil
	case held < 0:
		// The hold is gone although a rank is not armed. A new hold keeps the
		// step from beginning before all are.
		return Arming, []Order{order(states, 0, Hold, 0, step)}
	case !possible:
		return Arming, undo(states, plan)
	}
	return Arming, missing
}

// undo disarms a group in which two coordinators have prepared different maps,
// so that some ranks can't be armed. First the other ranks get the present
// plan, and with it its fencing number: an arm of the former coordinator that is
// still on its way is refused from then on.
func undo(states []State, plan Plan) []Order {
	if plan.Version == 0 {
		return nil
	}
	var prepares, disarms []Order
	for i, s := range states {
		switch {
		case s.ArmedVersion != 0:
			disarms = append(disarms, order(states, i, Disarm, s.ArmedVersion, 0))
		case s.PreparedVersion != plan.Version:
			o := order(states, i, Prepare, plan.Version, 0)
			o.Map = plan.Map
			prepares = append(prepares, o)
		}
	}
	if len(prepares) > 0 {
		return prepares
	}
	return disarms
}

// afterHold arms all ranks if they have prepared one new version, whoever
// prepared it. Otherwise the hold is left over and is released; no arm can be
// on its way, since arms follow only after all ranks have prepared.
func afterHold(states []State, held int, step uint64) (Phase, []Order) {
	version := states[0].PreparedVersion
	for _, s := range states {
		if s.PreparedVersion != version || version == 0 || s.MapVersion == version {
			return Holding, []Order{order(states, held, Go, 0, step)}
		}
	}
	orders := make([]Order, 0, len(states))
	for i := range states {
		orders = append(orders, order(states, i, Arm, version, step))
	}
	return Arming, orders
}

// prepare returns the orders to the ranks that have not prepared the map.
func prepare(states []State, plan Plan) []Order {
	var orders []Order
	for i, s := range states {
		if s.PreparedVersion != plan.Version {
			o := order(states, i, Prepare, plan.Version, 0)
			o.Map = plan.Map
			orders = append(orders, o)
		}
	}
	return orders
}

func order(states []State, rank int, op Operation, version, step uint64) Order {
	return Order{Rank: rank, Operation: op, Version: version, Step: step, Epoch: states[rank].Epoch}
}
