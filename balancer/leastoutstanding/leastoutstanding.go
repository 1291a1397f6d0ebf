package leastoutstanding

import (
	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/locality"
)

// Builder builds pickers that choose the target with the fewest own requests.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return "least_outstanding" }

// Build implements balancer.Builder.
func (Builder) Build(s balancer.Snapshot) balancer.Picker {
	return locality.Build(s, func(v *balancer.View, candidates []int32) locality.Chooser {
		return chooser{v, candidates}
	})
}

type chooser struct {
	view       *balancer.View
	candidates []int32
}

// Choose implements locality.Chooser.
func (c chooser) Choose(r balancer.Request) (int, bool) {
	best, fewest, found := 0, int64(0), false
	n := len(c.candidates)
	for k := range n {
		i := int(c.candidates[(int(r.Random%uint64(n))+k)%n])
		t := &c.view.Targets[i]
		if t.Slow || !r.Usable(t) {
			continue
		}
		if own := c.view.OwnRequests(i); !found || own < fewest {
			best, fewest, found = i, own, true
		}
	}
	if !found {
		return c.view.Draw(c.candidates, &r, r.Random)
	}
	return best, true
}
