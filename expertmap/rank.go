package expertmap

// Rank is the rank's side of the switch protocol. It expects messages that a
// FencingGuard has admitted.
type Rank struct {
	id          int
	incarnation uint64
	status      Status
	loading     bool
}

// NewRank returns a rank that has just started: it is cold and has no map.
func NewRank(id int, incarnation uint64) Rank {
	return Rank{id: id, incarnation: incarnation, status: Status{Cold: true}}
}

// Status returns the state of the rank.
func (r *Rank) Status() Status { return r.status }

// Handle applies a message and returns the reply, which always contains the
// state after the message. A message that does not apply changes nothing.
func (r *Rank) Handle(m Message) Message {
	if m.Incarnation == r.incarnation {
		r.apply(m)
	}
	return r.newReport(m)
}

func (r *Rank) newReport(m Message) Message {
	return Message{
		Kind: Report, Rank: r.id, Fencing: m.Fencing, Incarnation: r.incarnation, Round: m.Round, Status: r.status,
	}
}

func (r *Rank) apply(m Message) {
	s := &r.status
	switch m.Kind {
	case Prepare:
		r.prepare(m)
	case Commit:
		if s.Phase == PhasePrepared && s.Pending == m.Switch && s.Running && s.Generation == m.Generation {
			s.Phase = PhaseCommitted
		}
	case Abort:
		if s.Pending == m.Switch && s.Phase != PhaseCommitted {
			r.dropPending()
		}
		s.HighestVersion = max(s.HighestVersion, m.Switch.Map.Version)
	case Halt:
		if s.Generation.Less(m.Generation) {
			s.Generation, s.Running, r.loading = m.Generation, false, false
		}
	case Start:
		r.start(m)
	}
}

// prepare starts to fetch the map unless the step of the switch has already
// begun. A refusal is permanent because the version counts as seen.
func (r *Rank) prepare(m Message) {
	s := &r.status
	if !s.Running || s.Generation != m.Generation || s.Phase != PhaseNone || m.Switch.Map.Version <= s.HighestVersion {
		return
	}
	s.HighestVersion = m.Switch.Map.Version
	if m.Switch.Step > s.Step {
		s.Pending, s.Phase = m.Switch, PhaseFetching
	}
}

func (r *Rank) start(m Message) {
	s := &r.status
	if s.Running || s.Generation != m.Generation {
		return
	}
	r.loading = s.Cold || s.Map != m.Switch.Map
	s.Cold, s.Running, s.Map, s.Step = false, true, m.Switch.Map, m.Switch.Step
	s.HighestVersion = max(s.HighestVersion, m.HighestVersion)
	r.dropPending()
}

func (r *Rank) dropPending() { r.status.Pending, r.status.Phase = Switch{}, PhaseNone }

// MapToLoad returns the map that the rank must load now. The old map stays
// usable.
func (r *Rank) MapToLoad() (MapID, bool) {
	switch {
	case r.loading:
		return r.status.Map, true
	case r.status.Phase == PhaseFetching:
		return r.status.Pending.Map, true
	}
	return MapID{}, false
}

// MapLoaded records that the map is loaded and its memory reserved. For a
// pending switch this is the confirmation: from then on the rank does not pass
// the step of the switch without a decision. It has no effect if the rank has
// already entered the step.
func (r *Rank) MapLoaded(id MapID) {
	if r.loading && r.status.Map == id {
		r.loading = false
		return
	}
	if r.status.Phase == PhaseFetching && r.status.Pending.Map == id {
		r.status.Phase = PhasePrepared
	}
}

// MapLoadFailed drops a pending switch whose map could not be loaded.
func (r *Rank) MapLoadFailed(id MapID) {
	if r.status.Phase == PhaseFetching && r.status.Pending.Map == id {
		r.dropPending()
	}
}

// EnterNextStep advances the rank to the next step and returns the map to use
// in it, or false if the rank must wait. It must be called only when all ranks
// of the generation have finished the step before.
func (r *Rank) EnterNextStep() (MapID, bool) {
	s := &r.status
	if !s.Running || r.loading {
		return MapID{}, false
	}
	if s.Phase != PhaseNone && s.Pending.Step <= s.Step+1 {
		switch s.Phase {
		case PhasePrepared:
			return MapID{}, false
		case PhaseFetching:
			r.dropPending()
		case PhaseCommitted:
			s.Map = s.Pending.Map
			r.dropPending()
		}
	}
	s.Step++
	return s.Map, true
}
