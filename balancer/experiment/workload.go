package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Properties of the requests.
const (
	customers         = 10
	meanTokens        = 64
	maxTokens         = 400
	requestTimeout    = 3 * time.Second // from arrival to deadline
	prefixesPerTarget = 33              // a cache holds 32
	prefixSkew        = 1.1             // exponent of the Zipf distribution
)

// arrival is one generated request. The entry is the caller's choice; its number is
// taken modulo the number of entries.
type arrival struct {
	at       time.Duration
	entry    int
	customer int
	prefix   uint64
	tokens   int // generated
	expected int // requested, at least the generated ones
}

// drawArrivals draws the arrivals of a scenario from a Poisson process. Its rate is
// the base rate times the load of the scenario at each moment. The flood is added
// to that and comes from customer 0 alone.
func drawArrivals(s Scenario, targets int, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, uint64(targets)))
	prefixes := rand.NewZipf(random, prefixSkew, 8, uint64(prefixesPerTarget*targets))
	base := capacity * float64(targets)
	var out []arrival
	add := func(at time.Duration, customer int) {
		tokens := min(maxTokens, 8+int(random.ExpFloat64()*(meanTokens-8)))
		out = append(out, arrival{
			at: at, entry: random.IntN(1 << 20), customer: customer, prefix: 1 + prefixes.Uint64(),
			tokens: tokens, expected: tokens + random.IntN(tokens+1),
		})
	}
	for at := time.Duration(0); at < s.Length; {
		rate, flood := base*s.loadAt(at), base*s.floodAt(at)
		at += time.Duration(random.ExpFloat64() / (rate + flood) * float64(time.Second))
		if random.Float64()*(rate+flood) < flood {
			add(at, 0)
		} else {
			add(at, int(float64(customers)*math.Pow(random.Float64(), 2)))
		}
	}
	return out
}

// Scenario describes the load and the events of a run. Loads are shares of the
// capacity of all targets.
type Scenario struct {
	Name   string
	Length time.Duration
	// Load is the steady load. Between From and To it is multiplied by Burst, and
	// the flood of customer 0 is added.
	Load, Burst, Flood float64
	From, To           time.Duration
	// Slowdown is the factor by which target 0 is slower.
	Slowdown float64
	// DataCentreOut takes data centre 1 out of service between From and To. After
	// that, its engines warm up again.
	DataCentreOut bool
	// ReportLag delays every load report.
	ReportLag time.Duration
	// ClientRetries lets callers retry after the Retry-After of a request that did
	// not succeed.
	ClientRetries bool
}

func (s Scenario) during(at time.Duration) bool { return at >= s.From && at < s.To }

func (s Scenario) loadAt(at time.Duration) float64 {
	if s.Burst > 0 && s.during(at) {
		return s.Load * s.Burst
	}
	return s.Load
}

func (s Scenario) floodAt(at time.Duration) float64 {
	if s.during(at) {
		return s.Flood
	}
	return 0
}

// warmUpTime is the time without measurement at the start of a run, while the
// targets warm up.
const warmUpTime = 10 * time.Second

// Scenarios returns the scenarios of the routing experiment.
func Scenarios() []Scenario {
	const length = 30 * time.Second
	from, to := 14*time.Second, 20*time.Second
	return []Scenario{
		{Name: "steady", Length: length, Load: 0.7},
		{Name: "burst", Length: length, Load: 0.6, Burst: 2, From: from, To: to},
		{Name: "slow target", Length: length, Load: 0.6, Slowdown: 4},
		{Name: "zone out, in", Length: length, Load: 0.6, DataCentreOut: true, From: from, To: to},
		{Name: "flood", Length: length, Load: 0.6, Flood: 2, From: from, To: to},
		{Name: "reports 2 s", Length: length, Load: 0.7, ReportLag: 2 * time.Second},
	}
}

func targetName(i int) string { return fmt.Sprintf("target-%04d", i) }
