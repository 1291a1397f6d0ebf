package plan

import (
	"slices"
	"sync"
)

// PlannerRules bound what a plan may cost.
type PlannerRules struct {
	// TriggerSkew is the skew of a layer under which it is left alone, and TargetSkew
	// the skew at which the search stops. Their distance is the hysteresis.
	TriggerSkew, TargetSkew float64
	// FetchCost over the square of the expected life is the skew of a layer that
	// one fetch must save. The life is learned for each layer from the time
	// between its changes. It counts twice because the counts are late: the
	// shorter the life, the less of the predicted gain comes true. With the
	// plain quotient, an oscillation cost 75% of the bytes of packing from scratch.
	FetchCost float64
	// Smoothing is the weight of a new count, and PredictedIntervals the number of intervals
	// to predict.
	Smoothing, TrendSmoothing, PredictedIntervals float64
}

// DefaultPlannerRules are used for groups with one eighth redundant slots.
var DefaultPlannerRules = PlannerRules{
	TriggerSkew: 1.016, TargetSkew: 1.006, FetchCost: 0.06, Smoothing: 0.25, TrendSmoothing: 0.05, PredictedIntervals: 3,
}

// lifeSmoothing is the weight of the latest life of a layer's map, and
// firstLife what a layer without changes is expected to keep, in intervals.
const (
	lifeSmoothing = 0.3
	firstLife     = 10
)

// Planner smooths and predicts the token counts of one group and plans moves.
type Planner struct {
	shape  Shape
	rules  PlannerRules
	level  [][]float64
	trend  [][]float64
	primed bool
	// life is the expected number of intervals between changes of a layer, and
	// age the number since the last.
	life, age []float64
}

// NewPlanner returns a planner without counts.
func NewPlanner(s Shape, r PlannerRules) *Planner {
	p := &Planner{shape: s, rules: r, level: make([][]float64, s.Layers), trend: make([][]float64, s.Layers)}
	p.life, p.age = make([]float64, s.Layers), make([]float64, s.Layers)
	for l := range p.level {
		p.life[l], p.age[l] = firstLife, firstLife
		p.level[l], p.trend[l] = make([]float64, s.Experts), make([]float64, s.Experts)
	}
	return p
}

// Observe takes the token counts of one interval. Counts become shares of their
// layer, so that the total traffic does not matter. A layer without counts is a
// gap and changes nothing.
func (p *Planner) Observe(counts [][]float64) {
	for l, layer := range counts {
		total := 0.0
		for _, n := range layer {
			total += n
		}
		if total == 0 {
			continue
		}
		for e, n := range layer {
			p.smooth(l, e, n/total)
		}
	}
	p.primed = true
}

func (p *Planner) smooth(l, e int, share float64) {
	if !p.primed {
		p.level[l][e] = share
		return
	}
	before := p.level[l][e]
	p.level[l][e] += p.trend[l][e] + p.rules.Smoothing*(share-before-p.trend[l][e])
	p.trend[l][e] += p.rules.TrendSmoothing * (p.level[l][e] - before - p.trend[l][e])
}

// Predicted returns the expected load of every expert.
func (p *Planner) Predicted() [][]float64 {
	out := make([][]float64, len(p.level))
	for l := range out {
		out[l] = make([]float64, len(p.level[l]))
		for e := range out[l] {
			out[l][e] = max(0, p.level[l][e]+p.rules.PredictedIntervals*p.trend[l][e])
		}
	}
	return out
}

// Plan returns the next map, which shares unchanged layers with the present
// one, and whether any layer changes.
func (p *Planner) Plan(present Map) (Map, bool) {
	next, changed := make(Map, len(present)), false
	loads := p.Predicted()
	speeds := 0.0
	for r := range p.shape.Ranks {
		speeds += p.shape.speed(r)
	}
	// Layers are independent of each other.
	var wait sync.WaitGroup
	for l := range present {
		wait.Go(func() { next[l] = p.planLayer(l, present[l], loads[l], speeds) })
	}
	wait.Wait()
	for l := range next {
		changed = changed || !slices.Equal(next[l], present[l])
	}
	return next, changed
}

func (p *Planner) planLayer(l int, present Layer, load []float64, speeds float64) Layer {
	st := newLayerState(p.shape, present, load)
	total := 0.0
	for _, w := range load {
		total += w
	}
	even := total / speeds
	p.age[l]++
	if slices.Max(st.sums) <= p.rules.TriggerSkew*even {
		return present
	}
	life := max(1, p.life[l]+lifeSmoothing*(p.age[l]-p.life[l]))
	st.improve(p.rules.TargetSkew*even, p.rules.FetchCost/(life*life)*even)
	if slices.Equal(st.layer, present) {
		return present
	}
	p.life[l], p.age[l] = life, 0
	return st.layer
}
