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
	// maxImbalance is the load that a popular prefix may cause, relative to the mean
	// load.
	maxImbalance = 1.25
	// probesPerPrefix is the number of hashes of a prefix. More of them spread the
	// prefixes more evenly and cost one search each.
	probesPerPrefix = 5
	// maxRingTargets limits the targets on the ring that are tried for one request.
	maxRingTargets = 3
)

// Builder builds pickers that send equal prefixes to the same target.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return "prefix" }

// Build implements balancer.Builder.
func (Builder) Build(s balancer.Snapshot) balancer.Picker {
	return locality.Build(s, newChooser)
}

type ringPoint struct {
	hash   uint64
	target int32
}

type chooser struct {
	view     *balancer.View
	ring     []ringPoint
	meanLoad float64
	fallback locality.Chooser
}

func newChooser(v *balancer.View, candidates []int32) locality.Chooser {
	c := &chooser{view: v, ring: make([]ringPoint, len(candidates)), fallback: leastload.NewChooser(v, candidates)}
	for k, i := range candidates {
		c.ring[k] = ringPoint{hashName(v.Targets[i].Name), i}
	}
	slices.SortFunc(c.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	c.meanLoad = v.MeanLoad(candidates)
	return c
}

// hashName returns the FNV-1a hash of the name with a final mix. Without the mix,
// names that differ in few bytes would have similar hashes.
func hashName(name string) uint64 {
	h := uint64(14695981039346656037)
	for k := range len(name) {
		h = (h ^ uint64(name[k])) * 1099511628211
	}
	return balancer.Mix(h)
}

// Choose implements locality.Chooser.
func (c *chooser) Choose(r balancer.Request) (int, bool) {
	if r.PrefixHash == 0 || len(c.ring) == 0 {
		return c.fallback.Choose(r)
	}
	at := c.ringOwner(r.PrefixHash)
	for k := range min(maxRingTargets, len(c.ring)) {
		i := int(c.ring[(at+k)%len(c.ring)].target)
		t := &c.view.Targets[i]
		if !t.Slow && !c.view.SlowerThanMean(i) && r.Usable(t) && c.withinCap(i) {
			return i, true
		}
	}
	return c.fallback.Choose(r)
}

// withinCap reports whether the load of target i is at most the cap.
func (c *chooser) withinCap(i int) bool {
	return c.view.Requests(i) <= maxImbalance*c.meanLoad*c.view.Capacity(i)+1
}

// ringOwner returns the ring position that follows one of the hashes of the prefix
// at the smallest distance.
func (c *chooser) ringOwner(prefix uint64) int {
	best, nearest := 0, uint64(math.MaxUint64)
	for range probesPerPrefix {
		prefix = balancer.Mix(prefix)
		h := prefix
		k := sort.Search(len(c.ring), func(k int) bool { return c.ring[k].hash >= h })
		k %= len(c.ring)
		if d := c.ring[k].hash - h; d < nearest {
			best, nearest = k, d
		}
	}
	return best
}
