package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

// Guards against streams that wait longer than callers do at a rank that has stopped to
// reply, and against moving them while no other target responds either.
func TestStreamLeavesUnresponsiveRank(t *testing.T) {
	g := newDeployment(t, config()).start("g1")
	now := time.Now()
	x := &exchange{g: g.Gateway, backend: "b", route: &routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 2}}
	rank := newTarget(routing.Target{ID: "a"})
	idle := streamProgress{sentAt: now.Add(-stallTimeout / 2)}
	rank.recordReportedLoad(3, true, now)
	require.False(t, x.isStalled(rank, idle, now), "no target responds")

	g.queues.forBackend("b").recordResponse(now, now, false) // from another target
	require.True(t, x.isStalled(rank, idle, now))
	require.False(t, x.isStalled(rank, streamProgress{sentAt: now.Add(-unresponsiveStallTimeout / 2)}, now), "sent a moment ago")

	rank.recordReportedLoad(3, false, now)
	require.False(t, x.isStalled(rank, idle, now), "the rank replies")
	rank.recordReportedLoad(3, true, now.Add(-2*reportedLoadTimeout))
	require.False(t, x.isStalled(rank, idle, now), "the report is old")
	rank.recordReportedLoad(3, true, now)
	rank.recordResponse(now, now.Add(-time.Second))
	require.False(t, x.isStalled(rank, idle, now), "only its path to the coordinator is cut")
}

// Guards against requests of any instance that are sent to a rank which has stopped to
// reply to the coordinator: each of them uses up an attempt and most of the time that
// its caller waits.
func TestUnresponsiveRankGetsNoRequests(t *testing.T) {
	a, b, targets := startPlaces(t, placeConfig())
	load := &routing.GroupLoad{Group: "g0", Backend: "b", Open: true, Imbalance: 1, Slowdown: 1, Ranks: make([]routing.RankLoad, 2)}
	load.Ranks[0].Unresponsive = true
	keepGroupLoad(t, a, load)
	for _, i := range []*instance{a, b} {
		i.awaitLoads(t, 1)
		for range 20 {
			require.Equal(t, http.StatusOK, i.request(t.Context(), http.MethodPost, "/chat/1", "").status)
		}
	}
	require.Zero(t, targets[0].requests.Load())
	require.Positive(t, targets[1].requests.Load())
}
