package ranks

import (
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
)

// unresponsiveAfter is the time without a reply, of the agent or of the rank itself,
// after which a rank counts as unresponsive: that of a query whose reply is lost.
const unresponsiveAfter = agentQueryTimeout + 50*time.Millisecond

// pauseOfRounds is the time between two rounds from which on this process was paused, or
// has coordinated anew. Its sessions may have timed out meanwhile, so that ranks that
// do not reply at once are asked once more.
const pauseOfRounds = time.Second

// reportLoad passes the load of the group to onLoad. Without a report of any rank
// nothing is known of it.
func (c *coordinator) reportLoad(reports []Report, asOf, now time.Time) {
	if c.onLoad == nil || !slices.ContainsFunc(reports, func(r Report) bool { return r.State.Reported }) {
		return
	}
	c.recordRankLoads(reports, asOf, now)
	open, step := true, uint64(0)
	for _, r := range reports {
		if r.State.Reported {
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

// recordRankLoads records what the ranks have replied in a round that began at asOf, and
// which have not replied.
func (c *coordinator) recordRankLoads(reports []Report, asOf, now time.Time) {
	if len(c.rankLoads) != len(reports) {
		c.rankLoads, c.rankRepliedAt = make([]routing.RankLoad, len(reports)), make([]time.Time, len(reports))
	}
	wasPaused := now.Sub(c.loadRecordedAt) > pauseOfRounds
	c.loadRecordedAt = now
	for i, r := range reports {
		if r.State.Reported {
			c.rankLoads[i] = routing.RankLoad{Running: r.Running, Waiting: r.Waiting}
		}
		if r.State.Reported || wasPaused {
			c.rankRepliedAt[i] = asOf
		}
		c.rankLoads[i].Unresponsive = !r.State.Reported && !wasPaused && now.Sub(c.rankRepliedAt[i]) > unresponsiveAfter
	}
}

// imbalance returns the load of the most loaded rank relative to the mean; 1 if the map
// in use is not known.
func (c *coordinator) imbalance() float64 {
	if !c.mapKnown {
		return 1
	}
	return c.loadTracker.Imbalance(c.currentMap, c.planLimits())
}
