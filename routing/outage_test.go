package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers that return before an outage can be over: its
// end is foreseen from the former outages.
func TestOutageForecastLearnsLength(t *testing.T) {
	var f OutageForecast
	now := time.Unix(100, 0)
	outage := func(length time.Duration) {
		f.Begin(now)
		now = now.Add(length)
		f.End(now)
		now = now.Add(10 * time.Second)
	}
	require.False(t, f.IsLearned())
	f.Begin(now)
	require.Equal(t, firstOutageLength, f.Remaining(now))
	f.Cancel()
	outage(100 * time.Millisecond) // too short to be one of a rank group
	require.False(t, f.IsLearned())
	outage(4 * time.Second)
	require.True(t, f.IsLearned())
	f.Begin(now)
	require.Equal(t, 4*time.Second, f.Remaining(now))
	require.Equal(t, time.Second, f.Remaining(now.Add(3*time.Second)))
	require.Equal(t, minOutageRemaining, f.Remaining(now.Add(9*time.Second)))
	f.RecordReplacement(now.Add(time.Second))
	require.Equal(t, replacedOutageRemaining, f.Remaining(now.Add(time.Second)))
	f.Cancel()
	outage(6 * time.Second)
	f.Begin(now)
	require.Equal(t, 5*time.Second, f.Remaining(now))
}

// Replays callers that arrive during outages of four seconds and return once, after
// the Retry-After, for which they wait 2.7 s at most; each bears a wait of 1.6 s.
// Guards against the fixed Retry-After that the forecast replaced, with which most of
// the callers of the first half returned before the end.
func TestForecastBringsCallersBackInTime(t *testing.T) {
	const (
		length, wait, longestReturn = 4 * time.Second, 1600 * time.Millisecond, 2700 * time.Millisecond
		arrivals                    = 40
	)
	served := func(retryAfter func(f *OutageForecast, now time.Time) time.Duration) int {
		var f OutageForecast
		n := 0
		for outage := range 2 {
			began := time.Unix(int64(100*outage), 0)
			end := began.Add(length)
			f.Begin(began)
			for i := range arrivals {
				at := began.Add(time.Duration(i) * length / arrivals)
				if end.Sub(at) > wait {
					at = at.Add(min(longestReturn, retryAfter(&f, at)))
				}
				if end.Sub(at) <= wait {
					n++
				}
			}
			f.End(end)
		}
		return n
	}
	fixed := served(func(*OutageForecast, time.Time) time.Duration { return time.Second })
	forecast := served(func(f *OutageForecast, now time.Time) time.Duration { return f.Remaining(now) })
	require.Equal(t, 2*arrivals, forecast)
	require.Less(t, fixed, 2*arrivals*3/4)
}
