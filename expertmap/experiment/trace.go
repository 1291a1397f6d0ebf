// Package experiment compares planning policies on generated drift traces.
package experiment

import (
	"math"
	"math/rand/v2"

	"github.com/skylarkstep/skylarkstep/expertmap/plan"
)

// The size of the experiment: 16 ranks with 9 slots each hold 128 experts, so
// one eighth of the slots is redundant.
const (
	ranks, experts, slots, layers = 16, 128, 9, 4
	intervalSeconds               = 60.0
	intervals                     = 24 * 60
	tokensPerLayer                = 2e6 // in each interval
	countDelayIntervals           = 2   // delay until counts arrive
	missingCountsShare            = 0.05
)

// Trace provides the load of every expert by interval and layer.
type Trace struct {
	Name  string
	Shape plan.Shape
	loads func(t int) [][]float64
}

func defaultShape() plan.Shape {
	return plan.Shape{Ranks: ranks, Experts: experts, Layers: layers, SlotsPerRank: slots}
}

// Traces returns the traces that a seed generates.
func Traces(seed uint64) []Trace {
	constant := func(int, float64, int) float64 { return 1 }
	slowRank := defaultShape()
	slowRank.Speeds = make([]float64, ranks)
	for r := range slowRank.Speeds {
		slowRank.Speeds[r] = 1
	}
	slowRank.Speeds[5] = 0.7
	return []Trace{
		{"smooth daily drift", defaultShape(), generateLoads(seed, dailyFactor)},
		{"sudden shift", defaultShape(), generateLoads(seed+1, func(_ int, phase float64, t int) float64 {
			if t >= intervals/2 {
				return math.Exp(0.8 * math.Sin(phase))
			}
			return math.Exp(0.8 * math.Cos(phase))
		})},
		{"oscillation", defaultShape(), generateLoads(seed+2, func(_ int, phase float64, t int) float64 {
			return math.Exp(0.5 * math.Sin(2*math.Pi*float64(t)/20+phase))
		})},
		{"noise only", defaultShape(), generateLoads(seed+3, constant)},
		{"one expert at 30%", defaultShape(), generateLoads(seed+4, func(e int, _ float64, _ int) float64 {
			if e == 7 {
				return -0.3
			}
			return 1
		})},
		{"a slow rank", slowRank, generateLoads(seed+5, dailyFactor)},
	}
}

func dailyFactor(_ int, phase float64, t int) float64 {
	return math.Exp(0.8 * math.Sin(2*math.Pi*float64(t)/intervals+phase))
}

// generateLoads returns a function that returns the loads of an interval. The
// loads of the experts are skewed and multiplied by factor. A negative factor
// is the expert's fixed share of all tokens.
func generateLoads(seed uint64, factor func(e int, phase float64, t int) float64) func(int) [][]float64 {
	rng := rand.New(rand.NewPCG(seed, 17))
	var base, phase [layers][experts]float64
	for l := range base {
		for e := range base[l] {
			base[l][e], phase[l][e] = math.Exp(0.6*rng.NormFloat64()), 2*math.Pi*rng.Float64()
		}
	}
	return func(t int) [][]float64 {
		out := make([][]float64, layers)
		for l := range out {
			out[l] = make([]float64, experts)
			total, fixed := 0.0, 0.0
			for e := range out[l] {
				f := factor(e, phase[l][e], t)
				if f < 0 {
					fixed -= f
					continue
				}
				out[l][e] = base[l][e] * f
				total += out[l][e]
			}
			for e := range out[l] {
				out[l][e] *= (1 - fixed) / total
				if f := factor(e, phase[l][e], t); f < 0 {
					out[l][e] = -f
				}
			}
		}
		return out
	}
}

// sampleCounts draws token counts for the given loads.
func sampleCounts(rng *rand.Rand, loads [][]float64) [][]float64 {
	out := make([][]float64, len(loads))
	for l := range out {
		out[l] = make([]float64, len(loads[l]))
		for e, p := range loads[l] {
			mean := p * tokensPerLayer
			out[l][e] = max(0, mean+math.Sqrt(mean)*rng.NormFloat64())
		}
	}
	return out
}
