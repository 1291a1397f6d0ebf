package twochoice

import (
	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/locality"
)

// Builder builds pickers that compare two random targets.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return "two_choice" }

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
	var space [2]int32
	best, found := 0, false
	for _, i := range g.view.Choices(g.members, &r, space[:]) {
		if !found || g.view.Load(int(i)) < g.view.Load(best) {
			best, found = int(i), true
		}
	}
	return best, found
}
