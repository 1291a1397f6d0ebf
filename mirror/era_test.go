package mirror

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/skylarkstep/skylarkstep/infra"
)

func itemIn(era int64, key, value string, number int64) infra.Item {
	return infra.Item{Key: key, Value: []byte(value), ModRevision: infra.NewRevision(era, number)}
}

// Guards against a copy that keeps the contents of before a restore because the
// revision of the restored store is lower, and against contents that are reported
// as changed although they are the same.
func TestNewerEraReplacesCopy(t *testing.T) {
	m := New()
	m.Load([]infra.Item{itemIn(1, "a", "x", 40), itemIn(1, "b", "x", 45), itemIn(1, "c", "x", 20)}, infra.NewRevision(1, 50))
	changed := m.Load([]infra.Item{itemIn(2, "a", "older", 30), itemIn(2, "c", "x", 20), itemIn(2, "d", "x", 31)}, infra.NewRevision(2, 32))
	require.ElementsMatch(t, []string{"a", "b", "d"}, changed)
	require.Equal(t, infra.NewRevision(2, 32), m.Revision())
	a, _ := m.Get("a")
	require.Equal(t, itemIn(2, "a", "older", 30), a)
	_, ok := m.Get("b")
	require.False(t, ok)
}

// Guards against changes of an older era that arrive late, and against changes of a
// newer era that are mixed with the contents of the older one.
func TestChangesOfOtherErasAreIgnored(t *testing.T) {
	for name, era := range map[string]int64{"older": 1, "newer": 3} {
		t.Run(name, func(t *testing.T) {
			m := New()
			m.Load([]infra.Item{itemIn(2, "a", "x", 30)}, infra.NewRevision(2, 32))
			require.Empty(t, m.Apply([]infra.Event{{Item: itemIn(era, "b", "x", 60)}, {Item: itemIn(era, "a", "", 61), Deleted: true}}))
			require.Empty(t, m.Merge(Delta{Revision: infra.NewRevision(era, 60), Items: []infra.Item{itemIn(era, "b", "x", 60)},
				Deleted: []Deletion{{"a", infra.NewRevision(era, 59)}}}))
			require.Equal(t, infra.NewRevision(2, 32), m.Revision())
		})
	}
	m := New()
	m.Load([]infra.Item{itemIn(2, "a", "x", 30)}, infra.NewRevision(2, 32))
	require.Empty(t, m.Load(nil, infra.NewRevision(1, 90)), "a list of an older era")
}

// Guards against a copy of an older era that receives only the latest changes of a
// newer one.
func TestDeltaToNewerEraIsFull(t *testing.T) {
	m := New()
	m.Load([]infra.Item{itemIn(2, "a", "x", 3)}, infra.NewRevision(2, 5))
	m.Apply([]infra.Event{{Item: itemIn(2, "b", "x", 6)}})
	require.True(t, m.DeltaSince(infra.NewRevision(1, 900)).Full)
	require.False(t, m.DeltaSince(infra.NewRevision(2, 5)).Full)
}

// erasModel is a store that may be restored, with all states it ever had, and the
// copies that follow it.
type erasModel struct {
	era, number int64
	states      map[int64]map[string]infra.Item // by revision
	events      []infra.Event                   // of the current era
	oldEvents   []infra.Event                   // of the era before
	copies      []*Mirror
	delayed     []Delta // on the way to some copy
}

func (s *erasModel) revision() int64 { return infra.NewRevision(s.era, s.number) }

// change writes or deletes a key.
func (s *erasModel) change(key string, deleted bool) {
	items := maps.Clone(s.states[s.revision()])
	_, exists := items[key]
	if deleted && !exists {
		return
	}
	s.number++
	it := infra.Item{Key: key, ModRevision: s.revision()}
	if deleted {
		delete(items, key)
	} else {
		it.Value = []byte{byte(s.number)}
		items[key] = it
	}
	s.states[s.revision()] = items
	s.events = append(s.events, infra.Event{Item: it, Deleted: deleted})
}

// restore returns to the state at an earlier number, in a new era.
func (s *erasModel) restore(number int64) {
	items := map[string]infra.Item{}
	for key, it := range s.states[infra.NewRevision(s.era, number)] {
		it.ModRevision = infra.NewRevision(s.era+1, infra.RevisionNumber(it.ModRevision))
		items[key] = it
	}
	s.era, s.number, s.events, s.oldEvents = s.era+1, number, nil, s.events
	s.states[s.revision()] = items
}

// follow brings a copy up to date as a watcher does: by the events after its
// revision, or by a list if it is of another era.
func (s *erasModel) follow(m *Mirror) {
	if m.Revision() == 0 || infra.Era(m.Revision()) != s.era {
		m.Load(slices.Collect(maps.Values(s.states[s.revision()])), s.revision())
		return
	}
	var events []infra.Event
	for _, e := range s.events {
		if e.Item.ModRevision > m.Revision() {
			events = append(events, e)
		}
	}
	m.Apply(events)
}

// Guards against copies that differ from the store, go back to an older state or
// mix two eras, when the store is restored and deltas of other copies arrive late
// and in any order.
func TestCopiesFollowErasOfStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &erasModel{number: 1, states: map[int64]map[string]infra.Item{}, copies: []*Mirror{New(), New(), New()}}
		s.states[s.revision()] = map[string]infra.Item{}
		started := map[int64]int64{0: 1} // first number of each era
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m := rapid.SampledFrom(s.copies).Draw(t, "copy")
			before := m.Revision()
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				s.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
			case 2:
				s.follow(m)
			case 3:
				source := rapid.SampledFrom(s.copies).Draw(t, "source")
				if d := source.DeltaSince(m.Revision()); source.Revision() > m.Revision() {
					s.delayed = append(s.delayed, d)
					m.Merge(d)
				}
			case 4:
				if len(s.delayed) > 0 {
					d := rapid.SampledFrom(s.delayed).Draw(t, "delayed")
					if d.Full || d.Revision <= m.Revision() {
						m.Merge(d)
					}
				}
			case 5:
				s.follow(m)
				m.Load(slices.Collect(maps.Values(s.states[s.revision()])), s.revision())
			case 6:
				for _, events := range [][]infra.Event{s.events, s.oldEvents} {
					if len(events) > 0 && infra.Era(events[0].Item.ModRevision) != infra.Era(m.Revision()) {
						m.Apply(events)
					}
				}
			case 7:
				s.restore(rapid.Int64Range(started[s.era], s.number).Draw(t, "number"))
				started[s.era] = s.number
			}
			require.GreaterOrEqual(t, m.Revision(), before, "the copy went back")
			if m.Revision() != 0 {
				require.Equal(t, s.states[m.Revision()], m.items, "the copy differs from the store at revision %d of era %d", infra.RevisionNumber(m.Revision()), infra.Era(m.Revision()))
			}
		}
		for _, m := range s.copies {
			s.follow(m)
			require.Equal(t, s.states[s.revision()], m.items)
		}
	})
}
