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
	return c.view.Draw(c.candidates, &r, r.Random)
}
