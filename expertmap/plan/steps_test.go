package plan

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const stepSets, stepRanks, stepExperts = 16, 24, 96

// stepLimits are those of a group in which copying takes long.
var stepLimits = Limits{SlotsPerRank: 5, NewPerRank: 2, CopyTime: 76 * time.Millisecond, SwitchTime: 200 * time.Millisecond}

// skewedLoads returns loads of which few experts have most.
func skewedLoads(rng *rand.Rand) [][]float64 {
	loads := make([][]float64, stepSets)
	for s := range loads {
		loads[s] = make([]float64, stepExperts)
		for i, e := range rng.Perm(stepExperts) {
			loads[s][e] = 10_000 * math.Pow(float64(i+1), -0.8)
		}
	}
	return loads
}

// changeLoads gives half of the experts another load.
func changeLoads(loads [][]float64, rng *rand.Rand) {
	for s, next := range skewedLoads(rng) {
		for e := range next {
			if rng.IntN(2) == 0 {
				loads[s][e] = next[e]
			}
		}
	}
}

func initialMap() [][][]int {
	m := make([][][]int, stepSets)
	for s := range m {
		m[s] = roundRobinPlacement(stepRanks, stepExperts)
	}
	return m
}

// newStepTracker returns a tracker that knows loads.
func newStepTracker(loads [][]float64) *Tracker {
	t := NewTracker(stepSets, stepExperts, DefaultTrackerRules)
	t.activations = loads
	return t
}

// playShifts plays shifts of the load in a group that switches to each proposed map after
// the time that its copies take. It returns the mean over time of the maximum rank load
// and the mean time from a plan for a shift until that is below 1.6.
func playShifts(seed uint64, limits Limits) (meanLoad float64, recovery time.Duration) {
	const shifts, interval = 8, 3100 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 9))
	loads := skewedLoads(rng)
	current := initialMap()
	total := time.Duration(0)
	for range shifts {
		tr := newStepTracker(loads)
		left, sinceShift, recovered := interval, time.Duration(0), time.Duration(0)
		load := func() float64 { return tr.Imbalance(current, limits) }
		spend := func(d time.Duration) {
			span := min(left, d)
			meanLoad += load() * span.Seconds()
			left, sinceShift, total = left-span, sinceShift+span, total+span
		}
		for left > 0 {
			if recovered == 0 && load() < 1.6 {
				recovered = sinceShift
			}
			p, ok := tr.Propose(current, limits, time.Unix(1000, 0))
			if !ok {
				spend(left)
				break
			}
			mostCopies := 0
			for r := range stepRanks {
				n := 0
				for s := range current {
					n += Placement{current[s][r]}.Copies(Placement{p.Map[s][r]})
				}
				mostCopies = max(mostCopies, n)
			}
			spend(stepLimits.stepTime(mostCopies))
			current = p.Map
		}
		if recovered == 0 {
			recovered = interval
		}
		recovery += recovered / shifts
		changeLoads(loads, rng)
	}
	return meanLoad / total.Seconds(), recovery
}

// Guards against a group that waits for the copies of a whole map after each shift of its
// load: most of the time it would run with a map that does not fit.
func TestStepsShortenTheTimeAfterAShift(t *testing.T) {
	once := stepLimits
	once.CopyTime, once.SwitchTime = 0, 0
	for seed := range uint64(3) {
		before, recoveryBefore := playShifts(seed, once)
		after, recovery := playShifts(seed, stepLimits)
		t.Logf("seed %d: mean load %.2f -> %.2f, time after a shift %v -> %v", seed, before, after, recoveryBefore, recovery)
		require.Less(t, recovery, recoveryBefore/2)
		require.Less(t, after, 0.85*before)
	}
}

// Guards against a step that exceeds the slots, the new experts of a rank or the copies of
// the step, and against one that loses an expert.
func TestStepKeepsLimits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 9))
	loads := skewedLoads(rng)
	tr := newStepTracker(loads)
	current := initialMap()
	for range 4 {
		for _, maxCopies := range []int{1, 3, 9, stepSets * stepLimits.NewPerRank} {
			p := tr.propose(current, stepLimits, maxCopies)
			require.LessOrEqual(t, p.mostCopies, maxCopies)
			for r := range stepRanks {
				copies := 0
				for s := range current {
					n := Placement{current[s][r]}.Copies(Placement{p.Map[s][r]})
					require.LessOrEqual(t, n, stepLimits.NewPerRank)
					require.LessOrEqual(t, len(p.Map[s][r]), stepLimits.SlotsPerRank)
					copies += n
				}
				require.LessOrEqual(t, copies, maxCopies)
			}
			for s := range p.Map {
				held := map[int]bool{}
				for _, e := range slices.Concat(p.Map[s]...) {
					held[e] = true
				}
				require.Len(t, held, stepExperts)
			}
			require.LessOrEqual(t, p.PlannedMaxRankLoad, p.MaxRankLoad)
			current = p.Map
		}
		changeLoads(loads, rng)
	}
}

// Guards against several small steps where the copies of the whole change take no longer
// than a switch.
func TestQuickCopiesAreMadeInOneStep(t *testing.T) {
	tr := newStepTracker(skewedLoads(rand.New(rand.NewPCG(1, 9))))
	limits := stepLimits
	limits.CopyTime = 2 * time.Millisecond
	p, ok := tr.Propose(initialMap(), limits, time.Unix(1000, 0))
	require.True(t, ok)
	full := tr.propose(initialMap(), limits, stepSets*limits.NewPerRank)
	require.Equal(t, full.Copies, p.Copies)
}

// Guards against a map that is planned for a mixture of the loads before and after a shift:
// its copies delayed the map for the new load by a second.
func TestNoPlanWhileTheLoadShifts(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 9))
	before, after := skewedLoads(rng), skewedLoads(rng)
	tr := NewTracker(stepSets, stepExperts, DefaultTrackerRules)
	now := time.Unix(1000, 0)
	counts := make([]uint64, stepSets*stepExperts)
	observe := func(loads [][]float64, share float64) {
		for s := range loads {
			for e, n := range loads[s] {
				counts[s*stepExperts+e] += uint64(share * n)
			}
		}
		tr.Observe([]Sample{{StartedAtMs: 1, Counts: slices.Clone(counts)}}, now)
		now = now.Add(150 * time.Millisecond)
	}
	for range 10 {
		observe(before, 1)
	}
	current := initialMap()
	for range 5 { // until nothing is left to gain
		p, ok := tr.Propose(current, Limits{SlotsPerRank: 5, NewPerRank: 2}, now)
		if !ok {
			break
		}
		current = p.Map
	}
	observe(before, 0.5)
	observe(after, 0.5) // a mixture
	require.True(t, tr.Shifting())
	_, ok := tr.Propose(current, stepLimits, now)
	require.False(t, ok)
	observe(after, 1)
	require.False(t, tr.Shifting())
	p, ok := tr.Propose(current, stepLimits, now)
	require.True(t, ok)
	// The estimate holds nothing of the load before.
	require.InDelta(t, 0, shareDistance(tr.activations, after), 0.01)
	require.Less(t, p.PlannedMaxRankLoad, p.MaxRankLoad)
}
