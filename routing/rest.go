package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultRest replaces a rest that a target names by a value that is not valid.
	defaultRest = time.Second
	// maxRest limits a rest: after it one request finds out whether the target still
	// wants none, if it named a longer one by mistake.
	maxRest = time.Minute
	// restSpreadShare and maxRestSpread determine by how much each instance may
	// prolong a rest, so that they do not come back all at once.
	restSpreadShare = 0.1
	maxRestSpread   = 500 * time.Millisecond
	// restTestTimeout is how long after a rest a target gets no second request until
	// it has accepted the first.
	restTestTimeout = 250 * time.Millisecond
)

// Rest is the time for which a target has asked one instance to send no requests.
// The zero value is none.
type Rest struct {
	until time.Time
	// untested is set until the target has accepted a request after the rest, and
	// testedAt is when one was last sent.
	untested bool
	testedAt time.Time
}

// Begin begins a rest, or prolongs it. A duration below zero stands for a value
// that is not valid. It returns the end of the rest.
func (r *Rest) Begin(duration time.Duration, now time.Time) time.Time {
	if duration < 0 {
		duration = defaultRest
	}
	duration = min(duration, maxRest)
	if spread := min(time.Duration(restSpreadShare*float64(duration)), maxRestSpread); spread > 0 {
		duration += rand.N(spread)
	}
	if until := now.Add(duration); duration > 0 && until.After(r.until) {
		r.until, r.untested = until, true
	}
	return r.until
}

// Until returns the end of the rest, which may have passed.
func (r *Rest) Until() time.Time { return r.until }

// Allows reports whether the target may get a request now.
func (r *Rest) Allows(now time.Time) bool {
	switch {
	case now.Before(r.until):
		return false
	case !r.untested:
		return true
	default:
		return r.testedAt.Before(r.until) || now.Sub(r.testedAt) > restTestTimeout
	}
}

// RecordRequest records that a request is about to be sent.
func (r *Rest) RecordRequest(now time.Time) {
	if r.untested {
		r.testedAt = now
	}
}

// RecordAccepted records that the target has accepted a request that was sent at
// sentAt.
func (r *Rest) RecordAccepted(sentAt time.Time) {
	if !sentAt.Before(r.until) {
		r.untested = false
	}
}
