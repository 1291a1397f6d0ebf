package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/leastload"
	"github.com/skylarkstep/skylarkstep/balancer/leastoutstanding"
	"github.com/skylarkstep/skylarkstep/balancer/prefix"
	"github.com/skylarkstep/skylarkstep/balancer/random"
	"github.com/skylarkstep/skylarkstep/balancer/roundrobin"
	"github.com/skylarkstep/skylarkstep/balancer/twochoice"
	"github.com/skylarkstep/skylarkstep/balancer/twowork"
	"github.com/skylarkstep/skylarkstep/balancer/ucb"
)

// Policy is a routing policy under test. Build returns its builder for an entry.
type Policy struct {
	Name  string
	Build func(entry int) balancer.Builder
}

// Policies returns the policies under test.
func Policies() []Policy {
	same := func(b balancer.Builder) Policy {
		return Policy{b.Name(), func(int) balancer.Builder { return b }}
	}
	return []Policy{
		same(random.Builder{}),
		{"round_robin", func(k int) balancer.Builder {
			return roundrobin.New(rand.New(rand.NewPCG(1, uint64(k))))
		}},
		same(leastoutstanding.Builder{}),
		same(twochoice.Builder{}),
		same(twowork.Builder{}),
		same(leastload.Builder{}),
		same(prefix.Builder{}),
		same(ucb.Builder{}),
	}
}

// WriteRouting runs every policy on every scenario and writes the results as a
// Markdown table.
func WriteRouting(w io.Writer, targets, entries int, seed uint64) error {
	_, err := fmt.Fprintf(w, "%d targets, %d entries, seed %d\n\n"+
		"| scenario | policy | first p50 | p99 | complete p50 | p99 | goodput | refused | skew | cache hits | others served |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|\n", targets, entries, seed)
	scenarios, policies := Scenarios(), Policies()
	rows := make([]string, len(scenarios)*len(policies))
	var wg sync.WaitGroup
	limit := make(chan struct{}, parallelRuns)
	for k := range rows {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			s, p := scenarios[k/len(policies)], policies[k%len(policies)]
			rows[k] = row(s, p.Name, Run(Setup{Scenario: s, Policy: p.Build, Targets: targets, Entries: entries, Seed: seed}))
		})
	}
	wg.Wait()
	for _, r := range rows {
		if err == nil {
			_, err = fmt.Fprintln(w, r)
		}
	}
	return err
}

// parallelRuns limits the memory that runs with several hundred targets need at the
// same time.
const parallelRuns = 4

func row(s Scenario, policy string, r Result) string {
	others := "-"
	if s.Flood > 0 {
		others = percent(r.SmallCustomersServed)
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s | %s | %.2f | %s | %s |", s.Name, policy,
		ms(r.FirstTokenP50), ms(r.FirstTokenP99), ms(r.CompleteP50), ms(r.CompleteP99),
		percent(r.Goodput), percent(r.Refused), r.Skew, percent(r.CacheHit), others)
}

func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
