package gateway

import "time"

const (
	// outageRefusals is how many refusals in a row, from outageTargets different
	// targets, mean that a back end as a whole serves nobody. A rank group whose
	// ranks are not complete does that.
	outageRefusals = 4
	outageTargets  = 2
	// outageMemory ends an outage of which nothing has been heard.
	outageMemory = time.Second
	// probeInterval is the pause between requests that try whether the back end
	// is back.
	probeInterval = 120 * time.Millisecond
)

// outage tells whether a whole back end refuses requests. Then only single
// requests are sent, and the others wait: each refusal would use up an attempt
// of its request and of the retry limits.
type outage struct {
	refusals int
	targets  map[string]bool
	last     time.Time
	probed   time.Time
}

// refused notes a refusal and reports whether it begins an outage.
func (o *outage) refused(target string, now time.Time) bool {
	if o.targets == nil || now.Sub(o.last) > outageMemory {
		*o = outage{targets: map[string]bool{}}
	}
	before := o.ongoing(now)
	o.refusals++
	o.targets[target] = true
	o.last = now
	return !before && o.ongoing(now)
}

// end notes that a request was taken, and reports whether this ends an outage.
func (o *outage) end() bool {
	was := o.refusals >= outageRefusals && len(o.targets) >= outageTargets
	*o = outage{}
	return was
}

func (o *outage) ongoing(now time.Time) bool {
	return o.refusals >= outageRefusals && len(o.targets) >= outageTargets && now.Sub(o.last) <= outageMemory
}

// mayTry reports whether a request may be sent now.
func (o *outage) mayTry(now time.Time) bool {
	return !o.ongoing(now) || now.Sub(o.probed) >= probeInterval
}

func (o *outage) tried(now time.Time) { o.probed = now }
