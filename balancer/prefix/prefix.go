package prefix

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/leastload"
	"github.com/skylarkstep/skylarkstep/balancer/locality"
)

const (
	// imbalance is the load, over the mean, that a popular prefix may cause.
	imbalance = 1.25
	// probes are the hashes of a prefix. More of them spread the prefixes more
	// evenly and cost one search each.
	probes = 5
	// maxWalk bounds the targets on the ring that are tried for one request.
	maxWalk = 3
)

// Builder builds pickers that keep prefixes together.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return "prefix" }

// Build implements balancer.Builder.
func (Builder) Build(s balancer.Snapshot) balancer.Picker {
	return locality.Build(s, newGroup)
}

type point struct {
	hash uint64
	i    int32
}

type group struct {
	view     *balancer.View
	ring     []point
	mean     float64
	fallback locality.Group
}

func newGroup(v *balancer.View, members []int32) locality.Group {
	g := &group{view: v, ring: make([]point, len(members)), fallback: leastload.NewGroup(v, members)}
	for k, i := range members {
		g.ring[k] = point{hashName(v.Targets[i].Name), i}
	}
	slices.SortFunc(g.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	g.mean = v.MeanLoad(members)
	return g
}

// hashName is FNV-1a with a final mix, since the names differ in few bytes.
func hashName(name string) uint64 {
	h := uint64(14695981039346656037)
	for k := range len(name) {
		h = (h ^ uint64(name[k])) * 1099511628211
	}
	return balancer.Mix(h)
}

// Choose implements locality.Group.
func (g *group) Choose(r balancer.Request) (int, bool) {
	if r.PrefixHash == 0 || len(g.ring) == 0 {
		return g.fallback.Choose(r)
	}
	at := g.owner(r.PrefixHash)
	for k := range min(maxWalk, len(g.ring)) {
		i := int(g.ring[(at+k)%len(g.ring)].i)
		t := &g.view.Targets[i]
		if !t.Slow && !g.view.Slower(i) && r.Usable(t) && g.withinCap(i) {
			return i, true
		}
	}
	return g.fallback.Choose(r)
}

func (g *group) withinCap(i int) bool {
	return g.view.Requests(i) <= imbalance*g.mean*g.view.Capacity(i)+1
}

// owner returns the ring position nearest to one of the hashes of the prefix.
func (g *group) owner(prefix uint64) int {
	best, nearest := 0, uint64(math.MaxUint64)
	for range probes {
		prefix = balancer.Mix(prefix)
		h := prefix
		k := sort.Search(len(g.ring), func(k int) bool { return g.ring[k].hash >= h })
		k %= len(g.ring)
		if d := g.ring[k].hash - h; d < nearest {
			best, nearest = k, d
		}
	}
	return best
}
