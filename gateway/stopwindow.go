package gateway

import "time"

// stopWindow is the time in which a stopping instance works on requests. It
// decides which requests still fit, from the time that is left and the time that
// such requests take.
//
// The load pattern: callers keep addresses and connections for seconds, so
// requests arrive until the end of a stop, and their times range from
// milliseconds to more than half of the stop. A fixed time after which requests
// are rejected either cuts the long ones or rejects short ones in vain. A request
// that is rejected at once can run on another instance; one that is cut may have
// run and is lost.
type stopWindow struct {
	beganAt time.Time
	// endsAt is when all responses must be complete.
	endsAt time.Time
}

// latestSend returns the latest time at which a request that takes work may be
// sent to a target. A request whose deadline is within the window always fits,
// because its caller gets a final response by then.
func (w *stopWindow) latestSend(work time.Duration, deadline time.Time) time.Time {
	if !deadline.After(w.endsAt) {
		return w.endsAt
	}
	return w.endsAt.Add(-work)
}

// stopDecision is the decision on one request in a planned stop, with its inputs.
type stopDecision struct {
	// left is the remaining time of the stop, and work the estimated time of the
	// request.
	left, work time.Duration
	// known is false if too few requests have completed for an estimate. Work is
	// then the time until the deadline.
	known bool
	// basis is what the estimate rests on.
	basis workBasis
	// latestSend is when the request must have been sent to a target.
	latestSend time.Time
}

// decide returns the decision on a request at the given time.
func (w *stopWindow) decide(now, deadline time.Time, work time.Duration, known bool) stopDecision {
	if !known {
		work = deadline.Sub(now)
	}
	return stopDecision{left: w.endsAt.Sub(now), work: work, known: known, latestSend: w.latestSend(work, deadline)}
}

// fits reports whether the request may be sent to a target at the given time.
func (d stopDecision) fits(now time.Time) bool { return !now.After(d.latestSend) }
