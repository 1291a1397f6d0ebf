package gateway

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
)

// dialGraph returns which instances dial which others if each of n instances
// knows the records of all.
func dialGraph(n int) map[string]map[string]string {
	var items []infra.Item
	for i := range n {
		id := fmt.Sprintf("g%02d", i)
		items = append(items, infra.Item{Key: recordKey(id), Value: testInstanceRecord(i).encode(), ModRevision: int64(i + 1)})
	}
	dials := map[string]map[string]string{}
	for i := range n {
		g := New(Options{Instance: fmt.Sprintf("g%02d", i), Log: slog.New(slog.DiscardHandler), Registry: metrics.NewRegistry()})
		g.control.applyInstanceRecords(g.control.mirror.Load(items, int64(n)))
		dials[g.id] = g.control.peersToDial()
	}
	return dials
}

// reachableFrom returns the number of instances that are connected to the first
// one when one instance is lost.
func reachableFrom(dials map[string]map[string]string, first, lost string) int {
	found := map[string]bool{first: true}
	for next := []string{first}; len(next) > 0; next = next[1:] {
		for id := range dials {
			_, to := dials[next[0]][id]
			_, from := dials[id][next[0]]
			if (to || from) && id != lost && !found[id] {
				found[id] = true
				next = append(next, id)
			}
		}
	}
	return len(found)
}

// Guards against two sessions between one pair of instances, each of which
// carries all heartbeats, and against instances that learn nothing of others
// because one is lost.
func TestPeersToDial(t *testing.T) {
	for _, n := range []int{2, 3, 4, 5, 6, 7, 8, 9, 10, 42} {
		dials := dialGraph(n)
		for id, dialed := range dials {
			require.LessOrEqual(t, len(dialed), maxDialedPeers)
			require.NotContains(t, dialed, id)
			for peer := range dialed {
				require.NotContains(t, dials[peer], id, "%d instances: %s and %s dial each other", n, id, peer)
			}
		}
		for lost := range dials {
			for first := range dials {
				if first != lost {
					require.Equal(t, n-1, reachableFrom(dials, first, lost), "%d instances without %s", n, lost)
				}
			}
		}
		require.Equal(t, n, reachableFrom(dials, "g00", ""), "%d instances", n)
	}
}
