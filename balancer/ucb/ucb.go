package ucb

import (
	"math"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/locality"
)

// DefaultExploration is the default of c, in seconds until the first token.
const DefaultExploration = -0.2

// Builder builds pickers that use the costs of past requests.
type Builder struct {
	// Exploration is c, which must be negative. Zero means DefaultExploration.
	Exploration float64
}

// Name implements balancer.Builder.
func (Builder) Name() string { return "ucb" }

// Build implements balancer.Builder.
func (b Builder) Build(s balancer.Snapshot) balancer.Picker {
	c := b.Exploration
	if c == 0 {
		c = DefaultExploration
	}
	return locality.Build(s, func(v *balancer.View, candidates []int32) locality.Chooser {
		return chooser{v, candidates, c}
	})
}

type chooser struct {
	view        *balancer.View
	candidates  []int32
	exploration float64
}

// Choose implements locality.Chooser.
func (c chooser) Choose(r balancer.Request) (int, bool) {
	logT := c.logTotalPicks()
	best, lowest, found := 0, 0.0, false
	n := len(c.candidates)
	for k := range n {
		i := int(c.candidates[(int(r.Random%uint64(n))+k)%n])
		t := &c.view.Targets[i]
		if t.Slow || t.Own == nil || !r.Usable(t) {
			continue
		}
		if s := c.score(t.Own, logT); !found || s < lowest {
			best, lowest, found = i, s, true
		}
	}
	if !found {
		return c.view.Draw(c.candidates, &r, r.Random)
	}
	return best, true
}

// logTotalPicks returns log t, where t is the number of choices plus one.
func (c chooser) logTotalPicks() float64 {
	sum := int64(1)
	for _, i := range c.candidates {
		if counter := c.view.Targets[i].Own; counter != nil {
			sum += counter.Chosen.Load()
		}
	}
	return math.Log(float64(sum))
}

// score returns the lower confidence bound of the target's cost.
func (c chooser) score(counter *balancer.Counter, logT float64) float64 {
	chosen, finished := counter.Chosen.Load(), counter.Finished.Load()
	if chosen == 0 {
		return math.Inf(-1)
	}
	mean := 0.0
	if finished > 0 {
		mean = float64(counter.CostMicros.Load()) / float64(finished) / 1e6
	}
	return mean + c.exploration*math.Sqrt(logT/float64(chosen))
}
