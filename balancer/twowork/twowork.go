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
func (Builder) Build(s balancer.Snapshot) balancer.Picker { return locality.Build(s, NewChooser) }

// NewChooser returns a chooser that applies the policy to the candidates.
func NewChooser(v *balancer.View, candidates []int32) locality.Chooser { return chooser{v, candidates} }

type chooser struct {
	view       *balancer.View
	candidates []int32
}

// Choose implements locality.Chooser.
func (c chooser) Choose(r balancer.Request) (int, bool) {
	var buffer [2]int32
	best, least, found := 0, 0.0, false
	for _, i := range c.view.DrawDistinct(c.candidates, &r, buffer[:]) {
		if w := c.view.WorkTime(int(i), r.Tokens); !found || w < least {
			best, least, found = int(i), w, true
		}
	}
	return best, found
}
