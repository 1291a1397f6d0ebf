package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/routing/quarantine"
)

// rankGroups tells which targets are ranks of one group, and which instance coordinates
// it. The ranks serve together: if one crashes, none serves until another has taken its
// place.
type rankGroups struct {
	byKey        map[string]routing.RankMember // by key of the record
	byAddr       map[string]routing.RankMember // by the address at which a rank receives requests
	coordinators map[string]string             // instance by group
}

func newRankGroups() rankGroups {
	return rankGroups{byKey: map[string]routing.RankMember{}, byAddr: map[string]routing.RankMember{}, coordinators: map[string]string{}}
}

// set records a changed record, or a deleted one if the member is zero.
func (r *rankGroups) set(key string, m routing.RankMember) {
	if old, ok := r.byKey[key]; ok && r.byAddr[old.Addr].Group == old.Group {
		delete(r.byAddr, old.Addr)
	}
	if m == (routing.RankMember{}) {
		delete(r.byKey, key)
		return
	}
	r.byKey[key] = m
	r.byAddr[m.Addr] = m
}

// applyRankRecord applies a changed or deleted item if it is the record of a rank or of
// a coordinator.
func (c *control) applyRankRecord(key string, value []byte, exists bool) {
	if c.g.opts.DecodeCoordinator != nil {
		if group, instance, ok := c.g.opts.DecodeCoordinator(key, value); ok && exists {
			c.groups.coordinators[group] = instance
			return
		}
	}
	if !exists {
		c.needsPublish = c.needsPublish || c.groups.byKey[key] != (routing.RankMember{})
		c.groups.set(key, routing.RankMember{})
		return
	}
	if c.g.opts.DecodeRank == nil {
		return
	}
	if m, ok := c.g.opts.DecodeRank(key, value); ok && c.groups.byKey[key] != m {
		c.needsPublish = true
		c.groups.set(key, m)
	}
}

// targetCrashed keeps requests from the group of a crashed target, whichever instance
// has reported the crash. If the back end has no other group, that is an outage.
func (c *control) targetCrashed(id quarantine.CrashID, now time.Time) {
	t := c.targets[id.Target]
	if t == nil || t.Incarnation != id.Incarnation {
		return
	}
	group := c.groups.byAddr[t.Addr].Group
	if group == "" {
		return
	}
	hasOther := false
	var members []*target
	for _, other := range c.targets {
		if other.Backend != t.Backend {
			continue
		}
		if c.groups.byAddr[other.Addr].Group == group {
			members = append(members, other)
		} else {
			hasOther = true
		}
	}
	c.log.Info("rank group lost a rank", "target", t.ID, "group", group, "back_end", t.Backend, "ranks", len(members), "other_groups", hasOther)
	if !hasOther {
		c.g.queues.forBackend(t.Backend).recordGroupLoss(now)
		return
	}
	for _, member := range members {
		member.pauseUntil(now.Add(groupProbeDelay))
	}
}
