package membership

import "time"

// State is the failure state of a process as another one sees it.
type State string

// The states. Only ready and slow processes get new work.
const (
	Ready       State = "ready"
	Slow        State = "slow"     // heartbeats are late; not a first choice
	Suspect     State = "suspect"  // silent, or one direction is broken
	Flapping    State = "flapping" // changes too often
	Unreachable State = "gone"     // silent for long
)

// Bounds of the states.
const (
	slowAfter    = 2 * time.Second
	suspectAfter = 3 * time.Second
	goneAfter    = 60 * time.Second
	// flapChanges within flapWindow make a process flapping, until it has been
	// steady for steadyFor.
	flapChanges = 3
	flapWindow  = 60 * time.Second
	steadyFor   = 30 * time.Second
)

// Detector keeps the failure state of one process. It survives the sessions of
// that process, so that one which comes and goes is seen to flap.
type Detector struct {
	heard    time.Time
	echoed   time.Time
	broken   bool
	down     bool
	changes  []time.Time
	steadyAt time.Time
	flapping bool
}

// Connected starts a session. A new session counts as heard in both directions.
func (d *Detector) Connected(now time.Time) {
	d.heard, d.echoed, d.broken = now, now, false
	d.update(now)
}

// Disconnected says that the session broke.
func (d *Detector) Disconnected(now time.Time) {
	d.broken = true
	d.update(now)
}

// RecordHeartbeat records a heartbeat. Echoed is when the peer last showed that it hears
// this process; a stale echo means a partition in one direction.
func (d *Detector) RecordHeartbeat(now, echoed time.Time) {
	d.update(now)
	d.heard = now
	if echoed.After(d.echoed) {
		d.echoed = echoed
	}
	d.update(now)
}

// update notes a change between usable and not.
func (d *Detector) update(now time.Time) {
	down := d.broken || d.silence(now) > suspectAfter
	if down != d.down {
		d.down = down
		d.changes = append(d.changes, now)
		d.steadyAt = now.Add(steadyFor)
	}
	for len(d.changes) > 0 && now.Sub(d.changes[0]) > flapWindow {
		d.changes = d.changes[1:]
	}
	if len(d.changes) >= flapChanges {
		d.flapping = true
	}
	if d.flapping && now.After(d.steadyAt) {
		d.flapping, d.changes = false, nil
	}
}

// silence is the time since both directions last worked.
func (d *Detector) silence(now time.Time) time.Duration {
	return max(now.Sub(d.heard), now.Sub(d.echoed))
}

// State returns the state at the given time.
func (d *Detector) State(now time.Time) State {
	d.update(now)
	silence := d.silence(now)
	switch {
	case silence > goneAfter:
		return Unreachable
	case d.down:
		return Suspect
	case d.flapping:
		return Flapping
	case silence > slowAfter:
		return Slow
	default:
		return Ready
	}
}

// Usable reports whether the process gets new work.
func (s State) Usable() bool { return s == Ready || s == Slow }
