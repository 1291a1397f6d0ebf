package gateway

import (
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
)

const (
	// restoredOutGrace is how long a data centre stays out of service if the
	// restored store does not hold its mark. Operators write lost marks again within
	// seconds. Requests to a data centre that is out of service do more harm than a
	// data centre that returns late, so this is longer than expiryGrace.
	restoredOutGrace = 10 * time.Second
	// restoredEntryGrace is how long a restored entry of a target is not applied if
	// it contradicts a later one. A target that runs writes its entry again sooner,
	// and that of one that has exited expires after three heartbeats of 1.2 s.
	restoredEntryGrace = 6 * time.Second
	// removedTargetMemory is how long removed targets are remembered. The store is
	// restored from a copy that is some seconds old.
	removedTargetMemory = time.Minute
)

// restoreState is what an instance remembers to tell the older state of a restored
// store from changes that were made after the restore.
type restoreState struct {
	// keptOut holds the data centres that were out of service before the restore
	// and are not marked in the restored store, with the end of their grace period.
	keptOut map[string]time.Time
	// unconfirmed holds the targets whose restored entries contradict later ones.
	unconfirmed map[string]unconfirmedEntry
	removed     map[string]removedTarget
}

type unconfirmedEntry struct {
	key   string
	until time.Time
}

// removedTarget is the last incarnation of a target that was removed.
type removedTarget struct {
	incarnation int64
	at          time.Time
}

func newRestoreState() restoreState {
	return restoreState{keptOut: map[string]time.Time{}, unconfirmed: map[string]unconfirmedEntry{}, removed: map[string]removedTarget{}}
}

// updateCopy updates the cached copy of the store and applies what has changed. If
// the copy has entered another era, the store was restored and holds an older
// state, which is reconciled with the newer one first.
func (c *control) updateCopy(source string, now time.Time, update func() []string) {
	before := c.mirror.Revision()
	changed := unique(update())
	c.applyInstanceRecords(changed)
	if before != 0 && infra.Era(c.mirror.Revision()) != infra.Era(before) {
		changed = c.reconcileRestore(changed, before, source, now)
	}
	c.applyChanges(changed, source, now)
}

// unique returns the keys without repetitions. A batch may hold several versions of an
// item, of which only the last one is applied.
func unique(keys []string) []string {
	slices.Sort(keys)
	return slices.Compact(keys)
}

// reconcileRestore returns the changes of a restored store that are applied now.
// The others wait until the operator or the targets write again.
func (c *control) reconcileRestore(changed []string, before int64, source string, now time.Time) []string {
	// Leases of targets may expire early after a restore, as after an outage.
	c.lastStoreOutage, c.storeRecoveredAt = now, now
	var applied []string
	for _, key := range changed {
		if !c.keepAcrossRestore(key, now) {
			applied = append(applied, key)
		}
	}
	c.g.metrics.storeRestores.Inc(1)
	c.log.Warn("key-value service restored from an older copy", "old_era", infra.Era(before), "era", infra.Era(c.mirror.Revision()),
		"old_revision", infra.RevisionNumber(before), "revision", infra.RevisionNumber(c.mirror.Revision()), "source", source,
		"changed", len(changed), "kept", len(changed)-len(applied), "expired", len(c.expired),
		"unconfirmed", len(c.unconfirmed), "kept_out", len(c.keptOut), "version", c.configVersion())
	return applied
}

// keepAcrossRestore reports whether the current state of a key is kept although the
// restored store holds another one.
func (c *control) keepAcrossRestore(key string, now time.Time) bool {
	it, exists := c.mirror.Get(key)
	if id, ok := c.g.decoder.TargetID(key); ok {
		switch {
		case exists && c.contradictsLaterEntry(id, it):
			c.unconfirmed[id] = unconfirmedEntry{key, now.Add(restoredEntryGrace)}
			return true
		case !exists && c.targets[id] != nil:
			c.expired[id] = now
			return true
		}
		return false
	}
	dc, ok := c.g.decoder.DataCentreOut(key)
	if ok && !exists {
		c.keptOut[dc] = now.Add(restoredOutGrace)
	}
	return ok && !exists
}

// contradictsLaterEntry reports whether a restored entry would bring back a target
// that has left, an earlier incarnation, or a target that is leaving.
func (c *control) contradictsLaterEntry(id string, it infra.Item) bool {
	t := c.targets[id]
	entry, err := c.g.decoder.Target(id, it.Value)
	if err != nil {
		return t != nil
	}
	if t == nil {
		removed, ok := c.removed[id]
		return ok && entry.Incarnation <= removed.incarnation
	}
	return entry.Incarnation < t.Incarnation || entry.Incarnation == t.Incarnation && t.Leaving && !entry.Leaving
}

// rememberRemoved records that a target was removed.
func (c *control) rememberRemoved(id string, incarnation int64, now time.Time) {
	c.removed[id] = removedTarget{max(incarnation, c.removed[id].incarnation), now}
}

// endGracePeriods applies the state of the restored store that nobody has changed
// in its grace period.
func (c *control) endGracePeriods(now time.Time) {
	for dc, until := range c.keptOut {
		if now.After(until) {
			delete(c.keptOut, dc)
			c.needsPublish = true
			c.log.Warn("data centre changed", "data_centre", dc, "out", false, "reason", "not written again after the restore")
		}
	}
	for id, e := range c.unconfirmed {
		if !now.After(e.until) {
			continue
		}
		delete(c.unconfirmed, id)
		if it, exists := c.mirror.Get(e.key); exists {
			c.applyTarget(id, it, true, "restored store", now)
		}
	}
	for id, r := range c.removed {
		if now.Sub(r.at) > removedTargetMemory {
			delete(c.removed, id)
		}
	}
}
