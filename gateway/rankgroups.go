package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/routing/quarantine"
)

// rankMember is a rank of a group, as its record in the store describes it.
type rankMember struct {
	addr, group string
}

// rankGroups tells which targets are ranks of one group. They serve together: if one
// crashes, none serves until another has taken its place.
type rankGroups struct {
	byKey  map[string]rankMember // by key of the record
	byAddr map[string]string     // group by the address at which a rank receives requests
}

func newRankGroups() rankGroups {
	return rankGroups{byKey: map[string]rankMember{}, byAddr: map[string]string{}}
}

// set records a changed record, or a deleted one if the member is zero.
func (r *rankGroups) set(key string, m rankMember) {
	if old, ok := r.byKey[key]; ok && r.byAddr[old.addr] == old.group {
		delete(r.byAddr, old.addr)
	}
	if m == (rankMember{}) {
		delete(r.byKey, key)
		return
	}
	r.byKey[key] = m
	r.byAddr[m.addr] = m.group
}

// applyRankRecord applies a changed or deleted item if it is the record of a rank.
func (c *control) applyRankRecord(key string, value []byte, exists bool) {
	if !exists {
		c.groups.set(key, rankMember{})
		return
	}
	if c.g.opts.DecodeRank == nil {
		return
	}
	if addr, group, ok := c.g.opts.DecodeRank(key, value); ok {
		c.groups.set(key, rankMember{addr: addr, group: group})
	}
}

// targetCrashed keeps requests from the group of a crashed target, whichever instance
// has reported the crash. If the back end has no other group, that is an outage.
func (c *control) targetCrashed(id quarantine.CrashID, now time.Time) {
	t := c.targets[id.Target]
	if t == nil || t.Incarnation != id.Incarnation {
		return
	}
	group := c.groups.byAddr[t.Addr]
	if group == "" {
		return
	}
	hasOther := false
	var members []*target
	for _, other := range c.targets {
		if other.Backend != t.Backend {
			continue
		}
		if c.groups.byAddr[other.Addr] == group {
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
