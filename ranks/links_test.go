package ranks

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/routing"
)

// endingToken is valid for a number of checks only.
type endingToken struct{ checks int }

func (t *endingToken) Token() (uint64, bool) {
	t.checks--
	return 7, t.checks >= 0
}

// Guards against orders that are sent three times for 8 s because others were
// not sent: the term ended after the round had begun. Nothing was lost then.
func TestUnsentOrderIsNoLoss(t *testing.T) {
	g := newFakeGroup(0)
	coord := newCoordinator(slog.New(slog.DiscardHandler), directLinks(g), &routing.ExpertShape{Sets: groupSets, Experts: expertsPerSet, SlotsPerRank: 4, MaxNewPerRank: 3})
	coord.token, coord.fencing = &endingToken{}, 7
	confirmed := coord.sendOrders(t.Context(), []switchover.Order{{Operation: switchover.Prepare, Version: 7, Epoch: 1, Map: g.maps[0]}})
	require.False(t, confirmed)
	require.Zero(t, g.highestFencing[0], "the order was sent")
	require.True(t, coord.lossyUntil.IsZero(), "an order that was not sent counts as lost")
	require.Empty(t, coord.lastPrepare, "the rank cannot have accepted the order")
}
