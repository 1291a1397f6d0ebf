// Package experiment compares planning policies on generated drift traces.
package experiment

import (
	"math"
	"math/rand/v2"

	"github.com/skylarkstep/skylarkstep/expertmap/plan"
)

// The size of the experiment: 16 ranks of 9 slots hold 128 experts with one
// eighth redundant slots.
const (
	ranks, experts, slots, layers = 16, 128, 9, 4
	interval                      = 60.0 // seconds
	intervals                     = 24 * 60
	tokensPerInterval             = 2e6 // a layer
	countDelay                    = 2   // intervals until counts arrive
	gapShare                      = 0.05
)

// Trace is the load of every interval, layer and expert.
type Trace struct {
	Name  string
	Shape plan.Shape
	loads func(t int) [][]float64
}

func shape() plan.Shape {
	return plan.Shape{Ranks: ranks, Experts: experts, Layers: layers, SlotsPerRank: slots}
}

// Traces returns the traces for a seed.
func Traces(seed uint64) []Trace {
	flat := func(int, float64, int) float64 { return 1 }
	slow := shape()
	slow.Speeds = make([]float64, ranks)
	for r := range slow.Speeds {
		slow.Speeds[r] = 1
	}
	slow.Speeds[5] = 0.7
	return []Trace{
		{"smooth daily drift", shape(), generate(seed, daily)},
		{"sudden shift", shape(), generate(seed+1, func(_ int, phase float64, t int) float64 {
			if t >= intervals/2 {
				return math.Exp(0.8 * math.Sin(phase))
			}
			return math.Exp(0.8 * math.Cos(phase))
		})},
		{"oscillation", shape(), generate(seed+2, func(_ int, phase float64, t int) float64 {
			return math.Exp(0.5 * math.Sin(2*math.Pi*float64(t)/20+phase))
		})},
		{"noise only", shape(), generate(seed+3, flat)},
		{"one expert at 30%", shape(), generate(seed+4, func(e int, _ float64, _ int) float64 {
			if e == 7 {
				return -0.3
			}
			return 1
		})},
		{"a slow rank", slow, generate(seed+5, daily)},
	}
}

func daily(_ int, phase float64, t int) float64 {
	return math.Exp(0.8 * math.Sin(2*math.Pi*float64(t)/intervals+phase))
}

// generate returns loads of skewed experts whose popularity changes by factor.
// A negative factor is the expert's share of all tokens.
func generate(seed uint64, factor func(e int, phase float64, t int) float64) func(int) [][]float64 {
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

// sample draws token counts from loads.
func sample(rng *rand.Rand, loads [][]float64) [][]float64 {
	out := make([][]float64, len(loads))
	for l := range out {
		out[l] = make([]float64, len(loads[l]))
		for e, p := range loads[l] {
			mean := p * tokensPerInterval
			out[l][e] = max(0, mean+math.Sqrt(mean)*rng.NormFloat64())
		}
	}
	return out
}
