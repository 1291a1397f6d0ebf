package gateway

import "time"

const (
	// outageRefusals is how many consecutive refusals mean that a back end as a
	// whole refuses requests, if they come from outageShare of its targets. An
	// incomplete rank group causes this if it is the only one of the back end;
	// one group of several does not.
	outageRefusals = 4
	outageShare    = 0.4
	// outageTimeout ends an outage if no further refusal is recorded.
	outageTimeout = time.Second
	// probeInterval is the pause between requests that probe whether the back
	// end has recovered.
	probeInterval = 120 * time.Millisecond
)

// outageDetector detects that a whole back end refuses requests. During an
// outage only single requests are sent as probes and the others wait, because
// each refusal would use up an attempt of its request and part of the retry
// budget.
type outageDetector struct {
	refusals        int
	refusingTargets map[string]bool
	// targetCount is the number of targets of the back end.
	targetCount int
	lastRefusal time.Time
	lastProbe   time.Time
}

// recordRefusal records a refusal and reports whether it begins an outage.
func (o *outageDetector) recordRefusal(target string, targetCount int, now time.Time) bool {
	if o.refusingTargets == nil || now.Sub(o.lastRefusal) > outageTimeout {
		*o = outageDetector{refusingTargets: map[string]bool{}}
	}
	wasOngoing := o.isOngoing(now)
	o.refusals++
	o.refusingTargets[target] = true
	o.targetCount, o.lastRefusal = targetCount, now
	return !wasOngoing && o.isOngoing(now)
}

// recordAccepted records that a request was accepted, and reports whether this
// ends an outage.
func (o *outageDetector) recordAccepted() bool {
	ended := o.thresholdReached()
	*o = outageDetector{}
	return ended
}

func (o *outageDetector) isOngoing(now time.Time) bool {
	return o.thresholdReached() && now.Sub(o.lastRefusal) <= outageTimeout
}

// thresholdReached reports whether enough targets have refused requests in a
// row.
func (o *outageDetector) thresholdReached() bool {
	return o.refusals >= outageRefusals && len(o.refusingTargets) > 1 && float64(len(o.refusingTargets)) >= outageShare*float64(o.targetCount)
}

// allowsRequest reports whether a request may be sent now.
func (o *outageDetector) allowsRequest(now time.Time) bool {
	return !o.isOngoing(now) || now.Sub(o.lastProbe) >= probeInterval
}

func (o *outageDetector) recordProbe(now time.Time) { o.lastProbe = now }
