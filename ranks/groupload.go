package ranks

import (
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
)

// reportLoad passes the load of the group to onLoad. Without a report of any rank
// nothing is known of it.
func (c *coordinator) reportLoad(reports []Report, asOf time.Time) {
	if c.onLoad == nil || !slices.ContainsFunc(reports, func(r Report) bool { return r.State.Reported }) {
		return
	}
	if len(c.rankLoads) != len(reports) {
		c.rankLoads = make([]routing.RankLoad, len(reports))
	}
	open, step := true, uint64(0)
	for i, r := range reports {
		if r.State.Reported {
			c.rankLoads[i] = routing.RankLoad{Running: r.Running, Waiting: r.Waiting}
			open, step = open && r.State.Open, max(step, r.State.Step)
		}
	}
	load := routing.GroupLoad{
		Group: c.links.group, Backend: c.links.backend, AsOf: asOf, Step: step, Open: open, Ranks: slices.Clone(c.rankLoads),
		Imbalance: c.imbalance(), Slowdown: 1,
	}
	for _, s := range c.slowdowns {
		load.Slowdown = max(load.Slowdown, s)
	}
	c.onLoad(&load)
}

// imbalance returns the load of the most loaded rank relative to the mean; 1 if the map
// in use is not known.
func (c *coordinator) imbalance() float64 {
	if !c.mapKnown {
		return 1
	}
	return c.loadTracker.Imbalance(c.currentMap, c.planLimits())
}
