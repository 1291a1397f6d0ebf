package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
)

// applyTarget applies a changed or deleted entry of a target.
func (c *control) applyTarget(id string, it infra.Item, exists bool, source string, now time.Time) {
	c.needsPublish = true
	delete(c.unconfirmed, id)
	if !exists {
		c.applyTargetDeletion(id, now)
		return
	}
	entry, err := c.g.decoder.Target(id, it.Value)
	if err != nil {
		c.recordUnreadable(id, it, err)
		c.removeTarget(id, "unreadable entry")
		return
	}
	delete(c.expired, id)
	delete(c.unreadable, id)
	current := c.targets[id]
	if current == nil || current.Incarnation != entry.Incarnation || current.Addr != entry.Addr || current.Backend != entry.Backend {
		c.removeTarget(id, "new incarnation")
		current = newTarget(entry)
		c.targets[id] = current
		c.g.queues.recordTarget(entry.Backend)
		c.log.Info("target appeared", "target", id, "back_end", entry.Backend, "addr", entry.Addr, "data_centre", entry.DataCentre,
			"cold_ms", entry.WarmUpRemaining.Milliseconds(), "leaving", entry.Leaving, "source", source)
	} else if current.Leaving != entry.Leaving {
		c.log.Info("target state changed", "target", id, "leaving", entry.Leaving, "revision", infra.RevisionNumber(it.ModRevision), "source", source)
	}
	if entry.WarmUpRemaining > 0 {
		current.warmUpUntil.Store(monotonic(now.Add(entry.WarmUpRemaining)))
	}
	c.targets[id] = &target{Target: entry, targetState: current.targetState}
}

// maxUnreadable bounds the entries that are remembered as not readable.
const maxUnreadable = 1000

// recordUnreadable logs an entry that is not readable, once until it can be read again or
// is deleted: its writer may renew it many times.
func (c *control) recordUnreadable(id string, it infra.Item, err error) {
	if c.unreadable[id] {
		return
	}
	if len(c.unreadable) < maxUnreadable {
		c.unreadable[id] = true
	}
	c.log.Warn("target entry not readable", "target", id, "revision", infra.RevisionNumber(it.ModRevision), "error", err.Error())
}

// applyTargetDeletion handles a deleted entry of a target. If the store has had
// an outage recently, the entry may have expired although the target is
// running, so the target is kept for a grace period.
func (c *control) applyTargetDeletion(id string, now time.Time) {
	delete(c.unreadable, id)
	t := c.targets[id]
	if t == nil {
		return
	}
	if !t.Leaving && now.Sub(c.lastStoreOutage) < storeOutageMemory {
		c.expired[id] = now
		c.log.Warn("target entry lapsed", "target", id, "trouble_age_ms", now.Sub(c.lastStoreOutage).Milliseconds())
		return
	}
	c.removeTarget(id, "entry removed")
}

func (c *control) removeTarget(id, reason string) {
	delete(c.expired, id)
	t := c.targets[id]
	if t == nil {
		return
	}
	delete(c.targets, id)
	c.crashes.ConfirmLosses(t.crashID(), t.isLeaving(), time.Now())
	c.rememberRemoved(id, t.Incarnation, time.Now())
	t.pool.Close()
	c.g.heldPrompts.remove(t.Backend, id)
	c.log.Info("target removed", "target", id, "back_end", t.Backend, "reason", reason)
}

// removeExpired removes targets whose entries have not reappeared in time.
func (c *control) removeExpired(now time.Time) {
	for id, deletedAt := range c.expired {
		if c.storeReachable && now.Sub(c.storeRecoveredAt) > expiryGrace && now.Sub(deletedAt) > expiryGrace {
			c.removeTarget(id, "entry not back")
			c.needsPublish = true
		}
	}
}

// targetByAddr returns the target that is used at each address. The entry of a crashed
// target remains for a while beside that of its successor, and an entry of another writer
// may have the address of a target.
func (c *control) targetByAddr() map[string]*target {
	used := map[string]*target{}
	for _, t := range c.targets {
		if o := used[t.Addr]; o == nil || t.isPreferredTo(o) {
			used[t.Addr] = t
		}
	}
	for _, r := range c.instances {
		delete(used, r.CallerAddr) // requests would come back to the system
		delete(used, r.PeerAddr)
	}
	delete(used, c.g.opts.CallerAddr)
	delete(used, c.g.opts.PeerAddr)
	return used
}

// isPreferredTo reports whether a target is used rather than another one with the same
// address: one that has not been found to be elsewhere, or else the one that started
// last.
func (t *target) isPreferredTo(o *target) bool {
	if elsewhere := t.misdirected.Load(); elsewhere != o.misdirected.Load() {
		return !elsewhere
	}
	return t.Incarnation > o.Incarnation || t.Incarnation == o.Incarnation && t.ID > o.ID
}
