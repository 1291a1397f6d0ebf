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

// The costs of a rebalance.
const (
	bytesPerExpert      = 44e6 // three projections of 2048 x 7168 weights at 8 bits
	fetchBytesPerSecond = 1e9  // rate at which one rank fetches
	// replanInterval is the number of intervals between the plans of the
	// policies scratch and incremental.
	replanInterval = 10
)

// Policy plans the next map from counts that arrive late and with gaps.
type Policy struct {
	Name      string
	newDecide func(s plan.Shape) func(t int, counts [][]float64, current plan.Map) plan.Map
}

// Policies returns the policies to compare.
func Policies() []Policy {
	return []Policy{
		{"static", func(plan.Shape) func(int, [][]float64, plan.Map) plan.Map {
			return func(_ int, _ [][]float64, current plan.Map) plan.Map { return current }
		}},
		{"scratch", func(s plan.Shape) func(int, [][]float64, plan.Map) plan.Map {
			return func(t int, counts [][]float64, current plan.Map) plan.Map {
				if t%replanInterval != 0 || counts == nil {
					return current
				}
				return plan.FromScratch(s, counts)
			}
		}},
		{"incremental", func(s plan.Shape) func(int, [][]float64, plan.Map) plan.Map {
			raw := plan.PlannerRules{TriggerSkew: 1, TargetSkew: 1, FetchCost: 1e-9, Smoothing: 1}
			return plannerDecide(plan.NewPlanner(s, raw), replanInterval)
		}},
		{"planner", func(s plan.Shape) func(int, [][]float64, plan.Map) plan.Map {
			return plannerDecide(plan.NewPlanner(s, plan.DefaultPlannerRules), 1)
		}},
	}
}

func plannerDecide(p *plan.Planner, every int) func(int, [][]float64, plan.Map) plan.Map {
	return func(t int, counts [][]float64, current plan.Map) plan.Map {
		if counts == nil {
			return current
		}
		p.Observe(counts)
		if t%every != 0 {
			return current
		}
		next, _ := p.Plan(current)
		return next
	}
}

// Row is the result of one policy on one trace.
type Row struct {
	Trace, Policy       string
	Mean, P50, P99      float64
	Fetches, Rebalances int
	// LoadingSecondsPerHour is the time in seconds per hour in which some rank
	// loads weights.
	LoadingSecondsPerHour float64
	Skews                 []float64
}

// Bytes returns the number of bytes fetched.
func (r Row) Bytes() float64 { return float64(r.Fetches) * bytesPerExpert }

// Run runs one policy on one trace. The static policy starts on a round-robin
// map, every other one on a map packed from scratch for the first interval.
func Run(tr Trace, p Policy, seed uint64) Row {
	rng := rand.New(rand.NewPCG(seed, 23))
	row := Row{Trace: tr.Name, Policy: p.Name}
	current := plan.RoundRobin(tr.Shape)
	if p.Name != "static" {
		current = plan.FromScratch(tr.Shape, tr.loads(0))
	}
	decide := p.newDecide(tr.Shape)
	var counted [][][]float64
	loadingSeconds := 0.0
	for t := range intervals {
		loads := tr.loads(t)
		row.Skews = append(row.Skews, plan.Skew(tr.Shape, current, loads))
		counts := sampleCounts(rng, loads)
		if rng.Float64() < missingCountsShare {
			counts = nil
		}
		counted = append(counted, counts)
		if t < countDelayIntervals {
			continue
		}
		next := decide(t, counted[t-countDelayIntervals], current)
		if n := current.Fetches(next, tr.Shape); n > 0 {
			row.Fetches += n
			row.Rebalances++
			loadingSeconds += maxFetchesPerRank(current, next, tr.Shape) * bytesPerExpert / fetchBytesPerSecond
		}
		current = next
	}
	row.LoadingSecondsPerHour = loadingSeconds / (intervals * intervalSeconds / 3600)
	sorted := slices.Sorted(slices.Values(row.Skews))
	row.P50, row.P99 = sorted[len(sorted)/2], sorted[len(sorted)*99/100]
	for _, s := range sorted {
		row.Mean += s / float64(len(sorted))
	}
	return row
}

// maxFetchesPerRank returns the largest number of fetches of one rank.
func maxFetchesPerRank(m, next plan.Map, s plan.Shape) float64 {
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
			r.Trace, r.Policy, r.Mean, r.P50, r.P99, r.Rebalances, r.Fetches, r.Bytes()/1e9, r.LoadingSecondsPerHour)
	}
	return errors.WithStack(t.Flush())
}
