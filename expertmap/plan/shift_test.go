package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shiftLoad is a load whose experts change at once: a part of the choices moves to other
// experts, and a common part does not.
type shiftLoad struct {
	ranks, experts, slots, newPerRank int
	// shifting is the share of the choices that move to other experts at a shift.
	shifting float64
	// choices is the number of independent choices per second. The fewer there are, the
	// more the latest ones differ by chance.
	choices float64
}

// The loads are those of a large group, of whose load a shift moves a small part, and of
// a small group, whose shares vary by chance.
var shiftLoads = map[string]shiftLoad{
	"72 ranks": {ranks: 72, experts: 144, slots: 3, newPerRank: 1, shifting: 0.17, choices: 1.2e6},
	"16 ranks": {ranks: 16, experts: 64, slots: 5, newPerRank: 2, shifting: 0.3, choices: 4e4},
}

const (
	shiftPoll = 180 * time.Millisecond
	// activationsPerChoice is how many tokens choose the same expert together.
	activationsPerChoice = 10
	shiftEvery           = 3 * time.Second
	shiftPlayTime        = 12 * time.Second
	// reactionTime is the time after a shift in which the map may not fit yet.
	reactionTime = 800 * time.Millisecond
)

// expected returns the expected choices of each expert per second while the experts from
// hot on are popular.
func (l shiftLoad) expected(hot int) []float64 {
	load := make([]float64, l.experts)
	popular := l.experts / 12
	for e := range load {
		load[e] = l.choices * (1 - l.shifting) / float64(l.experts)
	}
	for i := range popular {
		load[(hot+i)%l.experts] += l.choices * l.shifting / float64(popular)
	}
	return load
}

// addChoices adds the activations of a poll interval.
func (l shiftLoad) addChoices(counts []uint64, hot int, rng *rand.Rand) {
	for e, perSecond := range l.expected(hot) {
		mean := perSecond * shiftPoll.Seconds()
		counts[e] += activationsPerChoice * uint64(max(0, mean+math.Sqrt(mean)*rng.NormFloat64()))
	}
}

// play runs a tracker. It returns the greatest rank load under the maps in use, relative
// to the mean, averaged over the time beyond reactionTime after each shift.
func (l shiftLoad) play(seed uint64, rules TrackerRules) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	tracker := NewTracker(1, l.experts, rules)
	limits := Limits{SlotsPerRank: l.slots, NewPerRank: l.newPerRank}
	current := [][][]int{roundRobinPlacement(l.ranks, l.experts)}
	counts := make([]uint64, l.experts)
	sum, n := 0.0, 0
	for at := time.Duration(0); at < shiftPlayTime; at += shiftPoll {
		shifts := int(at / shiftEvery)
		hot := shifts * l.experts / 3
		l.addChoices(counts, hot, rng)
		tracker.Observe([]Sample{{Counts: slices.Clone(counts)}}, time.Unix(0, 0).Add(at))
		if shifts > 0 && at%shiftEvery >= reactionTime {
			sum, n = sum+Placement(current[0]).MaxRankLoad(l.expected(hot), limits), n+1
		}
		if p, ok := tracker.Propose(current, limits, time.Unix(0, 0).Add(at)); ok {
			current = p.Map
			tracker.MapChanged(time.Unix(0, 0).Add(at))
		}
	}
	return sum / float64(n)
}

// Guards against a shift of the expert load that is not detected because it moves a
// small part of all activations: the map then follows an average of several loads, and
// the most loaded rank has almost three times the mean for good. The baseline is the
// fixed distance that was compared with before.
func TestShiftOfLargeGroupIsDetected(t *testing.T) {
	fixed := DefaultTrackerRules
	fixed.MinShiftDistance = fixed.ShiftDistance
	for name, l := range shiftLoads {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				before := l.play(seed, fixed)
				after := l.play(seed, DefaultTrackerRules)
				t.Logf("mean of the most loaded rank: fixed distance %.2f, by the usual distance %.2f", before, after)
				require.LessOrEqual(t, after, before+0.05)
				if l.ranks > 20 {
					require.Less(t, after, 0.85*before)
				}
			})
		}
	}
}

// Guards against chance that is taken for a shift: the earlier activations would be
// discarded again and again, and each map would follow the latest few requests.
func TestSteadyLoadIsNoShift(t *testing.T) {
	for name, l := range shiftLoads {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 1))
			tracker := NewTracker(1, l.experts, DefaultTrackerRules)
			counts := make([]uint64, l.experts)
			for at := time.Duration(0); at < shiftPlayTime; at += shiftPoll {
				l.addChoices(counts, 0, rng)
				tracker.Observe([]Sample{{Counts: append([]uint64(nil), counts...)}}, time.Unix(0, 0).Add(at))
			}
			perSecond := activationsPerChoice * l.choices
			require.Greater(t, tracker.Activations(), 4*perSecond, "earlier activations were discarded")
		})
	}
}
