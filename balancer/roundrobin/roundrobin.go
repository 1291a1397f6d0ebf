package roundrobin

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/locality"
)

// Builder builds pickers that go through the targets in turn, each from
// another position.
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
	return locality.Build(s, func(v *balancer.View, members []int32) locality.Group {
		// Each group has its own position. With a shared one, a request that looks
		// at both groups would skip local targets.
		position := &atomic.Uint64{}
		position.Store(b.position.Add(1) * 0x9e3779b97f4a7c15 >> 32)
		return group{v, members, position}
	})
}

type group struct {
	view     *balancer.View
	members  []int32
	position *atomic.Uint64
}

// Choose implements locality.Group.
func (g group) Choose(r balancer.Request) (int, bool) {
	n := uint64(len(g.members))
	for range g.members {
		i := int(g.members[g.position.Add(1)%n])
		if t := &g.view.Targets[i]; !t.Slow && r.Usable(t) {
			return i, true
		}
	}
	return g.view.Draw(g.members, &r, r.Random)
}
