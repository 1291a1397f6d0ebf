package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a rest that never begins, never ends, or ends early.
func TestRest(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		rests            []time.Duration
		resting, resumes float64
	}{
		"seconds":                    {[]time.Duration{2 * time.Second}, 1.99, 2.21},
		"a fraction":                 {[]time.Duration{100 * time.Millisecond}, 0.09, 0.12},
		"not valid":                  {[]time.Duration{-1}, 0.99, 1.11},
		"an hour":                    {[]time.Duration{time.Hour}, 59, 60.6},
		"a shorter one does not end": {[]time.Duration{2 * time.Second, time.Millisecond}, 1.99, 2.21},
		"a longer one prolongs":      {[]time.Duration{time.Second, 3 * time.Second}, 2.99, 3.31},
	} {
		t.Run(name, func(t *testing.T) {
			var r Rest
			for _, d := range c.rests {
				r.Begin(d, start)
			}
			require.False(t, r.Allows(at(c.resting)))
			require.True(t, r.Allows(at(c.resumes)))
		})
	}
	var none Rest
	none.Begin(0, start)
	require.True(t, none.Allows(start))
}

// Guards against a target that gets many requests at the end of its rest, and
// against one that is tested for ever after it has accepted one.
func TestFirstRequestAfterRestIsATest(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Rest
	r.Begin(time.Second, now)
	r.RecordAccepted(now.Add(-time.Millisecond)) // sent before the rest
	now = r.Until()
	require.True(t, r.Allows(now))
	r.RecordRequest(now)
	require.False(t, r.Allows(now.Add(100*time.Millisecond)), "a second request before the first was accepted")
	require.True(t, r.Allows(now.Add(restTestTimeout+time.Millisecond)), "the first request is lost and the target gets none for ever")
	r.RecordAccepted(now)
	require.True(t, r.Allows(now.Add(101*time.Millisecond)))
}
