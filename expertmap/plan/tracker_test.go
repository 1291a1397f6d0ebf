package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against expert copies for a set with too few activations, which say
// nothing about its load: the number was checked in the first set only.
func TestEverySetNeedsActivations(t *testing.T) {
	const experts = 8
	current := [][][]int{{{0, 1, 2, 3}, {4, 5, 6, 7}}, {{0, 1, 2, 3}, {4, 5, 6, 7}}}
	limits := Limits{SlotsPerRank: 6, NewPerRank: 2}
	for _, c := range []struct {
		second  uint64 // activations of one expert in the second set
		propose bool
	}{{10, false}, {5000, true}} {
		tracker := NewTracker(2, experts, DefaultTrackerRules)
		now := time.Unix(0, 0)
		counts := make([]uint64, 2*experts)
		tracker.Observe([]Sample{{Counts: append([]uint64(nil), counts...)}}, now)
		for e := range experts {
			counts[e] = 1000 // even
		}
		counts[experts] = c.second
		tracker.Observe([]Sample{{Counts: counts}}, now.Add(time.Second))
		_, ok := tracker.Propose(current, limits, now.Add(2*time.Second))
		require.Equal(t, c.propose, ok, "%d activations in the second set", c.second)
	}
}

// Guards against a shift that is detected from a few activations of one set: all
// earlier ones would be discarded.
func TestShiftNeedsActivationsOfEverySet(t *testing.T) {
	tracker := NewTracker(2, 2, DefaultTrackerRules)
	now := time.Unix(0, 0)
	tracker.Observe([]Sample{{Counts: []uint64{0, 0, 0, 0}}}, now)
	tracker.Observe([]Sample{{Counts: []uint64{9000, 9000, 9000, 9000}}}, now.Add(time.Second))
	tracker.Observe([]Sample{{Counts: []uint64{12000, 12000, 9001, 9000}}}, now.Add(2*time.Second))
	require.Greater(t, total(tracker.activations[1]), 9000.0, "the earlier activations of the second set are gone")
}
