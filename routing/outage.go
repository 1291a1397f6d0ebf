package routing

import "time"

const (
	// firstOutageLength is the expected length of a back end's first outage, if it has
	// a known cause that takes seconds to mend.
	firstOutageLength = 4 * time.Second
	// minOutageLength is the least length of an outage from which a forecast learns.
	minOutageLength = 500 * time.Millisecond
	// outageLengthWeight is the weight of the latest outage in the expected length.
	outageLengthWeight = 0.5
	// minOutageRemaining is the remaining time of an outage that lasts longer than
	// expected.
	minOutageRemaining = 250 * time.Millisecond
	// replacedOutageRemaining is the remaining time once a target has appeared that may
	// take the place of a failed one.
	replacedOutageRemaining = 900 * time.Millisecond
)

// OutageForecast predicts when the outage of a back end ends, from the lengths of its
// former ones. It answers a load that arrives during an outage of seconds: callers
// that return before its end return in vain, and most do so only once.
type OutageForecast struct {
	beganAt time.Time // zero if there is no outage
	// replacedAt is when a target last appeared during the outage; zero if none has.
	replacedAt time.Time
	length     time.Duration
}

// Begin records that an outage has begun.
func (f *OutageForecast) Begin(now time.Time) { f.beganAt, f.replacedAt = now, time.Time{} }

// RecordReplacement records that a target has appeared that may take the place of a
// failed one.
func (f *OutageForecast) RecordReplacement(now time.Time) { f.replacedAt = now }

// Cancel discards the ongoing outage: there was none.
func (f *OutageForecast) Cancel() { f.beganAt = time.Time{} }

// End records that the outage has ended.
func (f *OutageForecast) End(now time.Time) {
	length := now.Sub(f.beganAt)
	if f.beganAt.IsZero() || length < minOutageLength {
		f.beganAt = time.Time{}
		return
	}
	f.beganAt = time.Time{}
	if f.length == 0 {
		f.length = length
		return
	}
	f.length += time.Duration(outageLengthWeight * float64(length-f.length))
}

// IsLearned reports whether the length of a former outage is known.
func (f *OutageForecast) IsLearned() bool { return f.length > 0 }

// Remaining returns how much longer the ongoing outage is expected to last.
func (f *OutageForecast) Remaining(now time.Time) time.Duration {
	expected := f.length
	if expected == 0 {
		expected = firstOutageLength
	}
	remaining := expected - now.Sub(f.beganAt)
	if !f.replacedAt.IsZero() {
		remaining = min(remaining, replacedOutageRemaining-now.Sub(f.replacedAt))
	}
	return max(minOutageRemaining, remaining)
}
