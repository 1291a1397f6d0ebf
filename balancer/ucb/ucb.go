package ucb

import (
	"math"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/locality"
)

// DefaultExploration is c in seconds of first-token time.
const DefaultExploration = -0.2

// Builder builds pickers that learn from the cost of past requests.
type Builder struct {
	// Exploration is c, which must be negative; zero takes the default.
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
	return locality.Build(s, func(v *balancer.View, members []int32) locality.Group {
		return group{v, members, c}
	})
}

type group struct {
	view    *balancer.View
	members []int32
	c       float64
}

// Choose implements locality.Group.
func (g group) Choose(r balancer.Request) (int, bool) {
	logT := g.logChoices()
	best, lowest, found := 0, 0.0, false
	n := len(g.members)
	for k := range n {
		i := int(g.members[(int(r.Random%uint64(n))+k)%n])
		t := &g.view.Targets[i]
		if t.Slow || t.Own == nil || !r.Usable(t) {
			continue
		}
		if s := g.score(t.Own, logT); !found || s < lowest {
			best, lowest, found = i, s, true
		}
	}
	if !found {
		return g.view.Draw(g.members, &r, r.Random)
	}
	return best, true
}

func (g group) logChoices() float64 {
	sum := int64(1)
	for _, i := range g.members {
		if s := g.view.Targets[i].Own; s != nil {
			sum += s.Chosen.Load()
		}
	}
	return math.Log(float64(sum))
}

func (g group) score(s *balancer.Counter, logT float64) float64 {
	chosen, finished := s.Chosen.Load(), s.Finished.Load()
	if chosen == 0 {
		return math.Inf(-1)
	}
	mean := 0.0
	if finished > 0 {
		mean = float64(s.CostMicros.Load()) / float64(finished) / 1e6
	}
	return mean + g.c*math.Sqrt(logT/float64(chosen))
}
