package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func randomLoads(s Shape, seed uint64) [][]float64 {
	rng := rand.New(rand.NewPCG(seed, 3))
	loads := make([][]float64, s.Layers)
	for l := range loads {
		loads[l] = make([]float64, s.Experts)
		for e := range loads[l] {
			loads[l][e] = math.Exp(0.6*rng.NormFloat64()) * 1e4
		}
	}
	return loads
}

// Guards against a map that loses an expert or has a higher skew than before.
func TestPlanKeepsEveryExpert(t *testing.T) {
	s := Shape{Ranks: 8, Experts: 32, Layers: 3, SlotsPerRank: 5}
	for seed := range uint64(50) {
		loads := randomLoads(s, seed)
		p := NewPlanner(s, DefaultPlannerRules)
		p.Observe(loads)
		current := RoundRobin(s)
		next, changed := p.Plan(current)
		require.True(t, changed)
		require.Less(t, Skew(s, next, loads), Skew(s, current, loads))
		require.Positive(t, current.Fetches(next, s))
		for _, l := range next {
			require.Len(t, l, s.Ranks*s.SlotsPerRank)
			seen := map[int]bool{}
			for _, e := range l {
				seen[e] = true
			}
			require.Len(t, seen, s.Experts)
		}
	}
}

// BenchmarkPlan plans from a map that was packed for loads that have drifted
// since.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []Shape{
		{Ranks: 16, Experts: 128, Layers: 48, SlotsPerRank: 9},
		{Ranks: 32, Experts: 128, Layers: 48, SlotsPerRank: 5},
		{Ranks: 64, Experts: 128, Layers: 12, SlotsPerRank: 3},
		{Ranks: 64, Experts: 128, Layers: 24, SlotsPerRank: 3},
		{Ranks: 64, Experts: 128, Layers: 48, SlotsPerRank: 3},
		{Ranks: 64, Experts: 256, Layers: 48, SlotsPerRank: 5},
	} {
		b.Run(fmt.Sprintf("ranks=%d/experts=%d/layers=%d", c.Ranks, c.Experts, c.Layers), func(b *testing.B) {
			before, after := randomLoads(c, 1), randomLoads(c, 2)
			current := FromScratch(c, before)
			for l := range after {
				for e := range after[l] {
					after[l][e] = 0.95*before[l][e] + 0.05*after[l][e]
				}
			}
			for b.Loop() {
				p := NewPlanner(c, DefaultPlannerRules)
				p.Observe(after)
				p.Plan(current)
			}
		})
	}
}
