package expertmap

// FencingGuard rejects messages of superseded coordinators and of superseded
// rounds of the same coordinator. An engine that checks fencing numbers has one
// for each rank. For engines that ignore fencing numbers the target process has
// one. The zero value has seen no coordinator.
type FencingGuard struct {
	// Incarnation is a number that the process with the guard chooses at each
	// start. It is mixed into the rank's incarnation, so that nothing sent
	// before a restart of the guard reaches the rank after it.
	Incarnation    uint64
	highestFencing uint64
	round          uint64
	// startedGeneration is the generation that was started through this guard.
	// A restarted guard does not know to which coordinator the rank has
	// replied. It therefore reports a running rank as cold, so that the group
	// gets a new generation.
	startedGeneration Generation
}

// Admit returns the message to pass to the rank and true, or the refusal to
// return and false. Messages of earlier rounds are refused because a
// coordinator that has queried the ranks again may decide otherwise than
// before, while its earlier decision is still in transit. Until a generation
// was started through this guard, it passes messages other than Halt and Start
// as queries.
func (g *FencingGuard) Admit(m Message) (Message, bool) {
	if m.Fencing < g.highestFencing || (m.Fencing == g.highestFencing && m.Round < g.round) {
		return Message{Kind: Refused, Rank: m.Rank, Fencing: g.highestFencing, Round: m.Round}, false
	}
	g.highestFencing, g.round = m.Fencing, m.Round
	if m.Kind != Query {
		m.Incarnation ^= g.Incarnation
	}
	if g.startedGeneration == (Generation{}) && m.Kind != Halt && m.Kind != Start {
		m.Kind = Query
	}
	return m, true
}

// Reply returns the rank's reply to an admitted message in the form that the
// coordinator receives.
func (g *FencingGuard) Reply(admitted, m Message) Message {
	s := &m.Status
	if admitted.Kind == Start && admitted.Incarnation == m.Incarnation && s.Running &&
		s.Generation == admitted.Generation {
		g.startedGeneration = s.Generation
	}
	if g.startedGeneration == (Generation{}) {
		s.Cold = true
	}
	m.Incarnation ^= g.Incarnation
	return m
}

// ForgetGeneration must be called if the rank may receive an admitted message
// later, for instance after a timeout. Only a new generation makes such a
// message harmless.
func (g *FencingGuard) ForgetGeneration() { g.startedGeneration = Generation{} }

// HighestFencing returns the highest fencing number seen.
func (g *FencingGuard) HighestFencing() uint64 { return g.highestFencing }
