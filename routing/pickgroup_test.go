package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against instances that all pick the group with the most room until the next
// loads, and against a group with room that gets nothing.
func TestGroupsArePickedByTheirRoom(t *testing.T) {
	groups := []GroupCandidate{{Room: 60, Limit: 200}, {Room: 30, Limit: 200}, {Room: -50, Limit: 200}}
	rng := rand.New(rand.NewPCG(1, 2))
	picked := make([]int, len(groups))
	const draws = 10_000
	for range draws {
		picked[PickGroup(groups, rng.Float64())]++
	}
	require.InDelta(t, 2, float64(picked[0])/float64(picked[1]), 0.2)
	require.Positive(t, picked[2])
	require.Less(t, picked[2], draws/10)
	require.Equal(t, -1, PickGroup(nil, 0.5))
}

// Guards against requests that cross data centres although the local group has as much
// room, and against a local group that is filled while another one has far more.
func TestLocalGroupIsPreferred(t *testing.T) {
	share := func(localRoom float64) float64 {
		groups := []GroupCandidate{{Room: localRoom, Limit: 200, Local: true}, {Room: 50, Limit: 200}}
		local := 0
		for k := range 1000 {
			if PickGroup(groups, float64(k)/1000) == 0 {
				local++
			}
		}
		return float64(local) / 1000
	}
	require.Greater(t, share(50), 0.5)
	require.Less(t, share(10), 0.3)
}

// Guards against targets that all instances pick at the same moment because its load is
// the lowest, and against a pick that ignores the loads.
func TestPickOfTwoSpreadsByLoad(t *testing.T) {
	candidates := make([]Candidate, 20)
	for i := range candidates {
		candidates[i] = Candidate{Load: 5, Slots: 10, Usable: true}
	}
	candidates[0].Load, candidates[1].Load = 0, 9
	rng := rand.New(rand.NewPCG(1, 2))
	picked := make([]int, len(candidates))
	for range 2000 {
		picked[PickOfTwo(candidates, rng.IntN)]++
	}
	require.Greater(t, picked[0], 150)
	require.Less(t, picked[0], 300)
	require.Less(t, picked[1], 30)
}

// Guards against new connections and traffic between data centres where a local target
// with a connection has about the same load, and against a near target that is filled
// while others are idle.
func TestPickOfTwoPrefersNearTargets(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	near := func(load float64) (n int) {
		candidates := []Candidate{{Load: load, Slots: 10, Usable: true, Local: true, Connected: true}}
		for range 9 {
			candidates = append(candidates, Candidate{Load: 5, Slots: 10, Usable: true})
		}
		for range 1000 {
			if PickOfTwo(candidates, rng.IntN) == 0 {
				n++
			}
		}
		return n
	}
	require.Equal(t, 1000, near(5))
	require.Less(t, near(8), 200)
}

// Guards against a target that is full, or may not be used, and is picked all the same.
func TestPickOfTwoLeavesUnusableTargets(t *testing.T) {
	candidates := []Candidate{{Load: 20, Slots: 10, Usable: true}, {Slots: 10}, {Load: 3, Slots: 10, Usable: true}}
	for range 50 {
		require.Equal(t, 2, PickOfTwo(candidates, rand.IntN))
	}
	candidates[2].Usable = false
	require.Equal(t, -1, PickOfTwo(candidates, rand.IntN))
}
