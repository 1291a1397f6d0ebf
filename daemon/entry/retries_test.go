package entry

import (
	"flag"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
)

// Load of the tests and measurements: requests/s on six targets with a latency
// of 10 ms.
const (
	loadRate    = 200
	loadTargets = 6
	loadLatency = 10 * time.Millisecond
)

// loadResult summarizes the responses to idempotent calls.
type loadResult struct {
	p50, p99 time.Duration
	failed   float64 // share
	attempts float64 // per request
}

func (r loadResult) String() string {
	return fmt.Sprintf("p50 %d ms, p99 %d ms, failed %.2f%%, attempts per request %.3f",
		r.p50.Milliseconds(), r.p99.Milliseconds(), 100*r.failed, r.attempts)
}

type loadCase struct {
	policy      retryPolicy
	duration    time.Duration
	rate        int
	concurrency int
	faults      enginestandin.ServiceFaults
	faulty      int // number of targets with the faults
}

func loadConfig(concurrency int) *config.Config {
	c := simConfig()
	c.Inventory.Targets = nil
	for i := range loadTargets {
		dc := c.Inventory.DataCentres[i%len(c.Inventory.DataCentres)].Name
		c.Inventory.Targets = append(c.Inventory.Targets, config.Target{
			Name: fmt.Sprintf("app-%d", i), Backend: "app", DataCentre: dc, PeerAddr: fmt.Sprintf("127.0.0.1:%d", 1+i),
		})
	}
	c.Rules.Idempotent = []config.IdempotentRule{{Backend: "app", Operations: []string{"quote"}}}
	c.Rules.Warmup = []config.WarmupRule{{Backend: "app", Initial: concurrency, Factor: 2, IntervalMs: 1000}}
	c.Rules.Limits = []config.LimitRule{{Backend: "app", Concurrency: concurrency, MaxWaitMs: 1000}}
	return c
}

// runLoad sends requests to one entry at a fixed rate in virtual time and
// returns the result.
func runLoad(t *testing.T, lc loadCase) (result loadResult) {
	metrics.NewMeter().Stop()
	inBubble(t, func(t *testing.T) {
		services := map[string]*enginestandin.Service{}
		for i := range loadTargets {
			services[fmt.Sprintf("app-%d", i)] = enginestandin.NewService(enginestandin.ServiceOptions{Latency: loadLatency})
		}
		s := newSimWith(t, 1, loadConfig(lc.concurrency), services)
		s.entries[1].kill()
		s.entries = s.entries[:1]
		s.entries[0].entry.retries.policy = lc.policy
		time.Sleep(time.Second)
		for i := range lc.faulty {
			services[fmt.Sprintf("app-%d", i)].SetFaults(lc.faults)
		}
		result = s.load(lc.rate, max(lc.duration, 8*time.Second))
		s.entries[0].kill()
		for _, p := range s.targets {
			s.kill(p)
		}
		time.Sleep(settleTime)
	})
	clearPools()
	return result
}

func (s *sim) load(rate int, duration time.Duration) loadResult {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var took []time.Duration
	failed := 0
	n := rate * int(duration/time.Second)
	for i := range n {
		wg.Go(func() {
			began := time.Now()
			res := s.request(http.MethodPost, "/v1/services/app/quote", http.Header{"X-Deadline-Ms": {"5000"}}, fmt.Sprintf(`{"id":"q-%d"}`, i))
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(began))
			if res.Code != http.StatusOK {
				failed++
			}
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	slices.Sort(took)
	return loadResult{
		p50: took[n/2], p99: took[n*99/100], failed: float64(failed) / float64(n),
		attempts: float64(s.entries[0].entry.counter(metricAttempts).Count()) / float64(n),
	}
}

var (
	slowTarget    = loadCase{rate: loadRate, concurrency: 64, faulty: 1, faults: enginestandin.ServiceFaults{Latency: 300 * time.Millisecond}}
	failingTarget = loadCase{rate: loadRate, concurrency: 64, faulty: 1, faults: enginestandin.ServiceFaults{DropResponse: true}}
	allFailing    = loadCase{rate: loadRate, concurrency: 64, faulty: loadTargets, faults: enginestandin.ServiceFaults{DropResponse: true}}
	// The two targets of the local data centre, with one slot each, have a
	// capacity of 200/s.
	nearCapacity = loadCase{rate: 150, concurrency: 1}
)

func (c loadCase) with(p retryPolicy) loadCase { c.policy = p; return c }

// Guards against failures or latency of one target that reach the callers, and
// against retries that multiply the load when all targets fail.
func TestRetriesAndHedging(t *testing.T) {
	naive, none := retryPolicy{noBudget: true, noEjection: true, noHedging: true}, retryPolicy{noRetry: true, noEjection: true, noHedging: true}

	require.Greater(t, runLoad(t, failingTarget.with(none)).failed, 0.05)
	assert.Less(t, runLoad(t, failingTarget).failed, 0.001)

	require.Greater(t, runLoad(t, slowTarget.with(none)).p99, 300*time.Millisecond)
	hedged := runLoad(t, slowTarget)
	assert.Less(t, hedged.p99, 300*time.Millisecond)
	assert.Less(t, hedged.attempts, 1.12)

	require.Greater(t, runLoad(t, allFailing.with(naive)).attempts, 2.5)
	assert.Less(t, runLoad(t, allFailing).attempts, 1.15)
}

var measure = flag.Bool("measure", false, "run TestMeasureRetries")

// TestMeasureRetries prints the table in docs/MEASUREMENTS.md.
func TestMeasureRetries(t *testing.T) {
	if !*measure {
		t.Skip("prints a table; run with -measure -v")
	}
	for _, c := range []struct {
		name string
		load loadCase
	}{{"slow target", slowTarget}, {"failing target", failingTarget}, {"all failing", allFailing}, {"near capacity", nearCapacity}} {
		for _, p := range []struct {
			name   string
			policy retryPolicy
		}{
			{"nothing", retryPolicy{noRetry: true, noEjection: true, noHedging: true}},
			{"retries without budget", retryPolicy{noBudget: true, noEjection: true, noHedging: true}},
			{"retries with budget", retryPolicy{noEjection: true, noHedging: true}},
			{"and ejection", retryPolicy{noHedging: true}},
			{"and hedging", retryPolicy{}},
			{"hedging without budget", retryPolicy{noBudget: true}},
		} {
			c.load.duration = 20 * time.Second
			t.Logf("%s, %s: %s", c.name, p.name, runLoad(t, c.load.with(p.policy)))
		}
	}
}
