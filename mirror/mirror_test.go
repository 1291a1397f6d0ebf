package mirror

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/skylarkstep/skylarkstep/infra"
)

func putEvent(key string, revision int64) infra.Event {
	return infra.Event{Item: infra.Item{Key: key, ModRevision: revision}}
}

func deleteEvent(key string, revision int64) infra.Event {
	return infra.Event{Item: infra.Item{Key: key, ModRevision: revision}, Deleted: true}
}

// Guards against a copy that reverts to older contents when a list arrives
// after newer events.
func TestOldListChangesNothing(t *testing.T) {
	m := New()
	m.Apply([]infra.Event{putEvent("a", 5), deleteEvent("a", 6)})
	require.Empty(t, m.Load([]infra.Item{{Key: "a", ModRevision: 5}}, 5))
	_, ok := m.Get("a")
	require.False(t, ok)
	require.EqualValues(t, 6, m.Revision())
}

// Guards against an older delta of another instance that arrives after a newer one
// and brings a deleted key back.
func TestOldDeltaBringsNothingBack(t *testing.T) {
	m := New()
	m.Merge(Delta{Revision: 6, Items: []infra.Item{{Key: "b", ModRevision: 4}}, Deleted: []Deletion{{"a", 6}}})
	require.Empty(t, m.Merge(Delta{Revision: 5, Items: []infra.Item{{Key: "a", ModRevision: 5}}}))
	_, ok := m.Get("a")
	require.False(t, ok)
	require.Equal(t, []string{"a"}, m.Merge(Delta{Revision: 7, Items: []infra.Item{{Key: "a", ModRevision: 7}}}), "written again later")
}

// Guards against an older delta that brings back a key which a list did not hold,
// so that no deletion is recorded for it.
func TestOldDeltaBringsNothingBackAfterList(t *testing.T) {
	m := New()
	m.Load([]infra.Item{{Key: "b", ModRevision: 4}}, 6)
	require.Empty(t, m.Merge(Delta{Revision: 5, Items: []infra.Item{{Key: "a", ModRevision: 5}}}))
}

// Guards against a replica that keeps a key because its source received the
// deletion of a key that it did not hold and recorded nothing.
func TestDeletionOfUnknownKeyIsPassedOn(t *testing.T) {
	source, replica := New(), New()
	source.Load(nil, 4)
	replica.Load([]infra.Item{{Key: "a", ModRevision: 5}}, 4) // a page that was read after the key was written
	source.Apply([]infra.Event{deleteEvent("a", 6)})
	replica.Merge(source.DeltaSince(replica.Revision()))
	_, ok := replica.Get("a")
	require.False(t, ok)
}

// Guards against missing a deletion that occurred while no watch was open.
func TestListDropsMissingKeys(t *testing.T) {
	m := New()
	m.Load([]infra.Item{{Key: "a", ModRevision: 2}, {Key: "b", ModRevision: 3}}, 4)
	require.Equal(t, []string{"a"}, m.Load([]infra.Item{{Key: "b", ModRevision: 3}}, 9))
}

// Guards against a copy that is updated from another copy and then holds other
// items.
func TestDeltasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, replica := New(), New()
		revision := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision++
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				source.Apply([]infra.Event{deleteEvent(key, revision)})
			case 1:
				replica.Merge(source.DeltaSince(replica.Revision()))
			case 2:
				var all []infra.Item
				source.Each(func(it infra.Item) { all = append(all, it) })
				source.Load(all[:len(all)/2], revision)
			default:
				source.Apply([]infra.Event{putEvent(key, revision)})
			}
		}
		replica.Merge(source.DeltaSince(replica.Revision()))
		require.Equal(t, source.items, replica.items)
	})
}
