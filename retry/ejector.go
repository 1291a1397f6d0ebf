package retry

import "time"

// Rules of outlier ejection.
const (
	// minFailures is the evidence needed: failures without a success between
	// them, from a target whose pool mostly succeeds.
	minFailures = 5
	// poolFailureLimit is the share of failures in the pool above which nothing
	// is ejected, since the fault then is not that of single targets.
	poolFailureLimit = 0.5
	// maxEjectedShare is the part of the pool that may be ejected.
	maxEjectedShare = 3
	firstEjection   = 5 * time.Second
	maxEjection     = 2 * time.Minute
	// recovery is how long the share of requests grows to the whole after an
	// ejection. A target that comes back at full share could fail again at once.
	recovery = 10 * time.Second
	// poolMemory is how many results the failure share of the pool looks back.
	poolMemory = 100
)

type health struct {
	failures int // since the last success
	times    int // ejections without a full recovery
	until    time.Time
}

// Ejector takes targets that keep failing out of a pool for a while.
type Ejector struct {
	targets     map[string]*health
	poolFailure float64 // moving share of failed results
}

// NewEjector returns an ejector without evidence.
func NewEjector() *Ejector { return &Ejector{targets: map[string]*health{}} }

// Observe takes in the result of one attempt. size is the number of usable
// targets of the pool. It reports whether the target is ejected by this result.
func (e *Ejector) Observe(target string, failed bool, size int, now time.Time) bool {
	result := 0.0
	if failed {
		result = 1
	}
	e.poolFailure += (result - e.poolFailure) / poolMemory
	h := e.targets[target]
	if h == nil {
		if !failed {
			return false
		}
		h = &health{}
		e.targets[target] = h
	}
	if !failed {
		h.failures = 0
		if now.After(h.until.Add(recovery)) {
			delete(e.targets, target)
		}
		return false
	}
	h.failures++
	if h.failures < minFailures || now.Before(h.until) || e.poolFailure > poolFailureLimit {
		return false
	}
	if (e.ejected(now)+1)*maxEjectedShare > size {
		return false
	}
	h.until = now.Add(min(firstEjection<<min(h.times, 8), maxEjection))
	h.times++
	h.failures = 0
	return true
}

// Admit reports whether the target may be chosen. random is in [0,1); after an
// ejection a growing share of requests is admitted.
func (e *Ejector) Admit(target string, random float64, now time.Time) bool {
	h := e.targets[target]
	if h == nil || h.times == 0 {
		return true
	}
	if now.Before(h.until) {
		return false
	}
	return random < now.Sub(h.until).Seconds()/recovery.Seconds()
}

// HasTrackedTargets reports whether there is a target that Admit may refuse.
func (e *Ejector) HasTrackedTargets() bool { return len(e.targets) > 0 }

func (e *Ejector) ejected(now time.Time) int {
	n := 0
	for _, h := range e.targets {
		if now.Before(h.until) {
			n++
		}
	}
	return n
}
