package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/expertmap/plan"
)

// Costs of a rebalance.
const (
	expertBytes = 44e6 // three projections of 2048 x 7168 weights at 8 bits
	rankRate    = 1e9  // bytes/s that a rank fetches
	// replan is the interval between plans of the policies that always move.
	replan = 10
)

// Policy decides the next map. Counts have arrived late and with gaps.
type Policy struct {
	Name string
	new  func(s plan.Shape) func(t int, counts [][]float64, present plan.Map) plan.Map
}

// Policies returns the policies to compare.
func Policies() []Policy {
	return []Policy{
		{"static", func(plan.Shape) func(int, [][]float64, plan.Map) plan.Map {
			return func(_ int, _ [][]float64, present plan.Map) plan.Map { return present }
		}},
		{"scratch", func(s plan.Shape) func(int, [][]float64, plan.Map) plan.Map {
			return func(t int, counts [][]float64, present plan.Map) plan.Map {
				if t%replan != 0 || counts == nil {
					return present
				}
				return plan.FromScratch(s, counts)
			}
		}},
		{"incremental", func(s plan.Shape) func(int, [][]float64, plan.Map) plan.Map {
			raw := plan.PlannerRules{TriggerSkew: 1, TargetSkew: 1, FetchCost: 1e-9, Smoothing: 1}
			return planned(plan.NewPlanner(s, raw), replan)
		}},
		{"planner", func(s plan.Shape) func(int, [][]float64, plan.Map) plan.Map {
			return planned(plan.NewPlanner(s, plan.DefaultPlannerRules), 1)
		}},
	}
}

func planned(p *plan.Planner, every int) func(int, [][]float64, plan.Map) plan.Map {
	return func(t int, counts [][]float64, present plan.Map) plan.Map {
		if counts == nil {
			return present
		}
		p.Observe(counts)
		if t%every != 0 {
			return present
		}
		next, _ := p.Plan(present)
		return next
	}
}

// Row is the result of one policy on one trace.
type Row struct {
	Trace, Policy       string
	Mean, P50, P99      float64
	Fetches, Rebalances int
	// SlowSecondsPerHour is the time in which some rank loads weights.
	SlowSecondsPerHour float64
	Skews              []float64
}

// Bytes returns the bytes fetched.
func (r Row) Bytes() float64 { return float64(r.Fetches) * expertBytes }

// Run runs one policy on one trace. Every policy starts on a map packed from
// scratch for the first interval, but the static one.
func Run(tr Trace, p Policy, seed uint64) Row {
	rng := rand.New(rand.NewPCG(seed, 23))
	row := Row{Trace: tr.Name, Policy: p.Name}
	present := plan.RoundRobin(tr.Shape)
	if p.Name != "static" {
		present = plan.FromScratch(tr.Shape, tr.loads(0))
	}
	decide := p.new(tr.Shape)
	var late [][][]float64
	slow := 0.0
	for t := range intervals {
		loads := tr.loads(t)
		row.Skews = append(row.Skews, plan.Skew(tr.Shape, present, loads))
		counts := sample(rng, loads)
		if rng.Float64() < gapShare {
			counts = nil
		}
		late = append(late, counts)
		if t < countDelay {
			continue
		}
		next := decide(t, late[t-countDelay], present)
		if n := present.Fetches(next, tr.Shape); n > 0 {
			row.Fetches += n
			row.Rebalances++
			slow += mostFetches(present, next, tr.Shape) * expertBytes / rankRate
		}
		present = next
	}
	row.SlowSecondsPerHour = slow / (intervals * interval / 3600)
	sorted := slices.Sorted(slices.Values(row.Skews))
	row.P50, row.P99 = sorted[len(sorted)/2], sorted[len(sorted)*99/100]
	for _, s := range sorted {
		row.Mean += s / float64(len(sorted))
	}
	return row
}

// mostFetches returns the fetches of the rank that fetches most.
func mostFetches(m, next plan.Map, s plan.Shape) float64 {
	most := 0
	for r := range s.Ranks {
		n := 0
		for l := range m {
			old := m[l][r*s.SlotsPerRank : (r+1)*s.SlotsPerRank]
			for _, e := range next[l][r*s.SlotsPerRank : (r+1)*s.SlotsPerRank] {
				if !slices.Contains(old, e) {
					n++
				}
			}
		}
		most = max(most, n)
	}
	return float64(most)
}

// RunAll runs all policies on all traces.
func RunAll(seed uint64) []Row {
	var rows []Row
	for _, tr := range Traces(seed) {
		for _, p := range Policies() {
			rows = append(rows, Run(tr, p, seed))
		}
	}
	return rows
}

// Print writes the rows as one table.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "trace\tpolicy\tmean skew\tp50\tp99\trebalances\tfetches\tGB\tslow s/h\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.1f\t%.2f\t\n",
			r.Trace, r.Policy, r.Mean, r.P50, r.P99, r.Rebalances, r.Fetches, r.Bytes()/1e9, r.SlowSecondsPerHour)
	}
	return errors.WithStack(t.Flush())
}
