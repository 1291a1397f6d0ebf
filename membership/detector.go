package membership

import "time"

// State is the failure state of a process as seen by another one.
type State string

// The states. Only ready and slow processes get new requests.
const (
	Ready       State = "ready"
	Slow        State = "slow"     // heartbeats are late; other processes are preferred
	Suspect     State = "suspect"  // no heartbeats, or they arrive in one direction only
	Flapping    State = "flapping" // alternates between usable and unusable too often
	Unreachable State = "gone"     // no heartbeats for unreachableAfter
)

// Time limits of the states.
const (
	slowAfter        = 2 * time.Second
	suspectAfter     = 3 * time.Second
	unreachableAfter = 60 * time.Second
	// flappingChanges changes within flappingWindow make a process flapping,
	// until it has not changed for steadyTime.
	flappingChanges = 3
	flappingWindow  = 60 * time.Second
	steadyTime      = 30 * time.Second
)

// Detector keeps the failure state of one process. It outlives the sessions
// with that process, so that a process which reconnects often is recognized as
// flapping.
type Detector struct {
	lastHeartbeat time.Time
	lastEcho      time.Time
	sessionBroken bool
	down          bool
	stateChanges  []time.Time
	steadyAt      time.Time
	flapping      bool
}

// Connected records a new session. It counts as a heartbeat in both directions.
func (d *Detector) Connected(now time.Time) {
	d.lastHeartbeat, d.lastEcho, d.sessionBroken = now, now, false
	d.update(now)
}

// Disconnected records that the session broke.
func (d *Detector) Disconnected(now time.Time) {
	d.sessionBroken = true
	d.update(now)
}

// RecordHeartbeat records a heartbeat. echoed is when the peer last confirmed
// that it receives heartbeats from this process. An old time means that
// heartbeats arrive in one direction only.
func (d *Detector) RecordHeartbeat(now, echoed time.Time) {
	d.update(now)
	d.lastHeartbeat = now
	if echoed.After(d.lastEcho) {
		d.lastEcho = echoed
	}
	d.update(now)
}

// update records changes between usable and unusable.
func (d *Detector) update(now time.Time) {
	down := d.sessionBroken || d.unresponsiveTime(now) > suspectAfter
	if down != d.down {
		d.down = down
		d.stateChanges = append(d.stateChanges, now)
		d.steadyAt = now.Add(steadyTime)
	}
	for len(d.stateChanges) > 0 && now.Sub(d.stateChanges[0]) > flappingWindow {
		d.stateChanges = d.stateChanges[1:]
	}
	if len(d.stateChanges) >= flappingChanges {
		d.flapping = true
	}
	if d.flapping && now.After(d.steadyAt) {
		d.flapping, d.stateChanges = false, nil
	}
}

// unresponsiveTime returns the time since heartbeats last arrived in both
// directions.
func (d *Detector) unresponsiveTime(now time.Time) time.Duration {
	return max(now.Sub(d.lastHeartbeat), now.Sub(d.lastEcho))
}

// State returns the state at the given time.
func (d *Detector) State(now time.Time) State {
	d.update(now)
	unresponsive := d.unresponsiveTime(now)
	switch {
	case unresponsive > unreachableAfter:
		return Unreachable
	case d.down:
		return Suspect
	case d.flapping:
		return Flapping
	case unresponsive > slowAfter:
		return Slow
	default:
		return Ready
	}
}

// Usable reports whether the process may get new requests.
func (s State) Usable() bool { return s == Ready || s == Slow }
