package concurrency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	testSlots    = 10
	testGapGoal  = 150 * time.Millisecond
	testInterval = 150 * time.Millisecond
	// evenImbalance and shiftedImbalance are loads of the most loaded rank with a map that
	// fits and after a shift of the expert load.
	evenImbalance, shiftedImbalance = 1.25, 2.7
)

func testModel(t *testing.T) Model {
	m, ok := NewModel(&routing.EngineTimes{
		StepsPerPass: 5, Step: 4550 * time.Microsecond, PerRequest: 1090 * time.Microsecond, UsualPrompt: 800, UsualResponse: 100, ExpertShare: 0.85,
	})
	require.True(t, ok)
	return m
}

// group makes passes as its model says, times a factor that the model does not know.
type group struct {
	model    Model
	requests float64
	factor   float64
	passes   float64
	now      time.Time
}

// run reports to a limiter for some time with an imbalance.
func (g *group) run(l *Limiter, d time.Duration, imbalance float64) {
	pace := g.model.Pace(imbalance, 1)
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(testInterval) {
		l.Observe(Observation{Pace: pace, RequestsPerRank: g.requests, Passes: uint64(g.passes)}, g.now)
		g.passes += float64(testInterval) / (g.factor * float64(g.model.PassTime(g.requests, pace)))
	}
}

// runShifts plays shifts of the expert load, each of which lasts until the map fits.
func (g *group) runShifts(l *Limiter, shifts int, mapTime, rest time.Duration) {
	for range shifts {
		g.run(l, mapTime, shiftedImbalance)
		g.run(l, rest, evenImbalance)
	}
}

func newGroup(m Model) *group {
	return &group{model: m, requests: 6, factor: 1, now: time.Unix(1000, 0)}
}

// Guards against a limit on a group whose pauses keep the goal with all slots in use:
// requests would be refused for nothing.
func TestCalmGroupUsesAllSlots(t *testing.T) {
	m := testModel(t)
	l, g := NewLimiter(m), newGroup(m)
	g.run(l, 2*testInterval, evenImbalance)
	require.Equal(t, maxSlotShare*testSlots, l.Limit(testGapGoal, testSlots, g.now))
	g.run(l, 20*time.Second, evenImbalance)
	require.Equal(t, maxSlotShare*testSlots, l.Limit(testGapGoal, testSlots, g.now))
}

// Guards against a new coordinator that takes all requests at once, although the former
// one knew that the group has less room.
func TestLimitBeforeThePaceIsKnown(t *testing.T) {
	m := testModel(t)
	l, now := NewLimiter(m), time.Unix(1000, 0)
	require.Equal(t, maxSlotShare*testSlots, l.Limit(testGapGoal, testSlots, now))
	l.Inherit(7, now)
	require.Equal(t, 7.0, l.Limit(testGapGoal, testSlots, now))
}

// Guards against a limit by the imbalance that reports show while a shift is found: it
// rises step by step, but streams pause from the first pass on.
func TestSlowPaceHoldsBeforeItIsReported(t *testing.T) {
	m := testModel(t)
	l, g := NewLimiter(m), newGroup(m)
	for _, imbalance := range []float64{evenImbalance, evenImbalance, evenImbalance, evenImbalance, 1.6, 2, shiftedImbalance, evenImbalance} {
		g.run(l, testInterval, imbalance)
	}
	even, shifted := m.Pace(evenImbalance, 1), m.Pace(shiftedImbalance, 1)
	var remembered []float64
	for _, s := range l.samples {
		remembered = append(remembered, s.pace)
	}
	require.Equal(t, even, remembered[0], "long before the shift")
	require.Equal(t, []float64{shifted, shifted, shifted, shifted, even}, remembered[3:])
}

// Guards against a limit for back ends whose routes have no goal for pauses.
func TestNoLimitWithoutGoal(t *testing.T) {
	m := testModel(t)
	l, g := NewLimiter(m), newGroup(m)
	g.runShifts(l, 5, 1500*time.Millisecond, 1500*time.Millisecond)
	require.Equal(t, maxSlotShare*testSlots, l.Limit(0, testSlots, g.now))
}

// Guards against a group that takes as many requests between two shifts as fit with the
// present map: at the next shift all of them pause for too long.
func TestLimitCoversTheNextShift(t *testing.T) {
	m := testModel(t)
	l, g := NewLimiter(m), newGroup(m)
	g.runShifts(l, 4, 1500*time.Millisecond, 1500*time.Millisecond)
	limit := l.Limit(testGapGoal, testSlots, g.now)
	require.LessOrEqual(t, m.PassTime(limit, m.Pace(shiftedImbalance, 1)), testGapGoal)
	require.GreaterOrEqual(t, limit, minSlotShare*testSlots)
}

// Guards against a limit that refuses much for the few streams that meet a rare shift.
func TestRareShortShiftsDoNotLimit(t *testing.T) {
	m := testModel(t)
	l, g := NewLimiter(m), newGroup(m)
	g.runShifts(l, 3, 300*time.Millisecond, 9*time.Second)
	require.Greater(t, l.Limit(testGapGoal, testSlots, g.now), 0.9*testSlots)
}

// Guards against a limit that outlives its cause.
func TestLimitRisesAfterTheLastShift(t *testing.T) {
	m := testModel(t)
	l, g := NewLimiter(m), newGroup(m)
	g.runShifts(l, 4, 1500*time.Millisecond, 1500*time.Millisecond)
	require.Less(t, l.Limit(testGapGoal, testSlots, g.now), maxSlotShare*testSlots)
	g.run(l, historyTime+time.Second, evenImbalance)
	require.Equal(t, maxSlotShare*testSlots, l.Limit(testGapGoal, testSlots, g.now))
}

// Guards against a limit that jumps up with the first good seconds: the group would be
// full of streams when the load shifts again.
func TestLimitRisesStepByStep(t *testing.T) {
	m := testModel(t)
	l, g := NewLimiter(m), newGroup(m)
	g.runShifts(l, 4, 1500*time.Millisecond, 1500*time.Millisecond)
	before := l.Limit(testGapGoal, testSlots, g.now)
	l.samples = nil
	g.run(l, time.Second, evenImbalance)
	after := l.Limit(testGapGoal, testSlots, g.now)
	require.Greater(t, after, before)
	require.LessOrEqual(t, after, before*(1+maxRisePerS*(time.Second+2*testInterval).Seconds()))
}

// Guards against a limit that refuses most requests where no number of them keeps the
// goal, for instance while a rank is many times slower.
func TestLimitKeepsHalfOfTheSlots(t *testing.T) {
	m := testModel(t)
	l, g := NewLimiter(m), newGroup(m)
	g.run(l, 5*time.Second, 30)
	require.GreaterOrEqual(t, l.Limit(testGapGoal, testSlots, g.now), minSlotShare*testSlots)
}

// Guards against a limit by a model that does not fit the group: engines may be faster or
// slower than their configuration says.
func TestPassesCorrectTheModel(t *testing.T) {
	m := testModel(t)
	limits := map[float64]float64{}
	for _, factor := range []float64{0.8, 1, 1.3} {
		l, g := NewLimiter(m), newGroup(m)
		g.factor = factor
		g.runShifts(l, 10, 1500*time.Millisecond, 1500*time.Millisecond)
		require.InDelta(t, factor*float64(m.PassTime(6, m.Pace(evenImbalance, 1))), float64(l.PassTime(6)), 0.1*float64(l.PassTime(6)), "factor %v", factor)
		limits[factor] = l.Limit(testGapGoal, testSlots, g.now)
	}
	require.Greater(t, limits[0.8], limits[1])
	require.Greater(t, limits[1], limits[1.3])
}

// Guards against a history of idle times, in which the pace says nothing.
func TestIdleTimesAreNotRemembered(t *testing.T) {
	m := testModel(t)
	l, g := NewLimiter(m), newGroup(m)
	g.requests = 0
	g.run(l, 20*time.Second, 1)
	g.requests = 6
	g.runShifts(l, 2, 1500*time.Millisecond, 1500*time.Millisecond)
	require.Less(t, l.Limit(testGapGoal, testSlots, g.now), maxSlotShare*testSlots)
}

// Guards against counts of a restarted group, or of a former incarnation, that make the
// model believe in passes without end.
func TestFewerPassesThanBeforeCorrectNothing(t *testing.T) {
	m := testModel(t)
	l, g := NewLimiter(m), newGroup(m)
	g.run(l, 5*time.Second, evenImbalance)
	before := l.PassTime(6)
	g.passes = 0
	g.run(l, testInterval, evenImbalance)
	require.InDelta(t, float64(before), float64(l.PassTime(6)), 0.02*float64(before))
}

// Guards against a model of an engine whose times are not configured.
func TestModelNeedsTimes(t *testing.T) {
	for _, e := range []*routing.EngineTimes{nil, {}, {StepsPerPass: 5}, {StepsPerPass: 5, Step: time.Millisecond}} {
		_, ok := NewModel(e)
		require.False(t, ok)
	}
}
