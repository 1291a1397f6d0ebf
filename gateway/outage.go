package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// outageRefusals is how many consecutive refusals mean that a back end as a
	// whole refuses requests, if they come from at least outageShare of its
	// targets. All ranks of an incomplete rank group refuse requests: this is an
	// outage if the back end has no other group, but not if it has several.
	outageRefusals = 4
	outageShare    = 0.4
	// outageTimeout ends an outage if no further refusal is recorded.
	outageTimeout = time.Second
	// probeInterval is the pause between requests that probe whether the back
	// end has recovered.
	probeInterval = 120 * time.Millisecond
	// groupProbeDelay is how long a back end is not probed after the crash of a rank
	// of its only group: the other ranks answer only once they have noticed it.
	groupProbeDelay = 1600 * time.Millisecond
	// groupProbeInterval is the pause between probes while no rank has taken the place
	// of the crashed one.
	groupProbeInterval = 500 * time.Millisecond
	// lateResponseTime is how long after the crash of a rank responses may still
	// arrive that its group sent before.
	lateResponseTime = 300 * time.Millisecond
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
	// groupLostAt is when a rank of the back end's only group crashed; zero if none
	// has since requests were last accepted. hasReplacement is set once a target has
	// appeared after that.
	groupLostAt    time.Time
	hasReplacement bool
	forecast       routing.OutageForecast
	// deferred is how many requests were rejected with a time to return after the outage.
	deferred int
}

// recordRefusal records a refusal and reports whether it begins an outage.
func (o *outageDetector) recordRefusal(target string, targetCount int, now time.Time) bool {
	wasOngoing := o.isOngoing(now)
	if !wasOngoing && now.Sub(o.lastRefusal) > outageTimeout {
		o.reset()
		o.forecast.Cancel()
	}
	if o.refusingTargets == nil {
		o.refusingTargets = map[string]bool{}
	}
	o.refusals++
	o.refusingTargets[target] = true
	o.targetCount, o.lastRefusal = targetCount, now
	if wasOngoing || !o.isOngoing(now) {
		return false
	}
	o.forecast.Begin(now)
	return true
}

// recordGroupLoss records that a rank of the only group of the back end has crashed,
// so that no rank serves until another has taken its place. It reports whether that
// begins an outage.
func (o *outageDetector) recordGroupLoss(now time.Time) bool {
	wasOngoing := o.isOngoing(now)
	o.groupLostAt, o.hasReplacement = now, false
	if !wasOngoing {
		o.deferred = 0
		o.forecast.Begin(now)
	}
	return !wasOngoing
}

// recordReplacement records that a target has appeared.
func (o *outageDetector) recordReplacement(now time.Time) {
	o.hasReplacement = true
	o.forecast.RecordReplacement(now)
}

// recordAccepted records that a request that was sent at sentAt was accepted, and
// reports whether this ends an outage. Responses that a group sent before a rank
// crashed end none.
func (o *outageDetector) recordAccepted(sentAt, now time.Time) bool {
	if !o.groupLostAt.IsZero() && !sentAt.After(o.groupLostAt) && now.Sub(o.groupLostAt) < lateResponseTime {
		return false
	}
	ended := o.thresholdReached() || !o.groupLostAt.IsZero()
	if ended {
		o.forecast.End(now)
	}
	o.reset()
	return ended
}

func (o *outageDetector) reset() { *o = outageDetector{forecast: o.forecast} }

func (o *outageDetector) isOngoing(now time.Time) bool {
	if !o.groupLostAt.IsZero() {
		return now.Sub(o.groupLostAt) <= groupProbeDelay+outageTimeout || now.Sub(o.lastRefusal) <= outageTimeout
	}
	return o.thresholdReached() && now.Sub(o.lastRefusal) <= outageTimeout
}

// remaining returns how much longer an ongoing outage is expected to last, and false
// if that is not known.
func (o *outageDetector) remaining(now time.Time) (time.Duration, bool) {
	if o.groupLostAt.IsZero() && !o.forecast.IsLearned() {
		return 0, false
	}
	return o.forecast.Remaining(now), true
}

// thresholdReached reports whether enough targets have refused requests in a
// row.
func (o *outageDetector) thresholdReached() bool {
	return o.refusals >= outageRefusals && len(o.refusingTargets) > 1 && float64(len(o.refusingTargets)) >= outageShare*float64(o.targetCount)
}

// allowsRequest reports whether a request may be sent now.
func (o *outageDetector) allowsRequest(now time.Time) bool {
	if !o.isOngoing(now) {
		return true
	}
	interval := probeInterval
	if !o.groupLostAt.IsZero() && !o.hasReplacement {
		if now.Sub(o.groupLostAt) < groupProbeDelay {
			return false
		}
		interval = groupProbeInterval
	}
	return now.Sub(o.lastProbe) >= interval
}

func (o *outageDetector) recordProbe(now time.Time) { o.lastProbe = now }
