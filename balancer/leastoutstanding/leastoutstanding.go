package leastoutstanding

import (
	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/locality"
)

// Builder builds pickers that choose the fewest own requests.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return "least_outstanding" }

// Build implements balancer.Builder.
func (Builder) Build(s balancer.Snapshot) balancer.Picker {
	return locality.Build(s, func(v *balancer.View, members []int32) locality.Group {
		return group{v, members}
	})
}

type group struct {
	view    *balancer.View
	members []int32
}

// Choose implements locality.Group.
func (g group) Choose(r balancer.Request) (int, bool) {
	best, fewest, found := 0, int64(0), false
	n := len(g.members)
	for k := range n {
		i := int(g.members[(int(r.Random%uint64(n))+k)%n])
		t := &g.view.Targets[i]
		if t.Slow || !r.Usable(t) {
			continue
		}
		if own := g.view.Own(i); !found || own < fewest {
			best, fewest, found = i, own, true
		}
	}
	if !found {
		return g.view.Draw(g.members, &r, r.Random)
	}
	return best, true
}
