package ramp

import (
	"slices"
	"time"
)

const (
	// unhealthyMultiple of the norm is no evidence for a higher limit.
	unhealthyMultiple = 2
	// relapseMultiple of the norm, as a median over paceWindow completions,
	// shows that the engine has turned cold.
	relapseMultiple = 4
	paceWindow      = 8
	// normWeight makes the norm follow about the last 32 completions.
	normWeight = 1.0 / 32
	// failuresInRow restart the ramp. One failure may be the fault of a single
	// request, which must not take a target's capacity away from the others.
	failuresInRow = 3
	// The pause after a relapse is interval/pauseDivisor, at most maxFirstPause,
	// doubled for each relapse without a healthy completion in between, up to
	// maxPauseDoublings.
	pauseDivisor      = 4
	maxFirstPause     = 500 * time.Millisecond
	maxPauseDoublings = 4
)

// Rule sets the ramp. Limit is the concurrency of a warm target.
type Rule struct {
	Initial  int
	Factor   float64
	Interval time.Duration
	Limit    int
}

// Verdict is what one finished piece of work says about the engine.
type Verdict uint8

// The verdicts.
const (
	// Neutral work says nothing, for example because its caller went away.
	Neutral Verdict = iota
	Healthy
	// Failed work may show that the engine fell over.
	Failed
	// Overwhelmed is the engine's own statement that it had too much work.
	Overwhelmed
)

// Sample is one finished piece of work. Epoch is what Start returned for it.
// Pace is the service time per unit of work, or zero if it is not known.
type Sample struct {
	Epoch    uint64
	Verdict  Verdict
	UnitTime time.Duration
}

// Ramp is the state of one target. It is not safe for concurrent use.
type Ramp struct {
	rule       Rule
	limit      float64
	epoch      uint64
	stepAt     time.Time
	evidence   int
	saturated  bool
	failures   int
	relapses   int
	pauseUntil time.Time
	norm       time.Duration
	recent     []time.Duration
}

// New returns a ramp that starts cold.
func New(rule Rule, now time.Time) *Ramp {
	r := &Ramp{rule: rule}
	r.Restart(now)
	return r
}

// Restart makes the target cold without a pause.
func (r *Ramp) Restart(now time.Time) {
	r.limit = float64(max(1, min(r.rule.Initial, r.rule.Limit)))
	r.epoch++
	r.failures, r.relapses = 0, 0
	r.pauseUntil = time.Time{}
	r.recent = r.recent[:0]
	r.beginStep(now)
}

func (r *Ramp) beginStep(now time.Time) {
	r.stepAt, r.evidence, r.saturated = now, 0, false
}

// Restarts counts the restarts since the target process started.
func (r *Ramp) Restarts() uint64 { return r.epoch - 1 }

// SetRule takes another rule. A lower limit is in effect at once; a higher one
// is reached in steps.
func (r *Ramp) SetRule(rule Rule) {
	r.rule = rule
	r.limit = max(1, min(r.limit, float64(rule.Limit)))
}

// Limit returns the concurrency that is allowed now.
func (r *Ramp) Limit(now time.Time) int {
	if now.Before(r.pauseUntil) {
		return 0
	}
	return int(r.limit)
}

// UnpausedLimit returns the limit without regard to a pause.
func (r *Ramp) UnpausedLimit() int { return int(r.limit) }

// PausedUntil returns the end of the pause after a relapse.
func (r *Ramp) PausedUntil() time.Time { return r.pauseUntil }

// Warming reports whether the limit is below that of a warm target.
func (r *Ramp) Warming() bool { return int(r.limit) < r.rule.Limit }

// Start notes that work started and running pieces are now in progress. The
// returned epoch belongs into the sample of the work.
func (r *Ramp) Start(running int) uint64 {
	if running >= int(r.limit) {
		r.saturated = true
	}
	return r.epoch
}

// Finish takes the sample of finished work. Work of an earlier epoch says
// nothing about the engine since the restart.
func (r *Ramp) Finish(now time.Time, s Sample) {
	if s.Epoch != r.epoch {
		return
	}
	switch s.Verdict {
	case Overwhelmed:
		r.relapse(now)
	case Failed:
		if r.failures++; r.failures >= failuresInRow {
			r.relapse(now)
		}
	case Healthy:
		r.healthy(now, s.UnitTime)
	}
}

func (r *Ramp) relapse(now time.Time) {
	relapses := r.relapses
	r.Restart(now)
	pause := min(r.rule.Interval/pauseDivisor, maxFirstPause) << min(relapses, maxPauseDoublings)
	r.pauseUntil = now.Add(pause)
	r.relapses = relapses + 1
}

func (r *Ramp) healthy(now time.Time, pace time.Duration) {
	r.failures = 0
	if r.tooSlow(pace) {
		r.relapse(now)
		return
	}
	if r.norm > 0 && pace > unhealthyMultiple*r.norm {
		r.learn(pace)
		return
	}
	r.learn(pace)
	r.relapses = 0
	r.evidence++
	r.grow(now)
}

func (r *Ramp) learn(pace time.Duration) {
	switch {
	case pace <= 0:
	case r.norm == 0:
		r.norm = pace
	default:
		r.norm += time.Duration(normWeight * float64(pace-r.norm))
	}
}

// tooSlow uses a median, since a single slow answer is no sign of a cold engine.
func (r *Ramp) tooSlow(pace time.Duration) bool {
	if pace <= 0 || r.norm == 0 {
		return false
	}
	if len(r.recent) == paceWindow {
		r.recent = slices.Delete(r.recent, 0, 1)
	}
	r.recent = append(r.recent, pace)
	if len(r.recent) < paceWindow {
		return false
	}
	var sorted [paceWindow]time.Duration
	copy(sorted[:], r.recent)
	slices.Sort(sorted[:])
	if sorted[paceWindow/2] <= relapseMultiple*r.norm {
		return false
	}
	for _, p := range r.recent {
		r.learn(p)
	}
	return true
}

func (r *Ramp) grow(now time.Time) {
	full := float64(r.rule.Limit)
	if r.limit >= full || !r.saturated || r.evidence < int(r.limit) || now.Sub(r.stepAt) < r.rule.Interval {
		return
	}
	r.limit = min(full, max(r.limit+1, r.limit*r.rule.Factor))
	r.beginStep(now)
}
