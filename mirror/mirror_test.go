package mirror

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/skylarkstep/skylarkstep/infra"
)

func put(key string, revision int64) infra.Event {
	return infra.Event{Item: infra.Item{Key: key, ModRevision: revision}}
}

func del(key string, revision int64) infra.Event {
	return infra.Event{Item: infra.Item{Key: key, ModRevision: revision}, Deleted: true}
}

// Guards against a copy that goes back when a list that was read earlier
// arrives after newer events.
func TestOldListChangesNothing(t *testing.T) {
	m := New()
	m.Apply([]infra.Event{put("a", 5), del("a", 6)})
	require.Empty(t, m.Load([]infra.Item{{Key: "a", ModRevision: 5}}, 5))
	_, ok := m.Get("a")
	require.False(t, ok)
	require.EqualValues(t, 6, m.Revision())
}

// Guards against a deletion that happened while no watch was open being missed.
func TestListDropsMissingKeys(t *testing.T) {
	m := New()
	m.Load([]infra.Item{{Key: "a", ModRevision: 2}, {Key: "b", ModRevision: 3}}, 4)
	require.Equal(t, []string{"a"}, m.Load([]infra.Item{{Key: "b", ModRevision: 3}}, 9))
}

// Guards against an instance that learns from another one and ends up with
// other items than the service holds.
func TestDeltasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, copied := New(), New()
		revision := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision++
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				source.Apply([]infra.Event{del(key, revision)})
			case 1:
				copied.Merge(source.DeltaSince(copied.Revision()))
			case 2:
				var all []infra.Item
				source.Each(func(it infra.Item) { all = append(all, it) })
				source.Load(all[:len(all)/2], revision)
			default:
				source.Apply([]infra.Event{put(key, revision)})
			}
		}
		copied.Merge(source.DeltaSince(copied.Revision()))
		require.Equal(t, source.items, copied.items)
	})
}
