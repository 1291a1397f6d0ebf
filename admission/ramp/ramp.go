package ramp

import (
	"slices"
	"time"
)

const (
	// A completion with a unit time over slowFactor times the baseline does not
	// count towards a higher limit.
	slowFactor = 2
	// A median unit time of the last medianWindow completions over relapseFactor
	// times the baseline shows that the engine must warm up again.
	relapseFactor = 4
	medianWindow  = 8
	// baselineWeight is the smoothing factor of the baseline, which covers about
	// the last 32 completions.
	baselineWeight = 1.0 / 32
	// relapseFailures is the number of consecutive failures that restart the ramp.
	// One failure may be caused by a single request, which must not reduce the
	// target's capacity for all others.
	relapseFailures = 3
	// The pause after a relapse is interval/pauseDivisor, at most maxFirstPause. It
	// doubles with each further relapse without a healthy completion in between, at
	// most maxPauseDoublings times.
	pauseDivisor      = 4
	maxFirstPause     = 500 * time.Millisecond
	maxPauseDoublings = 4
)

// Rule holds the parameters of a ramp. Limit is the concurrency of a target whose
// warm-up is complete.
type Rule struct {
	Initial  int
	Factor   float64
	Interval time.Duration
	Limit    int
}

// Verdict is what the result of one unit of work shows about the engine's health.
type Verdict uint8

// The verdicts.
const (
	// Neutral work shows nothing, for example because its caller cancelled it.
	Neutral Verdict = iota
	Healthy
	// Failed work may be the sign of an engine failure.
	Failed
	// Overwhelmed means that the engine itself reported overload.
	Overwhelmed
)

// Sample is the result of one finished unit of work. Epoch is the value that Start
// returned for it. UnitTime is the service time per unit of cost, or zero if it is
// not known.
type Sample struct {
	Epoch    uint64
	Verdict  Verdict
	UnitTime time.Duration
}

// Ramp is the warm-up state of one target. It is not safe for concurrent use.
type Ramp struct {
	rule                Rule
	limit               float64 // ignoring a pause
	epoch               uint64  // increased by each restart
	stepStartedAt       time.Time
	healthyCompletions  int  // in the current step
	saturated           bool // the limit was fully used in the current step
	consecutiveFailures int
	consecutiveRelapses int
	pauseUntil          time.Time
	baseline            time.Duration
	recentUnitTimes     []time.Duration
}

// New returns a ramp at its initial limit.
func New(rule Rule, now time.Time) *Ramp {
	r := &Ramp{rule: rule}
	r.Restart(now)
	return r
}

// Restart starts the warm-up again without a pause.
func (r *Ramp) Restart(now time.Time) {
	r.limit = float64(max(1, min(r.rule.Initial, r.rule.Limit)))
	r.epoch++
	r.consecutiveFailures, r.consecutiveRelapses = 0, 0
	r.pauseUntil = time.Time{}
	r.recentUnitTimes = r.recentUnitTimes[:0]
	r.beginStep(now)
}

// beginStep resets the conditions for the next step.
func (r *Ramp) beginStep(now time.Time) {
	r.stepStartedAt, r.healthyCompletions, r.saturated = now, 0, false
}

// Restarts returns the number of restarts since the target process started.
func (r *Ramp) Restarts() uint64 { return r.epoch - 1 }

// SetRule replaces the rule. A lower limit takes effect at once. A higher one is
// reached in steps.
func (r *Ramp) SetRule(rule Rule) {
	r.rule = rule
	r.limit = max(1, min(r.limit, float64(rule.Limit)))
}

// Limit returns the concurrency that is allowed now. It is zero during a pause.
func (r *Ramp) Limit(now time.Time) int {
	if now.Before(r.pauseUntil) {
		return 0
	}
	return int(r.limit)
}

// UnpausedLimit returns the current limit, ignoring a pause. It is at least 1.
func (r *Ramp) UnpausedLimit() int { return int(r.limit) }

// PausedUntil returns the end of the pause after the last relapse, or zero if there
// was none since the last Restart.
func (r *Ramp) PausedUntil() time.Time { return r.pauseUntil }

// Warming reports whether the limit is still below the limit of the rule.
func (r *Ramp) Warming() bool { return int(r.limit) < r.rule.Limit }

// Start records that work started; running is the number of units now in progress.
// The caller puts the returned epoch into the Sample of the work.
func (r *Ramp) Start(running int) uint64 {
	if running >= int(r.limit) {
		r.saturated = true
	}
	return r.epoch
}

// Finish records the sample of finished work. It ignores work that started in an
// earlier epoch, which shows nothing about the engine since the restart.
func (r *Ramp) Finish(now time.Time, s Sample) {
	if s.Epoch != r.epoch {
		return
	}
	switch s.Verdict {
	case Overwhelmed:
		r.relapse(now)
	case Failed:
		if r.consecutiveFailures++; r.consecutiveFailures >= relapseFailures {
			r.relapse(now)
		}
	case Healthy:
		r.recordHealthy(now, s.UnitTime)
	}
}

// relapse restarts the ramp and starts a pause.
func (r *Ramp) relapse(now time.Time) {
	relapses := r.consecutiveRelapses
	r.Restart(now)
	pause := min(r.rule.Interval/pauseDivisor, maxFirstPause) << min(relapses, maxPauseDoublings)
	r.pauseUntil = now.Add(pause)
	r.consecutiveRelapses = relapses + 1
}

// recordHealthy records a healthy completion, which may raise the limit or, if the
// engine has become too slow, cause a relapse.
func (r *Ramp) recordHealthy(now time.Time, unitTime time.Duration) {
	r.consecutiveFailures = 0
	if r.addUnitTime(unitTime) {
		r.relapse(now)
		return
	}
	if r.baseline > 0 && unitTime > slowFactor*r.baseline {
		r.updateBaseline(unitTime)
		return
	}
	r.updateBaseline(unitTime)
	r.consecutiveRelapses = 0
	r.healthyCompletions++
	r.raiseLimit(now)
}

// updateBaseline adds a unit time to the moving average.
func (r *Ramp) updateBaseline(unitTime time.Duration) {
	switch {
	case unitTime <= 0:
	case r.baseline == 0:
		r.baseline = unitTime
	default:
		r.baseline += time.Duration(baselineWeight * float64(unitTime-r.baseline))
	}
}

// addUnitTime adds a unit time to the recent ones and reports whether their median
// is too slow. It uses the median because a single slow result does not show that
// the engine must warm up again.
func (r *Ramp) addUnitTime(unitTime time.Duration) bool {
	if unitTime <= 0 || r.baseline == 0 {
		return false
	}
	if len(r.recentUnitTimes) == medianWindow {
		r.recentUnitTimes = slices.Delete(r.recentUnitTimes, 0, 1)
	}
	r.recentUnitTimes = append(r.recentUnitTimes, unitTime)
	if len(r.recentUnitTimes) < medianWindow {
		return false
	}
	var sorted [medianWindow]time.Duration
	copy(sorted[:], r.recentUnitTimes)
	slices.Sort(sorted[:])
	if sorted[medianWindow/2] <= relapseFactor*r.baseline {
		return false
	}
	for _, u := range r.recentUnitTimes {
		r.updateBaseline(u)
	}
	return true
}

// raiseLimit makes a step if its conditions are met.
func (r *Ramp) raiseLimit(now time.Time) {
	maxLimit := float64(r.rule.Limit)
	if r.limit >= maxLimit || !r.saturated || r.healthyCompletions < int(r.limit) || now.Sub(r.stepStartedAt) < r.rule.Interval {
		return
	}
	r.limit = min(maxLimit, max(r.limit+1, r.limit*r.rule.Factor))
	r.beginStep(now)
}
