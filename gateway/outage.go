package gateway

import "time"

const (
	// outageRefusals is how many refusals in a row mean that a back end as a whole
	// serves nobody, if they come from outageShare of its targets. A rank group
	// whose ranks are not complete does that; one group of several does not.
	outageRefusals = 4
	outageShare    = 0.4
	// outageTimeout ends an outage of which nothing has been heard.
	outageTimeout = time.Second
	// probeInterval is the pause between requests that try whether the back end
	// is back.
	probeInterval = 120 * time.Millisecond
)

// outageDetector tells whether a whole back end refuses requests. Then only single
// requests are sent, and the others wait: each refusal would use up an attempt
// of its request and of the retry limits.
type outageDetector struct {
	refusals        int
	refusingTargets map[string]bool
	// targetCount is the number of targets of the back end.
	targetCount int
	lastRefusal time.Time
	lastProbe   time.Time
}

// recordRefusal notes a refusal and reports whether it begins an outage.
func (o *outageDetector) recordRefusal(target string, of int, now time.Time) bool {
	if o.refusingTargets == nil || now.Sub(o.lastRefusal) > outageTimeout {
		*o = outageDetector{refusingTargets: map[string]bool{}}
	}
	before := o.isOngoing(now)
	o.refusals++
	o.refusingTargets[target] = true
	o.targetCount, o.lastRefusal = of, now
	return !before && o.isOngoing(now)
}

// recordAccepted notes that a request was taken, and reports whether this ends an outage.
func (o *outageDetector) recordAccepted() bool {
	was := o.thresholdReached()
	*o = outageDetector{}
	return was
}

func (o *outageDetector) isOngoing(now time.Time) bool {
	return o.thresholdReached() && now.Sub(o.lastRefusal) <= outageTimeout
}

// thresholdReached reports whether enough targets have refused in a row.
func (o *outageDetector) thresholdReached() bool {
	return o.refusals >= outageRefusals && len(o.refusingTargets) > 1 && float64(len(o.refusingTargets)) >= outageShare*float64(o.targetCount)
}

// allowsRequest reports whether a request may be sent now.
func (o *outageDetector) allowsRequest(now time.Time) bool {
	return !o.isOngoing(now) || now.Sub(o.lastProbe) >= probeInterval
}

func (o *outageDetector) recordProbe(now time.Time) { o.lastProbe = now }
