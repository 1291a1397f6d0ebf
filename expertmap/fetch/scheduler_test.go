package fetch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against fetches above the rate of the weight store, a rebalance that
// starts before a cold start, and a fetch that never starts.
func TestRateAndPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 1000.0, 500.0
		begin := time.Unix(0, 0)
		now, latest := begin, begin // now may go back, latest does not
		s := New(rate, burst, now)
		type start struct {
			at    time.Duration
			bytes float64
		}
		var starts []start
		largest := burst
		waiting := map[Priority]int{}
		startDue := func() {
			if now.After(latest) {
				latest = now
			}
			for _, f := range s.Start(now) {
				for p := range f.Priority {
					require.Zero(t, waiting[p], "a fetch of priority %d overtook one of %d", f.Priority, p)
				}
				waiting[f.Priority]--
				starts = append(starts, start{latest.Sub(begin), float64(f.Bytes)})
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "add") {
				f := Fetch{Bytes: rapid.Int64Range(1, 1500).Draw(t, "bytes"), Priority: Priority(rapid.IntRange(0, 2).Draw(t, "priority"))}
				largest = max(largest, float64(f.Bytes))
				waiting[f.Priority]++
				s.Add(f)
			}
			startDue()
		}
		for range 200 {
			now = now.Add(s.UntilNextStart())
			startDue()
		}
		require.Zero(t, s.Queued())
		for i := range starts {
			sum := 0.0
			for _, x := range starts[i:] {
				sum += x.bytes
				span := (x.at - starts[i].at).Seconds()
				require.LessOrEqual(t, sum, largest+rate*span+1e-3)
			}
		}
	})
}

// Guards against fetches of an aborted switch that use up the rate of others.
func TestCancel(t *testing.T) {
	s := New(10, 0, time.Unix(0, 0))
	s.Add(Fetch{Group: "a", Bytes: 10, Priority: Rebalance})
	s.Add(Fetch{Group: "b", Bytes: 10, Priority: Rebalance})
	require.Equal(t, 1, s.Cancel("a", Rebalance))
	require.Equal(t, []Fetch{{Group: "b", Bytes: 10, Priority: Rebalance}}, s.Start(time.Unix(1, 0)))
}
