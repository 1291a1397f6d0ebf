package mirror

import (
	"bytes"
	"maps"
	"slices"

	"github.com/skylarkstep/skylarkstep/infra"
)

// maxRecordedDeletions limits the deletions that are recorded for other
// instances. An instance that is further behind receives the whole copy.
const maxRecordedDeletions = 4096

// Deletion is a key and the revision at which it was deleted.
type Deletion struct {
	Key      string
	Revision int64
}

// Delta holds the changes that update a copy from one revision to another.
type Delta struct {
	// Full is set if Items holds all items, so that keys that are not among
	// them have been deleted.
	Full     bool
	Revision int64
	Items    []infra.Item
	Deleted  []Deletion
}

// Mirror is a copy of the items of the store. It is not safe for concurrent
// use.
type Mirror struct {
	items     map[string]infra.Item
	deletions []Deletion
	// deletedAt holds the revision of the last recorded deletion of each key.
	deletedAt map[string]int64
	revision  int64
	// deletionsSince is the revision after which all deletions are recorded.
	deletionsSince int64
}

// New returns an empty copy at revision 0.
func New() *Mirror {
	return &Mirror{items: map[string]infra.Item{}, deletedAt: map[string]int64{}}
}

// Revision returns the revision of the store as of which the copy is complete.
func (m *Mirror) Revision() int64 { return m.revision }

// Get returns the item with the key, and whether it exists.
func (m *Mirror) Get(key string) (infra.Item, bool) {
	it, ok := m.items[key]
	return it, ok
}

// Each calls f for every item in key order.
func (m *Mirror) Each(f func(infra.Item)) {
	for _, k := range slices.Sorted(maps.Keys(m.items)) {
		f(m.items[k])
	}
}

// Load replaces the contents of the copy by a list of all items as of the
// revision, and returns the changed keys. It changes nothing if the list is
// older than the copy. A list of a newer era is newer, whatever its number.
func (m *Mirror) Load(items []infra.Item, revision int64) []string {
	return m.Merge(Delta{Full: true, Revision: revision, Items: items})
}

// Apply applies the events of a watch and returns the changed keys. It ignores
// events of another era than that of the copy: older ones are outdated, and newer
// ones need a list of the contents that the store was restored to.
func (m *Mirror) Apply(events []infra.Event) []string {
	var changed []string
	for _, e := range events {
		if e.Err != nil || e.Item.ModRevision <= 0 || !m.isOfSameEra(e.Item.ModRevision) {
			continue
		}
		if m.applyItem(e.Item, e.Deleted) {
			changed = append(changed, e.Item.Key)
		}
		m.revision = max(m.revision, e.Item.ModRevision)
	}
	return changed
}

// isOfSameEra reports whether a revision is of the era of the copy.
func (m *Mirror) isOfSameEra(revision int64) bool {
	return infra.Era(revision) == infra.Era(m.revision)
}

// applyItem stores or deletes an item unless the copy has received a newer
// change of the key. It reports whether the copy changed. The deletion of a key
// that the copy lacks is recorded too: another instance may hold the key.
func (m *Mirror) applyItem(it infra.Item, deleted bool) bool {
	old, exists := m.items[it.Key]
	if exists && old.ModRevision >= it.ModRevision || !exists && m.deletedSince(it.Key, it.ModRevision) {
		return false
	}
	if !deleted {
		m.items[it.Key] = it
		return true
	}
	delete(m.items, it.Key)
	m.recordDeletion(Deletion{it.Key, it.ModRevision})
	return exists
}

// deletedSince reports whether a key that the copy lacks was deleted at the
// revision or later. Up to deletionsSince, the copy lacks deleted keys only.
func (m *Mirror) deletedSince(key string, revision int64) bool {
	return revision <= max(m.deletedAt[key], m.deletionsSince)
}

// recordDeletion records a deletion for DeltaSince. It discards the older half
// of the records if there are too many.
func (m *Mirror) recordDeletion(d Deletion) {
	m.deletions = append(m.deletions, d)
	m.deletedAt[d.Key] = max(m.deletedAt[d.Key], d.Revision)
	if len(m.deletions) > maxRecordedDeletions {
		half := len(m.deletions) / 2
		for _, old := range m.deletions[:half] {
			m.deletionsSince = max(m.deletionsSince, old.Revision)
			if m.deletedAt[old.Key] == old.Revision {
				delete(m.deletedAt, old.Key)
			}
		}
		m.deletions = slices.Clone(m.deletions[half:])
	}
}

// DeltaSince returns the changes that a copy at the given revision lacks.
func (m *Mirror) DeltaSince(revision int64) Delta {
	d := Delta{Full: revision < m.deletionsSince, Revision: m.revision}
	for _, it := range m.items {
		if d.Full || it.ModRevision > revision {
			d.Items = append(d.Items, it)
		}
	}
	for _, del := range m.deletions {
		if !d.Full && del.Revision > revision {
			d.Deleted = append(d.Deleted, del)
		}
	}
	return d
}

// Merge applies a delta from DeltaSince, or a full list, and returns the
// changed keys. A full delta that is older than the copy changes nothing, and
// neither does a partial one of another era.
func (m *Mirror) Merge(d Delta) []string {
	switch {
	case d.Full && d.Revision < m.revision:
		return nil
	case !m.isOfSameEra(d.Revision):
		if !d.Full {
			return nil
		}
		return m.replace(d)
	}
	var changed []string
	present := map[string]bool{}
	for _, it := range d.Items {
		present[it.Key] = true
		if m.applyItem(it, false) {
			changed = append(changed, it.Key)
		}
	}
	for _, del := range d.Deleted {
		if m.applyItem(infra.Item{Key: del.Key, ModRevision: del.Revision}, true) {
			changed = append(changed, del.Key)
		}
	}
	if d.Full {
		changed = append(changed, m.deleteMissing(present, d.Revision)...)
		m.deletionsSince = max(m.deletionsSince, d.Revision)
	}
	m.revision = max(m.revision, d.Revision)
	return changed
}

// replace replaces the copy by a full delta of a newer era and returns the keys
// whose values differ. What was deleted in the older era does not matter any more.
func (m *Mirror) replace(d Delta) []string {
	former := m.items
	*m = Mirror{items: map[string]infra.Item{}, deletedAt: map[string]int64{}, revision: d.Revision, deletionsSince: d.Revision}
	var changed []string
	for _, it := range d.Items {
		m.items[it.Key] = it
		if old, exists := former[it.Key]; !exists || !bytes.Equal(old.Value, it.Value) {
			changed = append(changed, it.Key)
		}
	}
	for key := range former {
		if _, exists := m.items[key]; !exists {
			changed = append(changed, key)
		}
	}
	return changed
}

// deleteMissing deletes the items that are missing from a full list at the
// revision, unless they are newer. It returns their keys.
func (m *Mirror) deleteMissing(present map[string]bool, revision int64) []string {
	var changed []string
	for key, it := range m.items {
		if !present[key] && it.ModRevision <= revision {
			delete(m.items, key)
			m.recordDeletion(Deletion{key, revision})
			changed = append(changed, key)
		}
	}
	return changed
}
