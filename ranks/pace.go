package ranks

import (
	"math"
	"time"
)

const (
	// paceWindow is the span of the observations from which the time of a step is
	// estimated.
	paceWindow = time.Second
	// leadTime is the least time between a hold order and the step that it holds, so
	// that all ranks are usually armed when that step is due. lossyLeadTime leaves
	// time for orders that must be sent again.
	leadTime      = 60 * time.Millisecond
	lossyLeadTime = 250 * time.Millisecond
	// maxLeadSteps limits the steps that fit into the lead time.
	maxLeadSteps = 12
)

// stepObservation is the last step that a group had begun at a time.
type stepObservation struct {
	step uint64
	at   time.Time
}

// stepPace estimates how long the steps of a group take. It answers a load whose
// steps become many times longer, because of a slow rank or an outdated map: a
// switch that waits for a fixed number of steps then takes longest when the next
// map is needed most.
type stepPace struct {
	epoch        uint64
	observations []stepObservation // of the last paceWindow, and the one before
}

// observe records the last step that the group had begun in an epoch.
func (p *stepPace) observe(epoch, step uint64, now time.Time) {
	if n := len(p.observations); epoch != p.epoch || n > 0 && step < p.observations[n-1].step {
		*p = stepPace{epoch: epoch}
	}
	p.observations = append(p.observations, stepObservation{step, now})
	for len(p.observations) > 2 && now.Sub(p.observations[1].at) >= paceWindow {
		p.observations = p.observations[1:]
	}
}

// stepTime returns the mean time of the latest steps. If none has begun, they take at
// least as long as the observations span. It returns 0 if nothing is known.
func (p *stepPace) stepTime() time.Duration {
	if len(p.observations) < 2 {
		return 0
	}
	first, last := p.observations[0], p.observations[len(p.observations)-1]
	return last.at.Sub(first.at) / time.Duration(max(1, last.step-first.step))
}

// leadSteps returns how many steps after the last one begun a step is held, so that
// the lead is at least the given time.
func (p *stepPace) leadSteps(lead time.Duration) uint64 {
	stepTime := p.stepTime()
	if stepTime <= 0 {
		return maxLeadSteps
	}
	return min(maxLeadSteps, 1+uint64(math.Floor(float64(lead)/float64(stepTime))))
}
