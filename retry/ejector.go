package retry

import "time"

// Rules of outlier ejection.
const (
	// minFailures is the evidence needed: failures without a success between
	// them, from a target whose pool mostly succeeds.
	minFailures = 5
	// maxPoolFailureRate is the share of failures in the pool above which nothing
	// is ejected, since the fault then is not that of single targets.
	maxPoolFailureRate = 0.5
	// maxEjectedDivisor is the part of the pool that may be ejected.
	maxEjectedDivisor = 3
	firstEjection     = 5 * time.Second
	maxEjection       = 2 * time.Minute
	// recoveryPeriod is how long the share of requests grows to the whole after an
	// ejection. A target that comes back at full share could fail again at once.
	recoveryPeriod = 10 * time.Second
	// poolWindow is how many results the failure share of the pool looks back.
	poolWindow = 100
)

type targetHealth struct {
	failures     int // since the last success
	ejections    int // ejections without a full recovery
	ejectedUntil time.Time
}

// Ejector takes targets that keep failing out of a pool for a while.
type Ejector struct {
	targets         map[string]*targetHealth
	poolFailureRate float64 // moving share of failed results
}

// NewEjector returns an ejector without evidence.
func NewEjector() *Ejector { return &Ejector{targets: map[string]*targetHealth{}} }

// Observe takes in the result of one attempt. size is the number of usable
// targets of the pool. It reports whether the target is ejected by this result.
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
	if (e.countEjected(now)+1)*maxEjectedDivisor > poolSize {
		return false
	}
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 8), maxEjection))
	h.ejections++
	h.failures = 0
	return true
}

// Admit reports whether the target may be chosen. random is in [0,1); after an
// ejection a growing share of requests is admitted.
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

// HasTrackedTargets reports whether there is a target that Admit may refuse.
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
