package ramp

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testRule = Rule{Initial: 2, Factor: 1.5, Interval: time.Second, Limit: 64}

// runAtLimit starts and finishes n units of work while the limit is fully used.
func runAtLimit(r *Ramp, now time.Time, n int, s Sample) {
	for range n {
		s.Epoch = r.Start(r.UnpausedLimit())
		r.Finish(now, s)
	}
}

// Guards against a limit that grows with time alone. An idle target would reach
// the full limit, and its first burst would overload the engine.
func TestIdleTargetStaysCold(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(testRule, now)
	now = now.Add(time.Hour)
	runAtLimit(r, now, 1, Sample{Verdict: Healthy})
	assert.Equal(t, 2, r.Limit(now), "one completion is not enough")
	runAtLimit(r, now, 1, Sample{Verdict: Healthy})
	assert.Equal(t, 3, r.Limit(now), "one step, whatever the time")
	for range 20 {
		now = now.Add(testRule.Interval)
		e := r.Start(1)
		for range 100 {
			r.Finish(now, Sample{Epoch: e, Verdict: Healthy})
		}
	}
	assert.Equal(t, 3, r.Limit(now), "work that never used the full limit must not raise it")
}

// Guards against a target that keeps its limit although its engine must warm up
// again.
func TestRelapseRestartsTheRamp(t *testing.T) {
	for name, relapse := range map[string]func(*Ramp, time.Time){
		"overwhelmed":   func(r *Ramp, now time.Time) { runAtLimit(r, now, 1, Sample{Verdict: Overwhelmed}) },
		"engine failed": func(r *Ramp, now time.Time) { runAtLimit(r, now, relapseFailures, Sample{Verdict: Failed}) },
		"slow": func(r *Ramp, now time.Time) {
			runAtLimit(r, now, medianWindow, Sample{Verdict: Healthy, UnitTime: 10 * relapseFactor * time.Millisecond})
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			r := warmRamp(t, &now)
			running := r.Start(64)
			relapse(r, now)
			assert.Zero(t, r.Limit(now), "pause")
			now = now.Add(testRule.Interval)
			assert.Equal(t, 2, r.Limit(now))
			r.Finish(now, Sample{Epoch: running, Verdict: Overwhelmed})
			assert.Equal(t, 2, r.Limit(now), "work from before the relapse must not cause another one")
		})
	}
}

// Guards against a relapse caused by one failing request or one slow result.
func TestSingleFaultIsNoRelapse(t *testing.T) {
	now := time.Unix(0, 0)
	r := warmRamp(t, &now)
	for range 50 {
		runAtLimit(r, now, 1, Sample{Verdict: Failed})
		runAtLimit(r, now, 1, Sample{Verdict: Healthy, UnitTime: time.Second})
		runAtLimit(r, now, 6, Sample{Verdict: Healthy, UnitTime: time.Millisecond})
	}
	assert.Equal(t, 64, r.Limit(now))
}

// Guards against a fast-failing engine that consumes requests at a high rate.
func TestPauseDoubles(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(testRule, now)
	for i := range 8 {
		runAtLimit(r, now, 1, Sample{Verdict: Overwhelmed})
		pause := r.PausedUntil().Sub(now)
		assert.Equal(t, testRule.Interval/pauseDivisor<<min(i, maxPauseDoublings), pause)
		now = r.PausedUntil()
	}
}

// Guards against a step that exceeds the factor or comes before the interval has
// passed.
func TestGrowthIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		rule := testRule
		rule.Initial = rapid.IntRange(1, 20).Draw(t, "initial")
		rule.Factor = rapid.Float64Range(1.01, 4).Draw(t, "factor")
		r := New(rule, now)
		grown := now
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			before := r.UnpausedLimit()
			v := rapid.SampledFrom([]Verdict{Healthy, Healthy, Healthy, Healthy, Healthy, Neutral, Failed, Overwhelmed}).Draw(t, "verdict")
			runAtLimit(r, now, rapid.IntRange(1, 9).Draw(t, "n"), Sample{Verdict: v, UnitTime: time.Millisecond})
			if after := r.UnpausedLimit(); after > before {
				require.GreaterOrEqual(t, now.Sub(grown), rule.Interval)
				require.LessOrEqual(t, float64(after), max(float64(before)+1, float64(before+1)*rule.Factor))
				grown = now
			} else if after < before {
				grown = now
			}
			require.LessOrEqual(t, r.UnpausedLimit(), rule.Limit)
		}
	})
}

// Guards against a rule change that needs a restart or makes the limit jump.
func TestRuleChange(t *testing.T) {
	now := time.Unix(0, 0)
	r := warmRamp(t, &now)
	lower := testRule
	lower.Limit = 10
	r.SetRule(lower)
	assert.Equal(t, 10, r.Limit(now))
	assert.False(t, r.Warming())
	r.SetRule(testRule)
	assert.Equal(t, 10, r.Limit(now))
	assert.True(t, r.Warming())
}

// warmRamp returns a ramp at the full limit and advances now by the time needed.
func warmRamp(t *testing.T, now *time.Time) *Ramp {
	r := New(testRule, *now)
	for range 12 {
		*now = now.Add(testRule.Interval)
		runAtLimit(r, *now, 64, Sample{Verdict: Healthy, UnitTime: time.Millisecond})
	}
	require.Equal(t, 64, r.Limit(*now))
	return r
}
