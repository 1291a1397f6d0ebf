package mirror

import (
	"maps"
	"slices"

	"github.com/skylarkstep/skylarkstep/infra"
)

// maxDeletions bounds the deletions that are remembered for other instances.
// One that is further behind gets the whole copy.
const maxDeletions = 4096

// Deletion is a key that was removed at a revision.
type Deletion struct {
	Key      string
	Revision int64
}

// Delta brings a copy from one revision to another.
type Delta struct {
	// Full deltas hold all items, so that missing keys are deleted ones.
	Full     bool
	Revision int64
	Items    []infra.Item
	Deleted  []Deletion
}

// Mirror is a copy of the service's items. It is not safe for concurrent use.
type Mirror struct {
	items    map[string]infra.Item
	deleted  []Deletion
	revision int64
	// floor is the revision up to which deletions are not remembered.
	floor int64
}

// New returns an empty copy at revision 0.
func New() *Mirror { return &Mirror{items: map[string]infra.Item{}} }

// Revision returns the revision of the service up to which the copy is complete.
func (m *Mirror) Revision() int64 { return m.revision }

// Get returns the item of a key.
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

// Load replaces the copy by a list of all items that is complete as of the
// revision. It returns the changed keys, and nothing if the list is older than
// the copy.
func (m *Mirror) Load(items []infra.Item, revision int64) []string {
	return m.Merge(Delta{Full: true, Revision: revision, Items: items})
}

// Apply takes in the events of a watch and returns the changed keys.
func (m *Mirror) Apply(events []infra.Event) []string {
	var changed []string
	for _, e := range events {
		if e.Err != nil || e.Item.ModRevision <= 0 {
			continue
		}
		if m.apply(e.Item, e.Deleted) {
			changed = append(changed, e.Item.Key)
		}
		m.revision = max(m.revision, e.Item.ModRevision)
	}
	return changed
}

func (m *Mirror) apply(it infra.Item, deleted bool) bool {
	old, exists := m.items[it.Key]
	if exists && old.ModRevision >= it.ModRevision {
		return false
	}
	if !deleted {
		m.items[it.Key] = it
		return true
	}
	if !exists {
		return false
	}
	delete(m.items, it.Key)
	m.remember(Deletion{it.Key, it.ModRevision})
	return true
}

func (m *Mirror) remember(d Deletion) {
	m.deleted = append(m.deleted, d)
	if len(m.deleted) > maxDeletions {
		cut := len(m.deleted) / 2
		for _, old := range m.deleted[:cut] {
			m.floor = max(m.floor, old.Revision)
		}
		m.deleted = slices.Clone(m.deleted[cut:])
	}
}

// DeltaSince returns what another copy at the given revision lacks.
func (m *Mirror) DeltaSince(revision int64) Delta {
	d := Delta{Full: revision < m.floor, Revision: m.revision}
	for _, it := range m.items {
		if d.Full || it.ModRevision > revision {
			d.Items = append(d.Items, it)
		}
	}
	for _, del := range m.deleted {
		if !d.Full && del.Revision > revision {
			d.Deleted = append(d.Deleted, del)
		}
	}
	return d
}

// Merge takes in the answer to Since, or a full list, and returns the changed
// keys. A full delta that is older than the copy changes nothing.
func (m *Mirror) Merge(d Delta) []string {
	if d.Full && d.Revision < m.revision {
		return nil
	}
	var changed []string
	present := map[string]bool{}
	for _, it := range d.Items {
		present[it.Key] = true
		if m.apply(it, false) {
			changed = append(changed, it.Key)
		}
	}
	for _, del := range d.Deleted {
		if m.apply(infra.Item{Key: del.Key, ModRevision: del.Revision}, true) {
			changed = append(changed, del.Key)
		}
	}
	if d.Full {
		changed = append(changed, m.dropMissing(present, d.Revision)...)
		m.floor = max(m.floor, d.Revision)
	}
	m.revision = max(m.revision, d.Revision)
	return changed
}

// dropMissing removes the items that a full list at the revision lacks.
func (m *Mirror) dropMissing(present map[string]bool, revision int64) []string {
	var changed []string
	for key, it := range m.items {
		if !present[key] && it.ModRevision <= revision {
			delete(m.items, key)
			m.remember(Deletion{key, revision})
			changed = append(changed, key)
		}
	}
	return changed
}
