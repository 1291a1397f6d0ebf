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
	var buffer [2]int32
	best, found := 0, false
	for _, i := range c.view.DrawDistinct(c.candidates, &r, buffer[:]) {
		if !found || c.view.Load(int(i)) < c.view.Load(best) {
			best, found = int(i), true
		}
	}
	return best, found
}
