package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// roundRobinPlacement returns a placement that leaves slots empty.
func roundRobinPlacement(ranks, experts int) Placement {
	p := make(Placement, ranks)
	for e := range experts {
		p[e%ranks] = append(p[e%ranks], e)
	}
	return p
}

func skewedLoad(experts int, seed uint64) []float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	load := make([]float64, experts)
	for e := range load {
		load[e] = math.Exp(1.2 * rng.NormFloat64())
	}
	return load
}

// Guards against a change that loses an expert, exceeds the slots or the new
// experts of a rank, or does not lower the maximum rank load to near the mean.
func TestRebalanceKeepsLimits(t *testing.T) {
	l := Limits{SlotsPerRank: 8, NewPerRank: 3}
	for seed := range uint64(30) {
		load := skewedLoad(72, seed)
		current := roundRobinPlacement(12, 72)
		next := Rebalance(current, load, l, 0)
		held := map[int]bool{}
		for r := range next {
			require.LessOrEqual(t, len(next[r]), l.SlotsPerRank)
			for i, e := range next[r] {
				held[e] = true
				require.NotContains(t, next[r][i+1:], e)
			}
			newExperts := 0
			for _, e := range next[r] {
				if !slices.Contains(current[r], e) {
					newExperts++
				}
			}
			require.LessOrEqual(t, newExperts, l.NewPerRank)
		}
		require.Len(t, held, 72)
		require.Less(t, next.MaxRankLoad(load, l), 1.15, "seed %d: maximum rank load before %.2f", seed, current.MaxRankLoad(load, l))
	}
}

// Guards against a slow rank that keeps its share of the load, so that every
// step of the group takes as long as that rank.
func TestRebalanceRelievesSlowRank(t *testing.T) {
	l := Limits{SlotsPerRank: 8, NewPerRank: 3, Slowdowns: []float64{1, 8, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}}
	load := skewedLoad(72, 9)
	p := roundRobinPlacement(12, 72)
	before := p.MaxRankLoad(load, l)
	for range 3 {
		p = Rebalance(p, load, l, 0)
	}
	require.Less(t, p.MaxRankLoad(load, l), before/4)
}

// Guards against copies that gain less than they cost.
func TestRebalanceStopsAtPrice(t *testing.T) {
	load := skewedLoad(72, 4)
	current := Rebalance(roundRobinPlacement(12, 72), load, Limits{SlotsPerRank: 8, NewPerRank: 3}, 0)
	next := Rebalance(current, load, Limits{SlotsPerRank: 8, NewPerRank: 3}, 0.5)
	require.Zero(t, current.Copies(next))
}

func BenchmarkRebalance(b *testing.B) {
	for _, c := range []struct {
		ranks, experts int
		limits         Limits
	}{
		{12, 72, Limits{SlotsPerRank: 8, NewPerRank: 3}},
		{72, 144, Limits{SlotsPerRank: 3, NewPerRank: 1}},
		{129, 258, Limits{SlotsPerRank: 3, NewPerRank: 1}},
	} {
		b.Run(fmt.Sprintf("ranks=%d/experts=%d", c.ranks, c.experts), func(b *testing.B) {
			for b.Loop() {
				Rebalance(roundRobinPlacement(c.ranks, c.experts), skewedLoad(c.experts, 3), c.limits, DefaultTrackerRules.MinGainPerCopy)
			}
		})
	}
}
