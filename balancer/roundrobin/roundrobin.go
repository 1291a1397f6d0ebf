package roundrobin

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/locality"
)

// Builder builds pickers that go through the targets in turn, each from a different
// position.
type Builder struct {
	position *atomic.Uint64
}

// New returns a builder that starts at a random position.
func New(random *rand.Rand) Builder {
	b := Builder{&atomic.Uint64{}}
	b.position.Store(random.Uint64())
	return b
}

// Name implements balancer.Builder.
func (Builder) Name() string { return "round_robin" }

// Build implements balancer.Builder.
func (b Builder) Build(s balancer.Snapshot) balancer.Picker {
	return locality.Build(s, func(v *balancer.View, candidates []int32) locality.Chooser {
		// The local and the remote targets have a position each. With a shared one, a
		// request that considers both would skip local targets.
		// The multiplication spreads the start positions of successive choosers.
		position := &atomic.Uint64{}
		position.Store(b.position.Add(1) * 0x9e3779b97f4a7c15 >> 32)
		return chooser{v, candidates, position}
	})
}

type chooser struct {
	view       *balancer.View
	candidates []int32
	position   *atomic.Uint64
}

// Choose implements locality.Chooser.
func (c chooser) Choose(r balancer.Request) (int, bool) {
	n := uint64(len(c.candidates))
	for range c.candidates {
		i := int(c.candidates[c.position.Add(1)%n])
		if t := &c.view.Targets[i]; !t.Slow && r.Usable(t) {
			return i, true
		}
	}
	return c.view.Draw(c.candidates, &r, r.Random)
}
