package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/skylarkstep/skylarkstep/admission/ramp"
)

var testRule = Rule{
	Ramp:    ramp.Rule{Initial: 2, Factor: 2, Interval: time.Second, Limit: 8},
	MaxWait: 500 * time.Millisecond,
}

// Guards against work that starts after its refusal, gets two decisions or none,
// runs beyond the limit, or waits longer than the rule and its deadline allow.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		c := NewController(testRule, 1, now)
		undecided, running, id := map[uint64]Work{}, map[uint64]bool{}, uint64(0)
		arrived := map[uint64]time.Time{}
		decide := func() {
			free := c.ramp.Limit(now) - len(running)
			for _, d := range c.Advance(now) {
				w, known := undecided[d.ID]
				require.True(t, known, "second decision, or decision after the work was cancelled")
				delete(undecided, d.ID)
				if !d.Start {
					require.Positive(t, d.RetryAfter)
					continue
				}
				free--
				require.GreaterOrEqual(t, free, 0, "more work started than the limit allows")
				require.False(t, now.After(w.Deadline), "started after its deadline")
				require.LessOrEqual(t, now.Sub(arrived[d.ID]), testRule.MaxWait)
				running[d.ID] = true
			}
			if len(undecided) > 0 {
				require.True(t, c.NextAdvance(now).After(now), "queued work without a time for the next Advance")
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				id++
				undecided[id] = Work{
					ID: id, Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"),
					Cost: rapid.IntRange(0, 40).Draw(t, "cost"), Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "deadline")) * time.Millisecond),
				}
				arrived[id] = now
				c.Submit(now, undecided[id])
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			case 3:
				// The call of Advance may come after the time of NextAdvance.
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "late")) * time.Millisecond)
				for _, done := range lowest(running) {
					delete(running, done)
					v := rapid.SampledFrom([]ramp.Verdict{ramp.Healthy, ramp.Healthy, ramp.Healthy, ramp.Overwhelmed}).Draw(t, "verdict")
					c.Done(now, done, Result{Verdict: v, ServiceTime: 50 * time.Millisecond})
				}
			case 4:
				for _, cancelled := range lowest(undecided) {
					require.True(t, c.Cancel(cancelled))
					delete(undecided, cancelled)
				}
			}
			decide()
			// Also calls Advance exactly at the time of NextAdvance.
			if next := c.NextAdvance(now); !next.IsZero() && rapid.Bool().Draw(t, "wake") {
				now = next
				decide()
			}
		}
	})
}

// lowest returns the lowest key of the map in a slice, which is empty for an empty
// map.
func lowest[V any](m map[uint64]V) []uint64 {
	var out []uint64
	for k := range m {
		if len(out) == 0 || k < out[0] {
			out = []uint64{k}
		}
	}
	return out
}

// Guards against a Retry-After that makes refused callers retry at the same time.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	now := time.Unix(0, 0)
	c := NewController(testRule, 7, now)
	c.Submit(now, Work{ID: 1, Cost: 10, Deadline: now.Add(time.Hour)})
	c.Advance(now)
	now = now.Add(time.Second)
	c.Done(now, 1, Result{Verdict: ramp.Healthy, ServiceTime: time.Second}) // 100 ms a unit
	for i := range uint64(200) {
		c.Submit(now, Work{ID: 2 + i, Cost: 1, Deadline: now.Add(time.Hour)})
	}
	var perSecond [11]int
	refused := 0
	for _, d := range c.Advance(now) {
		if !d.Start {
			refused++
			perSecond[d.RetryAfter/time.Second]++
		}
	}
	require.Greater(t, refused, 180)
	// Two slots serve 20 units a second, so 180 callers need 9 seconds.
	for s, n := range perSecond[:9] {
		assert.Less(t, n, refused/3, "second %d", s)
	}
	assert.Positive(t, perSecond[5]+perSecond[6]+perSecond[7])
}
