package retry

import "time"

// Parameters of outlier ejection.
const (
	// minFailures is the number of failures without a success in between after
	// which a target is ejected, if most attempts at its pool succeed.
	minFailures = 5
	// maxPoolFailureRate is the failure rate of the pool above which nothing is
	// ejected, since the cause is then not a single target.
	maxPoolFailureRate = 0.5
	// targetsPerEjection is the number of targets in the pool per ejected one: at
	// most a third of the pool is ejected.
	targetsPerEjection = 3
	// firstEjection is the duration of the first ejection. Each further one
	// without a full recovery lasts twice as long, up to maxEjection.
	firstEjection = 5 * time.Second
	maxEjection   = 2 * time.Minute
	// recoveryPeriod is the time after an ejection in which the target's share of
	// requests grows to its full share. At full share at once, the target could
	// fail again immediately.
	recoveryPeriod = 10 * time.Second
	// poolWindow is the time constant, in results, of the pool's failure rate. The
	// rate is a moving average in which a new result has the weight 1/poolWindow.
	poolWindow = 100
)

type targetHealth struct {
	failures     int // since the last success
	ejections    int // number of ejections without a full recovery
	ejectedUntil time.Time
}

// Ejector temporarily removes targets that keep failing from a pool.
type Ejector struct {
	targets         map[string]*targetHealth
	poolFailureRate float64 // moving average of the failures of all targets
}

// NewEjector returns an Ejector without recorded results.
func NewEjector() *Ejector { return &Ejector{targets: map[string]*targetHealth{}} }

// Observe records the result of one attempt and reports whether the target is
// ejected by it. poolSize is the number of usable targets in the pool.
func (e *Ejector) Observe(target string, failed bool, poolSize int, now time.Time) bool {
	result := 0.0
	if failed {
		result = 1
	}
	e.poolFailureRate += (result - e.poolFailureRate) / poolWindow
	h := e.targets[target]
	if h == nil {
		if !failed {
			return false
		}
		h = &targetHealth{}
		e.targets[target] = h
	}
	if !failed {
		h.failures = 0
		if now.After(h.ejectedUntil.Add(recoveryPeriod)) {
			delete(e.targets, target)
		}
		return false
	}
	h.failures++
	if h.failures < minFailures || now.Before(h.ejectedUntil) || e.poolFailureRate > maxPoolFailureRate {
		return false
	}
	if (e.countEjected(now)+1)*targetsPerEjection > poolSize {
		return false
	}
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 8), maxEjection))
	h.ejections++
	h.failures = 0
	return true
}

// Admit reports whether the target may be picked. random is in [0,1). After an
// ejection, a growing share of requests is admitted.
func (e *Ejector) Admit(target string, random float64, now time.Time) bool {
	h := e.targets[target]
	if h == nil || h.ejections == 0 {
		return true
	}
	if now.Before(h.ejectedUntil) {
		return false
	}
	return random < now.Sub(h.ejectedUntil).Seconds()/recoveryPeriod.Seconds()
}

// HasTrackedTargets reports whether there is a target that Admit may reject.
func (e *Ejector) HasTrackedTargets() bool { return len(e.targets) > 0 }

func (e *Ejector) countEjected(now time.Time) int {
	n := 0
	for _, h := range e.targets {
		if now.Before(h.ejectedUntil) {
			n++
		}
	}
	return n
}
