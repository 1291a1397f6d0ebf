package ranks

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// Guards against a process that ends because it gets another term, and loses it, while
// no configuration describes the experts of the group.
func TestTermWithoutConfiguration(t *testing.T) {
	kv := standin.NewKV()
	putConfig(t, kv.Direct())
	g := newFakeGroup(0)
	startAgents(t.Context(), t, g, kv.Direct())
	all, _, err := kv.Direct().List(t.Context(), "")
	require.NoError(t, err)
	var noConfig atomic.Bool
	items := func(_ context.Context, prefix string) (found []infra.Item, _ error) {
		for _, it := range all {
			if strings.HasPrefix(it.Key, prefix) && (it.Key != "config" || !noConfig.Load()) {
				found = append(found, it)
			}
		}
		return found, nil
	}
	require.Eventually(t, func() bool {
		all, _, err = kv.Direct().List(t.Context(), "")
		found, _ := items(t.Context(), agentsPrefix)
		return err == nil && len(found) == groupRanks
	}, 5*time.Second, 10*time.Millisecond)
	kv.SetRefuse(true)
	defer kv.SetRefuse(false)
	p := startProcess(t, "a", g, kv.Direct(), items)
	highest := func() uint64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.highestFencing[0]
	}
	require.True(t, p.TakeOver(Term{Group: "g", Fencing: 1007}))
	require.Eventually(t, func() bool { return highest() == 1007 }, 5*time.Second, 10*time.Millisecond)
	noConfig.Store(true)
	require.True(t, p.TakeOver(Term{Group: "g", Fencing: 1009}))
	time.Sleep(2 * groupPollInterval)
	p.dropTerm("g")
	time.Sleep(2 * groupPollInterval)
	noConfig.Store(false)
	require.True(t, p.TakeOver(Term{Group: "g", Fencing: 1011}))
	require.Eventually(t, func() bool { return highest() == 1011 }, 5*time.Second, 10*time.Millisecond)
	p.stop()
}
