package expertmap

// CoordinatorPhase is what a coordinator waits for.
type CoordinatorPhase uint8

// The phases of a coordinator.
const (
	Querying CoordinatorPhase = iota
	Idle
	Preparing
	Committing
	Aborting
	Halting
	Starting
	// Superseded is final: a rank has seen a higher fencing number.
	Superseded
)

var phaseNames = [...]string{
	"asking", "idle", "preparing", "committing", "aborting", "halting", "starting", "deposed",
}

// String implements fmt.Stringer.
func (p CoordinatorPhase) String() string { return phaseNames[p] }

// view is the last answer of a rank in the present round, and whether the rank
// has done what the present phase asks of it.
type view struct {
	answered    bool
	done        bool
	incarnation uint64
	status      Status
}

// Coordinator is the switch protocol of one coordinator for one group. Messages
// may be lost, duplicated or late; Resend returns those that still lack an
// answer.
type Coordinator struct {
	fencing    uint64
	base       MapID
	phase      CoordinatorPhase
	round      uint64
	formations uint64
	generation Generation
	change     Switch
	// top is the highest version that any answer has shown. It is kept apart
	// from the views because a late answer may replace a view by an older one.
	top   uint64
	views []view
}

// NewCoordinator returns a coordinator that asks all ranks first. A group whose
// ranks are all cold starts with the base map.
func NewCoordinator(fencing uint64, ranks int, base MapID) *Coordinator {
	return &Coordinator{fencing: fencing, base: base, round: 1, top: base.Version, views: make([]view, ranks)}
}

// Phase returns the present phase.
func (c *Coordinator) Phase() CoordinatorPhase { return c.phase }

// CurrentSwitch returns the switch in progress, or the last one.
func (c *Coordinator) CurrentSwitch() Switch { return c.change }

// Status returns the last known state of a rank.
func (c *Coordinator) Status(rank int) Status { return c.views[rank].status }

// Propose starts a switch of an idle group to a map with the given digest. It
// returns nil in any other phase. The version is new to all ranks.
func (c *Coordinator) Propose(digest, step uint64) []Message {
	if c.phase != Idle {
		return nil
	}
	c.top++
	c.change = Switch{Map: MapID{Version: c.top, Digest: digest}, Step: step}
	c.enter(Preparing)
	return c.Resend()
}

// AbortSwitch aborts a switch that not all ranks have confirmed. It has no effect
// after the decision to commit.
func (c *Coordinator) AbortSwitch() []Message {
	if c.phase != Preparing {
		return nil
	}
	c.enter(Aborting)
	return c.Resend()
}

// Requery starts a new round of questions.
func (c *Coordinator) Requery() []Message {
	if c.phase == Superseded {
		return nil
	}
	c.round++
	clear(c.views)
	c.phase = Querying
	return c.Resend()
}

func (c *Coordinator) enter(p CoordinatorPhase) {
	c.phase = p
	for i := range c.views {
		c.views[i].done = false
	}
}

var sends = map[CoordinatorPhase]Kind{
	Querying: Query, Preparing: Prepare, Committing: Commit, Aborting: Abort, Halting: Halt, Starting: Start,
}

// Resend returns the messages of the present phase to all ranks that have not
// answered them.
func (c *Coordinator) Resend() []Message {
	kind, ok := sends[c.phase]
	if !ok {
		return nil
	}
	var out []Message
	for i, v := range c.views {
		if !v.done {
			out = append(out, c.message(kind, i))
		}
	}
	return out
}

func (c *Coordinator) message(kind Kind, rank int) Message {
	m := Message{Kind: kind, Rank: rank, Fencing: c.fencing, Round: c.round}
	if kind == Query {
		return m
	}
	m.Incarnation, m.Generation, m.Switch = c.views[rank].incarnation, c.generation, c.change
	if kind == Start {
		m.HighestVersion = c.top
	}
	return m
}

// Handle applies an answer and returns the messages that follow from it.
func (c *Coordinator) Handle(m Message) []Message {
	if c.phase == Superseded || m.Rank < 0 || m.Rank >= len(c.views) {
		return nil
	}
	if m.Kind == Refused {
		if m.Fencing > c.fencing {
			c.phase = Superseded
		}
		return nil
	}
	if m.Kind != Report || m.Fencing != c.fencing || m.Round != c.round {
		return nil
	}
	v := &c.views[m.Rank]
	if v.answered && v.incarnation != m.Incarnation {
		return c.Requery()
	}
	v.answered, v.incarnation, v.status = true, m.Incarnation, m.Status
	c.top = max(c.top, m.Status.HighestVersion, m.Status.Map.Version)
	v.done = v.done || c.satisfied(m.Status)
	return append(c.release(), c.advance()...)
}

// release passes a decision that an answer proves to the ranks that wait for
// it, while others are still unreachable: the group goes on although the
// coordinator cannot reach all of it.
func (c *Coordinator) release() []Message {
	if c.phase != Querying {
		return nil
	}
	var out []Message
	for i, v := range c.views {
		if !v.answered || v.status.Phase != PhasePrepared {
			continue
		}
		if kind, ok := c.proved(v.status); ok {
			m := c.message(kind, i)
			m.Generation, m.Switch = v.status.Generation, v.status.Pending
			out = append(out, m)
		}
	}
	return out
}

// proved returns the decision on the pending switch of a rank if the answer of
// another rank of the same generation shows it. Both facts never change again.
func (c *Coordinator) proved(s Status) (Kind, bool) {
	for _, v := range c.views {
		o := v.status
		if !v.answered || !o.Running || !s.Running || o.Generation != s.Generation {
			continue
		}
		if committed(o, s.Pending) {
			return Commit, true
		}
		if refused(o, s.Pending) {
			return Abort, true
		}
	}
	return 0, false
}

// satisfied reports whether a rank in this state has done what the phase asks.
func (c *Coordinator) satisfied(s Status) bool {
	switch c.phase {
	case Querying:
		return true
	case Preparing:
		return s.Pending == c.change && s.Phase == PhasePrepared
	case Committing:
		return committed(s, c.change)
	case Aborting:
		return refused(s, c.change)
	case Halting:
		return s.Generation == c.generation && !s.Running
	case Starting:
		return s.Generation == c.generation && s.Running
	}
	return false
}

func committed(s Status, w Switch) bool {
	return s.Map == w.Map || (s.Pending == w && s.Phase == PhaseCommitted)
}

// refused reports whether the rank neither holds the switch nor ever will.
func refused(s Status, w Switch) bool {
	return s.Pending != w && s.Map != w.Map && s.HighestVersion >= w.Map.Version
}

func (c *Coordinator) advance() []Message {
	if c.phase == Preparing && c.anyRefused() {
		c.enter(Aborting)
		return c.Resend()
	}
	for _, v := range c.views {
		if !v.done {
			return nil
		}
	}
	switch c.phase {
	case Querying:
		c.settle()
	case Preparing:
		c.enter(Committing)
	case Committing, Aborting, Starting:
		c.enter(Idle)
	case Halting:
		c.change = c.restart()
		c.enter(Starting)
	}
	return c.Resend()
}

func (c *Coordinator) anyRefused() bool {
	for _, v := range c.views {
		if v.answered && refused(v.status, c.change) {
			return true
		}
	}
	return false
}

// settle chooses what to do after all ranks have answered a round. A group
// that does not run as a whole gets a new generation, which is safe whatever
// its ranks did before.
func (c *Coordinator) settle() {
	pending, consistent := c.survey()
	switch {
	case !consistent:
		c.formations++
		c.generation = Generation{Fencing: c.fencing, Number: c.formations}
		c.enter(Halting)
	case pending == Switch{}:
		c.enter(Idle)
	default:
		c.change = pending
		c.enter(c.decision())
	}
}

// survey returns the pending switch of the group, if any, and whether all
// ranks run in one generation with at most one pending switch.
func (c *Coordinator) survey() (pending Switch, consistent bool) {
	c.generation = c.views[0].status.Generation
	for _, v := range c.views {
		s := v.status
		if s.Cold || !s.Running || s.Generation != c.generation {
			return Switch{}, false
		}
		if s.Phase == PhaseNone {
			continue
		}
		if pending != (Switch{}) && pending != s.Pending {
			return Switch{}, false
		}
		pending = s.Pending
	}
	for _, v := range c.views {
		if v.status.Map != c.views[0].status.Map && pending == (Switch{}) {
			return Switch{}, false
		}
	}
	return pending, true
}

// decision finishes the switch of a predecessor. If a rank has committed, it is
// committed. If a rank has not confirmed, no coordinator has committed, and
// this one's fencing number keeps any other from doing so. If all have
// confirmed, either decision is safe; commit uses the weights fetched.
func (c *Coordinator) decision() CoordinatorPhase {
	confirmed := true
	for _, v := range c.views {
		if committed(v.status, c.change) {
			return Committing
		}
		confirmed = confirmed && v.status.Phase == PhasePrepared
	}
	if confirmed {
		return Committing
	}
	return Aborting
}

// restart returns the map and step of a new generation: the newest map that a
// rank holds for good, after the last step that a rank has entered.
func (c *Coordinator) restart() Switch {
	var w Switch
	for _, v := range c.views {
		s := v.status
		w.Step = max(w.Step, s.Step)
		if id := s.Decided(); id.Version > w.Map.Version {
			w.Map = id
		}
	}
	if w.Map == (MapID{}) {
		w.Map = c.base
	}
	return w
}
