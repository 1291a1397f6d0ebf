package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a planner that misses its goals: mean skew of 1.05 on smooth
// drift, no worse than packing from scratch, at most a quarter of its bytes,
// and no moves on noise. Seed 1 was used to set the rules, the other was not.
func TestPlannerMeetsGoals(t *testing.T) {
	for _, seed := range []uint64{1, 100} {
		rows := map[string]Row{}
		for _, tr := range Traces(seed) {
			for _, p := range Policies() {
				if p.Name == "scratch" || p.Name == "planner" {
					rows[tr.Name+"/"+p.Name] = Run(tr, p, seed)
				}
			}
			ours, scratch := rows[tr.Name+"/planner"], rows[tr.Name+"/scratch"]
			t.Logf("seed %d, %s: skew %.4f against %.4f, %d fetches against %d",
				seed, tr.Name, ours.Mean, scratch.Mean, ours.Fetches, scratch.Fetches)
			require.LessOrEqual(t, ours.Mean, scratch.Mean, tr.Name)
			require.LessOrEqual(t, 4*ours.Fetches, scratch.Fetches, tr.Name)
		}
		require.LessOrEqual(t, rows["smooth daily drift/planner"].Mean, 1.05)
		require.Zero(t, rows["noise only/planner"].Fetches)
	}
}
