package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Properties of the requests.
const (
	customers      = 10
	meanTokens     = 64
	maxTokens      = 400
	requestTime    = 3 * time.Second // from arrival to deadline
	prefixesTarget = 33              // prefixes for each target; a cache holds 32
	prefixSkew     = 1.1
)

// arrival is one recorded request. The entry is chosen by the caller; its number
// is taken modulo the entries that exist.
type arrival struct {
	at       time.Duration
	entry    int
	customer int
	prefix   uint64
	tokens   int // generated
	expected int // asked for, at least the generated ones
}

// record draws the arrivals of a scenario. The rate is a Poisson process of the
// base rate times the factor at each moment; the flood comes on top from
// customer 0 alone.
func record(s Scenario, targets int, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, uint64(targets)))
	prefixes := rand.NewZipf(random, prefixSkew, 8, uint64(prefixesTarget*targets))
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
		rate, flood := base*s.load(at), base*s.flood(at)
		at += time.Duration(random.ExpFloat64() / (rate + flood) * float64(time.Second))
		if random.Float64()*(rate+flood) < flood {
			add(at, 0)
		} else {
			add(at, int(float64(customers)*math.Pow(random.Float64(), 2)))
		}
	}
	return out
}

// Scenario is what happens during a run. Loads are shares of the capacity of all
// targets.
type Scenario struct {
	Name   string
	Length time.Duration
	// Load is the steady load; from From to To it is multiplied by Burst and
	// the flood of customer 0 comes on top.
	Load, Burst, Flood float64
	From, To           time.Duration
	// Slow makes target 0 slower by this factor.
	Slow float64
	// Leaves takes data centre 1 out from From to To; its engines return cold.
	Leaves bool
	// ReportLag delays every load report.
	ReportLag time.Duration
	// Return lets refused callers come back after their retry-after.
	Return bool
}

func (s Scenario) during(at time.Duration) bool { return at >= s.From && at < s.To }

func (s Scenario) load(at time.Duration) float64 {
	if s.Burst > 0 && s.during(at) {
		return s.Load * s.Burst
	}
	return s.Load
}

func (s Scenario) flood(at time.Duration) float64 {
	if s.during(at) {
		return s.Flood
	}
	return 0
}

// warmUpTime is not measured: the targets start cold.
const warmUpTime = 10 * time.Second

// Scenarios are the scenarios of the routing experiment.
func Scenarios() []Scenario {
	const length = 30 * time.Second
	from, to := 14*time.Second, 20*time.Second
	return []Scenario{
		{Name: "steady", Length: length, Load: 0.7},
		{Name: "burst", Length: length, Load: 0.6, Burst: 2, From: from, To: to},
		{Name: "slow target", Length: length, Load: 0.6, Slow: 4},
		{Name: "zone out, in", Length: length, Load: 0.6, Leaves: true, From: from, To: to},
		{Name: "flood", Length: length, Load: 0.6, Flood: 2, From: from, To: to},
		{Name: "reports 2 s", Length: length, Load: 0.7, ReportLag: 2 * time.Second},
	}
}

func targetName(i int) string { return fmt.Sprintf("target-%04d", i) }
