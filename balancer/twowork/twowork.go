package twowork

import (
	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/locality"
)

// Builder builds pickers that compare the remaining work of two random targets.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return "two_work" }

// Build implements balancer.Builder.
func (Builder) Build(s balancer.Snapshot) balancer.Picker { return locality.Build(s, NewGroup) }

// NewGroup returns the policy over some of the targets.
func NewGroup(v *balancer.View, members []int32) locality.Group { return group{v, members} }

type group struct {
	view    *balancer.View
	members []int32
}

// Choose implements locality.Group.
func (g group) Choose(r balancer.Request) (int, bool) {
	var space [2]int32
	best, least, found := 0, 0.0, false
	for _, i := range g.view.Choices(g.members, &r, space[:]) {
		if w := g.view.Work(int(i), r.Tokens); !found || w < least {
			best, least, found = int(i), w, true
		}
	}
	return best, found
}
