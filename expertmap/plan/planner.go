package plan

import (
	"slices"
	"sync"
)

// PlannerRules control when a planner changes a layer and how it predicts
// loads.
type PlannerRules struct {
	// TriggerSkew is the skew of a layer up to which the layer stays unchanged,
	// and TargetSkew the skew at which the search for moves stops. The distance
	// between the two is the hysteresis.
	TriggerSkew, TargetSkew float64
	// FetchCost determines the skew of a layer that one fetch must save:
	// FetchCost divided by the square of the expected number of intervals
	// between changes of the layer, which is learned for each layer. It is
	// squared because counts arrive late: the more often a layer changes, the
	// less of the predicted gain is achieved. With the plain quotient, an
	// oscillating load caused 75% of the bytes that packing from scratch
	// fetches.
	FetchCost float64
	// Smoothing and TrendSmoothing are the weights of a new count in the
	// smoothed load and in its trend. PredictedIntervals is the number of
	// intervals that a prediction looks ahead.
	Smoothing, TrendSmoothing, PredictedIntervals float64
}

// DefaultPlannerRules are meant for groups with one eighth redundant slots.
var DefaultPlannerRules = PlannerRules{
	TriggerSkew: 1.016, TargetSkew: 1.006, FetchCost: 0.06, Smoothing: 0.25, TrendSmoothing: 0.05, PredictedIntervals: 3,
}

// changeIntervalSmoothing is the weight of the latest interval between two
// changes of a layer, and initialChangeInterval the expected interval before
// the first change. Both refer to intervals of counts.
const (
	changeIntervalSmoothing = 0.3
	initialChangeInterval   = 10
)

// Planner smooths and predicts the token counts of one group and plans moves of
// experts.
type Planner struct {
	shape     Shape
	rules     PlannerRules
	smoothed  [][]float64
	trend     [][]float64
	hasCounts bool
	// changeInterval is the expected number of count intervals between changes
	// of a layer, and sinceChange the number since the last change.
	changeInterval, sinceChange []float64
}

// NewPlanner returns a planner that has observed no counts.
func NewPlanner(s Shape, r PlannerRules) *Planner {
	p := &Planner{shape: s, rules: r, smoothed: make([][]float64, s.Layers), trend: make([][]float64, s.Layers)}
	p.changeInterval, p.sinceChange = make([]float64, s.Layers), make([]float64, s.Layers)
	for l := range p.smoothed {
		p.changeInterval[l], p.sinceChange[l] = initialChangeInterval, initialChangeInterval
		p.smoothed[l], p.trend[l] = make([]float64, s.Experts), make([]float64, s.Experts)
	}
	return p
}

// Observe adds the token counts of one interval. Counts are converted to shares
// of their layer, so that the total traffic does not matter. A layer without
// counts is left unchanged.
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
	p.hasCounts = true
}

func (p *Planner) smooth(l, e int, share float64) {
	if !p.hasCounts {
		p.smoothed[l][e] = share
		return
	}
	before := p.smoothed[l][e]
	p.smoothed[l][e] += p.trend[l][e] + p.rules.Smoothing*(share-before-p.trend[l][e])
	p.trend[l][e] += p.rules.TrendSmoothing * (p.smoothed[l][e] - before - p.trend[l][e])
}

// Predicted returns the predicted load of every expert.
func (p *Planner) Predicted() [][]float64 {
	out := make([][]float64, len(p.smoothed))
	for l := range out {
		out[l] = make([]float64, len(p.smoothed[l]))
		for e := range out[l] {
			out[l][e] = max(0, p.smoothed[l][e]+p.rules.PredictedIntervals*p.trend[l][e])
		}
	}
	return out
}

// Plan returns the next map and whether any layer changes. Layers that do not
// change are shared with the current map.
func (p *Planner) Plan(current Map) (Map, bool) {
	next, changed := make(Map, len(current)), false
	loads := p.Predicted()
	speeds := 0.0
	for r := range p.shape.Ranks {
		speeds += p.shape.speed(r)
	}
	// Layers are independent of each other and are planned concurrently.
	var wait sync.WaitGroup
	for l := range current {
		wait.Go(func() { next[l] = p.planLayer(l, current[l], loads[l], speeds) })
	}
	wait.Wait()
	for l := range next {
		changed = changed || !slices.Equal(next[l], current[l])
	}
	return next, changed
}

func (p *Planner) planLayer(l int, current Layer, load []float64, speeds float64) Layer {
	state := newLayerState(p.shape, current, load)
	total := 0.0
	for _, w := range load {
		total += w
	}
	mean := total / speeds
	p.sinceChange[l]++
	if slices.Max(state.rankTimes) <= p.rules.TriggerSkew*mean {
		return current
	}
	interval := max(1, p.changeInterval[l]+changeIntervalSmoothing*(p.sinceChange[l]-p.changeInterval[l]))
	state.improve(p.rules.TargetSkew*mean, p.rules.FetchCost/(interval*interval)*mean)
	if slices.Equal(state.layer, current) {
		return current
	}
	p.changeInterval[l], p.sinceChange[l] = interval, 0
	return state.layer
}
