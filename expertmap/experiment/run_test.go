package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a planner that misses its goals: a mean skew of at most 1.05
// on smooth drift, no higher skew than packing from scratch, at most a quarter
// of its fetches, and no fetches on noise. The rules were tuned with seed 1
// only, so seed 100 checks that they hold for other traces.
func TestPlannerMeetsGoals(t *testing.T) {
	for _, seed := range []uint64{1, 100} {
		rows := map[string]Row{}
		for _, tr := range Traces(seed) {
			for _, p := range Policies() {
				if p.Name == "scratch" || p.Name == "planner" {
					rows[tr.Name+"/"+p.Name] = Run(tr, p, seed)
				}
			}
			planner, scratch := rows[tr.Name+"/planner"], rows[tr.Name+"/scratch"]
			t.Logf("seed %d, %s: skew %.4f against %.4f, %d fetches against %d",
				seed, tr.Name, planner.Mean, scratch.Mean, planner.Fetches, scratch.Fetches)
			require.LessOrEqual(t, planner.Mean, scratch.Mean, tr.Name)
			require.LessOrEqual(t, 4*planner.Fetches, scratch.Fetches, tr.Name)
		}
		require.LessOrEqual(t, rows["smooth daily drift/planner"].Mean, 1.05)
		require.Zero(t, rows["noise only/planner"].Fetches)
	}
}
