package random

import (
	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/locality"
)

// Builder builds pickers that choose at random.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return "random" }

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
	return g.view.Draw(g.members, &r, r.Random)
}
