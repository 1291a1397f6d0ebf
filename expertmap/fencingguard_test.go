package expertmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two faults that only the larger searches reach: a late message
// of an earlier round of the same coordinator, and a restarted guard that lets
// a paused coordinator decide after its successor has queried the ranks.
func TestFencingGuard(t *testing.T) {
	t.Run("an earlier round is refused", func(t *testing.T) {
		g := FencingGuard{}
		_, ok := g.Admit(Message{Kind: Query, Fencing: 1, Round: 2})
		require.True(t, ok)
		refusal, ok := g.Admit(Message{Kind: Abort, Fencing: 1, Round: 1})
		require.False(t, ok)
		c := NewCoordinator(1, 1, oldMap)
		c.Handle(refusal)
		require.NotEqual(t, Superseded, c.Phase(), "a coordinator must not be superseded by itself")
	})
	t.Run("a restarted guard passes no decision", func(t *testing.T) {
		r := newModelState(1, budget{}).nodes[0].rank
		w := Switch{Map: MapID{Version: 2}, Step: 3}
		r.Handle(Message{Kind: Prepare, Incarnation: 1, Generation: Generation{1, 1}, Switch: w})
		r.MapLoaded(w.Map)
		g := FencingGuard{Incarnation: 32}
		m, ok := g.Admit(Message{
			Kind: Abort, Fencing: 1, Round: 1, Incarnation: 1 ^ 32, Generation: Generation{1, 1}, Switch: w,
		})
		require.True(t, ok)
		require.True(t, g.Reply(m, r.Handle(m)).Status.Cold)
		require.Equal(t, PhasePrepared, r.Status().Phase)
	})
}
