package expertmap

// FencingGuard refuses messages of superseded coordinators and of superseded rounds of
// the same coordinator. An engine that checks fencing numbers has one for each
// rank; the target process has one on behalf of engines that ignore them. The
// zero value has seen no coordinator.
type FencingGuard struct {
	// Incarnation is chosen at each start of the process that holds the gate.
	// It is mixed into the rank's incarnation, so that nothing sent before a
	// restart of the gate reaches the rank after it.
	Incarnation uint64
	highest     uint64
	round       uint64
	// formed is the generation that was started through this gate. A gate that
	// has restarted has forgotten which coordinator the rank has answered, so
	// it reports a running rank as cold: the group gets a new generation.
	formed Generation
}

// Admit returns the message for the rank, or the refusal and false. Rounds
// count because a coordinator that asked again may decide otherwise than it did
// before, while its earlier decision is still on the way.
func (g *FencingGuard) Admit(m Message) (Message, bool) {
	if m.Fencing < g.highest || (m.Fencing == g.highest && m.Round < g.round) {
		return Message{Kind: Refused, Rank: m.Rank, Fencing: g.highest, Round: m.Round}, false
	}
	g.highest, g.round = m.Fencing, m.Round
	if m.Kind != Query {
		m.Incarnation ^= g.Incarnation
	}
	if g.formed == (Generation{}) && m.Kind != Halt && m.Kind != Start {
		m.Kind = Query
	}
	return m, true
}

// Reply returns the rank's answer to an admitted message as the coordinator
// gets it.
func (g *FencingGuard) Reply(admitted, m Message) Message {
	s := &m.Status
	if admitted.Kind == Start && admitted.Incarnation == m.Incarnation && s.Running &&
		s.Generation == admitted.Generation {
		g.formed = s.Generation
	}
	if g.formed == (Generation{}) {
		s.Cold = true
	}
	m.Incarnation ^= g.Incarnation
	return m
}

// ForgetGeneration is called when the rank may still get an admitted message later, such
// as after a timeout. Only a new generation makes such a message harmless.
func (g *FencingGuard) ForgetGeneration() { g.formed = Generation{} }

// HighestFencing returns the highest fencing number seen.
func (g *FencingGuard) HighestFencing() uint64 { return g.highest }
