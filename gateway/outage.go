package gateway

import "time"

const (
	// outageRefusals is how many refusals in a row mean that a back end as a whole
	// serves nobody, if they come from outageShare of its targets. A rank group
	// whose ranks are not complete does that; one group of several does not.
	outageRefusals = 4
	outageShare    = 0.4
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
	// of is the number of targets of the back end.
	of     int
	last   time.Time
	probed time.Time
}

// refused notes a refusal and reports whether it begins an outage.
func (o *outage) refused(target string, of int, now time.Time) bool {
	if o.targets == nil || now.Sub(o.last) > outageMemory {
		*o = outage{targets: map[string]bool{}}
	}
	before := o.ongoing(now)
	o.refusals++
	o.targets[target] = true
	o.of, o.last = of, now
	return !before && o.ongoing(now)
}

// end notes that a request was taken, and reports whether this ends an outage.
func (o *outage) end() bool {
	was := o.complete()
	*o = outage{}
	return was
}

func (o *outage) ongoing(now time.Time) bool {
	return o.complete() && now.Sub(o.last) <= outageMemory
}

// complete reports whether enough targets have refused in a row.
func (o *outage) complete() bool {
	return o.refusals >= outageRefusals && len(o.targets) > 1 && float64(len(o.targets)) >= outageShare*float64(o.of)
}

// mayTry reports whether a request may be sent now.
func (o *outage) mayTry(now time.Time) bool {
	return !o.ongoing(now) || now.Sub(o.probed) >= probeInterval
}

func (o *outage) tried(now time.Time) { o.probed = now }
