package expertmap

// CoordinatorPhase is the phase of a coordinator: what it waits for.
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
	// Superseded is final: a rank has seen a higher fencing number. Its name in
	// texts is "deposed".
	Superseded
)

var phaseNames = [...]string{
	"asking", "idle", "preparing", "committing", "aborting", "halting", "starting", "deposed",
}

// String implements fmt.Stringer.
func (p CoordinatorPhase) String() string { return phaseNames[p] }

// view is the last reply of a rank in the current round. phaseDone is set once
// the rank has done what the current phase requires.
type view struct {
	replied     bool
	phaseDone   bool
	incarnation uint64
	status      Status
}

// Coordinator is the coordinator's side of the switch protocol for one group.
// Messages may be lost, duplicated or late; Resend returns those that have not
// been answered.
type Coordinator struct {
	fencing       uint64
	baseMap       MapID
	phase         CoordinatorPhase
	round         uint64
	formations    uint64
	generation    Generation
	currentSwitch Switch
	// highestVersion is the highest version that any reply has contained. It is
	// kept apart from the views because a late reply may replace a view by an
	// older one.
	highestVersion uint64
	views          []view
}

// NewCoordinator returns a coordinator that queries all ranks first. A group
// whose ranks are all cold starts with the base map.
func NewCoordinator(fencing uint64, ranks int, base MapID) *Coordinator {
	return &Coordinator{fencing: fencing, baseMap: base, round: 1, highestVersion: base.Version, views: make([]view, ranks)}
}

// Phase returns the current phase.
func (c *Coordinator) Phase() CoordinatorPhase { return c.phase }

// CurrentSwitch returns the switch in progress, or the last one.
func (c *Coordinator) CurrentSwitch() Switch { return c.currentSwitch }

// Status returns the last known state of a rank.
func (c *Coordinator) Status(rank int) Status { return c.views[rank].status }

// Propose starts a switch of an idle group to a map with the given digest,
// under a version that is new to all ranks. It returns nil in any other phase.
func (c *Coordinator) Propose(digest, step uint64) []Message {
	if c.phase != Idle {
		return nil
	}
	c.highestVersion++
	c.currentSwitch = Switch{Map: MapID{Version: c.highestVersion, Digest: digest}, Step: step}
	c.setPhase(Preparing)
	return c.Resend()
}

// AbortSwitch aborts a switch that not all ranks have confirmed. It has no
// effect after the decision to commit.
func (c *Coordinator) AbortSwitch() []Message {
	if c.phase != Preparing {
		return nil
	}
	c.setPhase(Aborting)
	return c.Resend()
}

// Requery starts a new round of queries, unless the coordinator is superseded.
func (c *Coordinator) Requery() []Message {
	if c.phase == Superseded {
		return nil
	}
	c.round++
	clear(c.views)
	c.phase = Querying
	return c.Resend()
}

func (c *Coordinator) setPhase(p CoordinatorPhase) {
	c.phase = p
	for i := range c.views {
		c.views[i].phaseDone = false
	}
}

var requestKinds = map[CoordinatorPhase]Kind{
	Querying: Query, Preparing: Prepare, Committing: Commit, Aborting: Abort, Halting: Halt, Starting: Start,
}

// Resend returns the messages of the current phase for all ranks that have not
// done what it requires.
func (c *Coordinator) Resend() []Message {
	kind, ok := requestKinds[c.phase]
	if !ok {
		return nil
	}
	var out []Message
	for i, v := range c.views {
		if !v.phaseDone {
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
	m.Incarnation, m.Generation, m.Switch = c.views[rank].incarnation, c.generation, c.currentSwitch
	if kind == Start {
		m.HighestVersion = c.highestVersion
	}
	return m
}

// Handle applies a reply and returns the messages that follow from it.
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
	if v.replied && v.incarnation != m.Incarnation {
		return c.Requery()
	}
	v.replied, v.incarnation, v.status = true, m.Incarnation, m.Status
	c.highestVersion = max(c.highestVersion, m.Status.HighestVersion, m.Status.Map.Version)
	v.phaseDone = v.phaseDone || c.satisfied(m.Status)
	return append(c.sendProvenDecisions(), c.advancePhase()...)
}

// sendProvenDecisions returns the decisions that the replies so far prove, for
// the ranks that wait for them. A decision may be sent while other ranks are
// still unreachable, so that the group continues although the coordinator can't
// reach all of it.
func (c *Coordinator) sendProvenDecisions() []Message {
	if c.phase != Querying {
		return nil
	}
	var out []Message
	for i, v := range c.views {
		if !v.replied || v.status.Phase != PhasePrepared {
			continue
		}
		if kind, ok := c.provenDecision(v.status); ok {
			m := c.message(kind, i)
			m.Generation, m.Switch = v.status.Generation, v.status.Pending
			out = append(out, m)
		}
	}
	return out
}

// provenDecision returns the decision on the pending switch of a rank if the
// reply of another rank of the same generation proves it: that rank has
// committed the switch, or has refused it. Both facts are permanent.
func (c *Coordinator) provenDecision(s Status) (Kind, bool) {
	for _, v := range c.views {
		o := v.status
		if !v.replied || !o.Running || !s.Running || o.Generation != s.Generation {
			continue
		}
		if hasCommitted(o, s.Pending) {
			return Commit, true
		}
		if hasRefused(o, s.Pending) {
			return Abort, true
		}
	}
	return 0, false
}

// satisfied reports whether a rank in this state has done what the current
// phase requires.
func (c *Coordinator) satisfied(s Status) bool {
	switch c.phase {
	case Querying:
		return true
	case Preparing:
		return s.Pending == c.currentSwitch && s.Phase == PhasePrepared
	case Committing:
		return hasCommitted(s, c.currentSwitch)
	case Aborting:
		return hasRefused(s, c.currentSwitch)
	case Halting:
		return s.Generation == c.generation && !s.Running
	case Starting:
		return s.Generation == c.generation && s.Running
	}
	return false
}

// hasCommitted reports whether the rank uses the map of the switch or has
// committed to use it.
func hasCommitted(s Status, w Switch) bool {
	return s.Map == w.Map || (s.Pending == w && s.Phase == PhaseCommitted)
}

// hasRefused reports whether the rank does not have the switch and never will.
func hasRefused(s Status, w Switch) bool {
	return s.Pending != w && s.Map != w.Map && s.HighestVersion >= w.Map.Version
}

// advancePhase enters the next phase once all ranks have done what the current
// one requires, or aborts a switch that a rank has refused. It returns the
// messages to send.
func (c *Coordinator) advancePhase() []Message {
	if c.phase == Preparing && c.anyRefused() {
		c.setPhase(Aborting)
		return c.Resend()
	}
	for _, v := range c.views {
		if !v.phaseDone {
			return nil
		}
	}
	switch c.phase {
	case Querying:
		c.resumeGroup()
	case Preparing:
		c.setPhase(Committing)
	case Committing, Aborting, Starting:
		c.setPhase(Idle)
	case Halting:
		c.currentSwitch = c.restartPoint()
		c.setPhase(Starting)
	}
	return c.Resend()
}

func (c *Coordinator) anyRefused() bool {
	for _, v := range c.views {
		if v.replied && hasRefused(v.status, c.currentSwitch) {
			return true
		}
	}
	return false
}

// resumeGroup selects the next phase after all ranks have replied to a query
// round. Unless all ranks run consistently, the group gets a new generation,
// which is safe whatever the ranks did before.
func (c *Coordinator) resumeGroup() {
	pending, consistent := c.inspectRanks()
	switch {
	case !consistent:
		c.formations++
		c.generation = Generation{Fencing: c.fencing, Number: c.formations}
		c.setPhase(Halting)
	case pending == Switch{}:
		c.setPhase(Idle)
	default:
		c.currentSwitch = pending
		c.setPhase(c.decidePending())
	}
}

// inspectRanks returns the pending switch of the group, if any, and whether all
// ranks run in one generation with at most one pending switch.
func (c *Coordinator) inspectRanks() (pending Switch, consistent bool) {
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

// decidePending returns the phase that finishes the switch of a previous
// coordinator. If a rank has committed the switch, it is committed. If a rank
// has not confirmed it, no coordinator has committed it, and the fencing number
// of this one keeps any other from doing so; it is aborted. If all ranks have
// confirmed it, either decision is safe, and a commit makes use of the fetched
// weights.
func (c *Coordinator) decidePending() CoordinatorPhase {
	confirmed := true
	for _, v := range c.views {
		if hasCommitted(v.status, c.currentSwitch) {
			return Committing
		}
		confirmed = confirmed && v.status.Phase == PhasePrepared
	}
	if confirmed {
		return Committing
	}
	return Aborting
}

// restartPoint returns the map and step with which a new generation starts: the
// newest map that a rank uses or has committed to use, and the last step that a
// rank has entered.
func (c *Coordinator) restartPoint() Switch {
	var w Switch
	for _, v := range c.views {
		s := v.status
		w.Step = max(w.Step, s.Step)
		if id := s.Decided(); id.Version > w.Map.Version {
			w.Map = id
		}
	}
	if w.Map == (MapID{}) {
		w.Map = c.baseMap
	}
	return w
}
