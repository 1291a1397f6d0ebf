package expertmap

// MapID identifies the content of an expert map. A version is used for one
// switch only, so a late message of an aborted switch matches no other switch.
type MapID struct {
	Version uint64 `json:"version"`
	Digest  uint64 `json:"digest"`
}

// Switch is the change of a group to a map, which the group uses from Step on.
type Switch struct {
	Map  MapID  `json:"map"`
	Step uint64 `json:"step"`
}

// Generation identifies one formation of a group. All ranks take part in a step
// within one generation, and a step that a new generation interrupts is
// discarded. The fencing number makes a generation unique across coordinators.
type Generation struct {
	Fencing uint64 `json:"fencing"`
	Number  uint64 `json:"number"`
}

// Less reports whether g is older than o.
func (g Generation) Less(o Generation) bool {
	if g.Fencing != o.Fencing {
		return g.Fencing < o.Fencing
	}
	return g.Number < o.Number
}

// Kind is the kind of a message.
type Kind uint8

// The messages from a coordinator to a rank, and the two replies: Report and
// Refused.
const (
	Query Kind = iota + 1
	Prepare
	Commit
	Abort
	Halt
	Start
	Report
	Refused
)

// Phase is the progress of a rank with a pending switch.
type Phase uint8

// The phases of a pending switch. A rank in PhasePrepared has confirmed the
// switch and waits for the decision; in PhaseFetching it may still drop it.
const (
	PhaseNone Phase = iota
	PhaseFetching
	PhasePrepared
	PhaseCommitted
)

// Status is the state of one rank.
type Status struct {
	// Cold is set from a restart of the rank until it is started in a
	// generation. A cold rank may have confirmed or committed a switch before
	// its restart.
	Cold       bool       `json:"cold,omitempty"`
	Running    bool       `json:"running,omitempty"`
	Generation Generation `json:"generation"`
	Step       uint64     `json:"step"`
	Map        MapID      `json:"map"`
	Pending    Switch     `json:"pending"`
	Phase      Phase      `json:"phase,omitempty"`
	// HighestVersion is the highest version that the rank has prepared or
	// refused. The rank prepares only higher versions.
	HighestVersion uint64 `json:"highest"`
}

// Decided returns the newest map that the rank uses or has committed to use.
func (s Status) Decided() MapID {
	if s.Phase == PhaseCommitted {
		return s.Pending.Map
	}
	return s.Map
}

// Message is one message between a coordinator and a rank.
type Message struct {
	Kind Kind `json:"kind"`
	Rank int  `json:"rank"`
	// Fencing is the fencing number of the coordinator. A reply repeats it; in
	// Refused it is the highest number seen.
	Fencing uint64 `json:"fencing"`
	// Incarnation is a number that a rank chooses at each start. All messages
	// but Query name the incarnation for which they are meant.
	Incarnation uint64 `json:"incarnation"`
	// Round is the number of the coordinator's query round. A reply repeats it.
	Round      uint64     `json:"round"`
	Generation Generation `json:"generation"`
	Switch     Switch     `json:"switch"`
	// HighestVersion is sent with Start to ranks that have lost theirs.
	HighestVersion uint64 `json:"highest"`
	Status         Status `json:"status"`
}
