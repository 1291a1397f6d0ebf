package ranks

import (
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/expertmap/plan"
	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// versionsPerTerm is the number of map versions reserved for each term. Later
	// terms have higher fencing numbers (lease.FencingNumber), so they have higher
	// versions.
	versionsPerTerm = 1_000_000
	// maxMapFencing is the highest fencing number whose map versions are below
	// 2^53. Readers of JSON may round larger numbers, so that two maps would have
	// the same version.
	maxMapFencing = (1<<53-1)/versionsPerTerm - 1
	// versionsExhaustedDelay is the pause before the next attempt to plan a map in a
	// term without versions.
	versionsExhaustedDelay = time.Minute
)

// mapVersion returns the version of a map by its number in a term, or false if the
// term has no version left for it.
func mapVersion(fencing, number uint64) (uint64, bool) {
	if fencing > maxMapFencing || number >= versionsPerTerm {
		return 0, false
	}
	return fencing*versionsPerTerm + number, true
}

// claimVersion returns a version that no map has: maps are counted from 1.
func claimVersion(fencing uint64) uint64 { return fencing * versionsPerTerm }

// updateCurrentMap records which map the ranks use, once all report the same. A
// map that this coordinator did not plan is assembled from their placements.
func (c *coordinator) updateCurrentMap(reports []Report, states []switchover.State) {
	if len(states) == 0 || !allOnSameMap(states) {
		return
	}
	version := states[0].MapVersion
	switch {
	case c.mapKnown && version == c.currentVersion:
	case c.plan.Version != 0 && version == c.plan.Version:
		c.currentMap, c.currentVersion, c.mapKnown = c.plan.Map, version, true
		c.loadTracker.MapChanged(time.Now())
	default:
		c.mapKnown = false
		if m, ok := assembleMap(reports, c.shape); ok {
			c.currentMap, c.currentVersion, c.mapKnown = m, version, true
			c.plan = switchover.Plan{}
		}
	}
}

func allOnSameMap(states []switchover.State) bool {
	for _, s := range states {
		if !s.Reported || s.MapVersion != states[0].MapVersion || s.Epoch != states[0].Epoch {
			return false
		}
	}
	return true
}

// assembleMap builds the map of the group from the placements that the ranks
// report. It fails if a placement does not fit the shape, for instance because
// the configuration has changed.
func assembleMap(reports []Report, shape *routing.ExpertShape) (switchover.Map, bool) {
	m := make(switchover.Map, shape.Sets)
	for _, r := range reports {
		if len(r.Placement) != shape.Sets {
			return nil, false
		}
		for s, experts := range r.Placement {
			if slices.ContainsFunc(experts, func(e int) bool { return e < 0 || e >= shape.Experts }) {
				return nil, false
			}
			m[s] = append(m[s], experts)
		}
	}
	return m, true
}

// replan plans a better map if no switch is in progress.
func (c *coordinator) replan(states []switchover.State, now time.Time) {
	if c.stopping {
		c.plan = switchover.Plan{}
		return
	}
	if !c.mapKnown || len(states) == 0 || now.Before(c.noPlanUntil) {
		return
	}
	if c.plan.Version != 0 && c.plan.Version != c.currentVersion {
		return // a switch is in progress
	}
	planned, _ := c.maps.planned(c.fencing)
	version, ok := mapVersion(c.fencing, planned+1)
	if !ok {
		c.log.Error("no map version left in this term", "fencing", c.fencing, "maps", planned)
		c.noPlanUntil = now.Add(versionsExhaustedDelay)
		return
	}
	proposal, ok := c.loadTracker.Propose(c.currentMap, c.planLimits(), now)
	if !ok {
		return
	}
	c.maps.add()
	c.plan = switchover.Plan{Version: version, Map: proposal.Map, HoldRank: int(planned + 1)}
	c.log.Info("map planned", "version", c.plan.Version, "peak", proposal.MaxRankLoad, "planned_peak", proposal.PlannedMaxRankLoad, "copies", proposal.Copies,
		"choices", c.loadTracker.Activations())
}

// usualSwitchTime is the time from when all ranks have copied their experts until the
// map is in use.
const usualSwitchTime = 200 * time.Millisecond

// planLimits returns what restricts a change of the map.
func (c *coordinator) planLimits() plan.Limits {
	return plan.Limits{
		SlotsPerRank: c.shape.SlotsPerRank, NewPerRank: c.shape.MaxNewPerRank, Slowdowns: c.slowdowns,
		CopyTime: c.shape.CopyTime, SwitchTime: usualSwitchTime,
	}
}

// observeCounts passes the reported counts to the load tracker.
func (c *coordinator) observeCounts(reports []Report, now time.Time) {
	var samples []plan.Sample
	for _, r := range reports {
		if len(r.Counts) > 0 {
			samples = append(samples, plan.Sample{Rank: r.Rank, StartedAtMs: r.StartedAtMs, Counts: r.Counts})
		}
	}
	if len(samples) > 0 {
		c.loadTracker.Observe(samples, now)
	}
}
