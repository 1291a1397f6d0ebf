package ranks

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
)

// Guards against a switch that no agent can finish, since a late order of a
// superseded coordinator has lowered the fencing number that recovery uses: the
// ranks refuse that number.
func TestLateOrderDoesNotLowerFencing(t *testing.T) {
	g := newFakeGroup(0)
	a := &agent{engine: g, rankAddr: "rank-0", log: slog.New(slog.DiscardHandler)}
	order := switchover.Order{Operation: switchover.Hold, Step: 1_000_000, Epoch: 1}
	for _, c := range []struct {
		fencing uint64
		want    Outcome
	}{{5, Done}, {9, Done}, {5, Fenced}} {
		res := a.forwardOrder(t.Context(), encodeOrder(order, c.fencing, 1))
		require.Equal(t, c.want, Outcome(res.GetOutcome()))
	}
	require.EqualValues(t, 9, a.lastFencing.Load())
	// A coordinator that has used no agent of this rank may have fenced it.
	g.highestFencing[0] = 20
	require.EqualValues(t, Fenced, a.forwardOrder(t.Context(), encodeOrder(order, 12, 1)).GetOutcome())
	require.EqualValues(t, 9, a.lastFencing.Load(), "the rank refuses 12")
}
