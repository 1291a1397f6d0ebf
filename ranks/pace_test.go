package ranks

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a switch that waits for a fixed number of steps: with steps of a
// second, as behind a slow rank, the next map came four seconds after all ranks had
// been armed.
func TestLeadStepsFollowStepTime(t *testing.T) {
	for _, c := range []struct {
		stepTime        time.Duration
		want, wantLossy uint64
	}{
		{10 * time.Millisecond, 7, maxLeadSteps},
		{50 * time.Millisecond, 2, 6},
		{190 * time.Millisecond, 1, 2},
		{time.Second, 1, 1},
	} {
		t.Run(c.stepTime.String(), func(t *testing.T) {
			var p stepPace
			start := time.Now()
			for elapsed := time.Duration(0); elapsed <= 5*time.Second; elapsed += roundInterval {
				p.observe(1, uint64(elapsed/c.stepTime), start.Add(elapsed))
			}
			require.Equal(t, c.want, p.leadSteps(leadTime))
			require.Equal(t, c.wantLossy, p.leadSteps(lossyLeadTime))
		})
	}
}

// Guards against a step time of a former epoch, or of before the pace changed.
func TestStepTimeForgets(t *testing.T) {
	var p stepPace
	now := time.Now()
	observe := func(epoch uint64, steps int, stepTime time.Duration) {
		for i := range steps {
			now = now.Add(stepTime)
			p.observe(epoch, uint64(i), now)
		}
	}
	require.Zero(t, p.stepTime())
	require.EqualValues(t, maxLeadSteps, p.leadSteps(leadTime))
	observe(1, 20, time.Second)
	require.Equal(t, time.Second, p.stepTime())
	observe(2, 1, 50*time.Millisecond)
	require.Zero(t, p.stepTime())
	observe(2, 40, 50*time.Millisecond)
	require.Equal(t, 50*time.Millisecond, p.stepTime())
}

// Guards against a group that has not begun a step for a while and counts as fast.
func TestStepTimeOfStandingGroup(t *testing.T) {
	var p stepPace
	now := time.Now()
	for range 20 {
		now = now.Add(roundInterval)
		p.observe(1, 7, now)
	}
	require.GreaterOrEqual(t, p.stepTime(), paceWindow)
	require.EqualValues(t, 1, p.leadSteps(leadTime))
}
