package ranks

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/lease"
)

// handOvers records the terms that a process hands over.
type handOvers struct {
	mu    sync.Mutex
	terms []Term
}

func (h *handOvers) record(t Term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.terms = append(h.terms, t)
}

func (h *handOvers) all() []Term {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Term(nil), h.terms...)
}

// process runs coordinators until stop is called.
type process struct {
	*Coordinators
	handedOver handOvers
	stop       func()
}

func startProcess(t *testing.T, name string, e Engine, kv infra.KV, items ItemLister) *process {
	p := &process{}
	p.Coordinators = NewCoordinators(CoordinatorOptions{
		Instance: name, HolderID: name + "/1", KV: kv, Records: testRecords{}, Engine: e, Log: slog.New(slog.DiscardHandler), Items: items,
		HandOver: p.handedOver.record,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		p.Run(ctx)
		close(done)
	}()
	p.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(p.stop)
	return p
}

// Guards against a term that ends with a process that took it over directly
// before its own stop: no other process gets a higher number in an outage of the
// store.
func TestTermTakenOverBeforeStopIsHandedOn(t *testing.T) {
	record, err := json.Marshal(agentRecord{Group: "g", Rank: 0, Size: groupRanks})
	require.NoError(t, err)
	for name, items := range map[string][]infra.Item{
		"group is not known":    {},
		"no round has been run": {{Key: groupPrefix("g") + "0", Value: record}},
	} {
		t.Run(name, func(t *testing.T) {
			kv := standin.NewKV()
			kv.SetRefuse(true)
			p := startProcess(t, "b", newFakeGroup(0), kv.Direct(), func(context.Context, string) ([]infra.Item, error) { return items, nil })
			require.True(t, p.TakeOver(Term{Group: "g", Fencing: 7, Maps: 3}))
			time.Sleep(50 * time.Millisecond) // the group's loop has started, if it is known
			p.stop()
			require.Equal(t, []Term{{Group: "g", Fencing: 7, Maps: 3}}, p.handedOver.all())
			require.False(t, p.TakeOver(Term{Group: "g", Fencing: 7}), "a stopped process must refuse terms")
		})
	}
}

// Guards against a term that replaces one with a higher number, which the ranks
// have seen already: the process would be fenced and drop both.
func TestLowerTermIsIgnored(t *testing.T) {
	c := NewCoordinators(CoordinatorOptions{Log: slog.New(slog.DiscardHandler)})
	require.True(t, c.TakeOver(Term{Group: "g", Fencing: 9}))
	require.True(t, c.TakeOver(Term{Group: "g", Fencing: 7}))
	term, _ := c.takenOverTerm("g")
	require.EqualValues(t, 9, term.Fencing)
}

// Guards against a group without a coordinator after a planned stop: with the
// store the lease must be free at once, and without it the term must be handed
// over, also if the store has just become unavailable and no renewal has failed.
func TestStoppingCoordinatorLeavesNoGap(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		g := newFakeGroup(0)
		kv := standin.NewKV()
		putConfig(t, kv.Direct())
		startAgents(t.Context(), t, g, kv.Direct())
		key := coordinatorKeyPrefix + "g"
		p := startProcess(t, "a", g, kv.Direct(), standinItems(kv.Direct()))
		require.Eventually(t, func() bool {
			_, _, err := kv.Direct().Get(t.Context(), key)
			return err == nil
		}, 5*time.Second, 5*time.Millisecond)
		item, _, err := kv.Direct().Get(t.Context(), key)
		require.NoError(t, err)
		time.Sleep(2 * roundInterval)
		kv.SetRefuse(storeDown)
		p.stop()
		kv.SetRefuse(false)
		if storeDown {
			require.Len(t, p.handedOver.all(), 1)
			require.Equal(t, lease.FencingNumber(item.ModRevision), p.handedOver.all()[0].Fencing)
		} else {
			require.Empty(t, p.handedOver.all(), "the next coordinator gets a higher number")
			_, _, err = kv.Direct().Get(t.Context(), key)
			require.ErrorIs(t, err, infra.ErrNotFound, "the lease is not released")
		}
	}
}

// Guards against ranks that count as slow for the whole stop of their coordinator,
// although nobody measures them in the old term any more.
func TestStoppedCoordinatorReportsNoSlowRanks(t *testing.T) {
	kv := standin.NewKV().Direct()
	putConfig(t, kv)
	g := newFakeGroup(0)
	startAgents(t.Context(), t, &slowRanks{g}, kv)
	var mu sync.Mutex
	var reports []map[string]float64
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	NewCoordinators(CoordinatorOptions{
		Instance: "a", HolderID: "a/1", KV: kv, Records: testRecords{}, Engine: &slowRanks{g}, Log: slog.New(slog.DiscardHandler),
		Items: standinItems(kv),
		OnSlowRanks: func(_ string, byAddr map[string]float64) {
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, byAddr)
			if len(byAddr) > 0 {
				stop()
			}
		},
	}).Run(ctx)
	require.NotEmpty(t, reports)
	require.Empty(t, reports[len(reports)-1])
}

// slowRanks is a group whose ranks are slow.
type slowRanks struct{ Engine }

func (e *slowRanks) Report(ctx context.Context, addr string) (Report, error) {
	r, err := e.Engine.Report(ctx, addr)
	r.Slowdown = 3
	return r, err
}

// Guards against a term that is handed over without the maps that its coordinator has
// planned: the next process would give their versions to other maps.
func TestHandedOverTermCountsItsMaps(t *testing.T) {
	t.Parallel()
	g := newFakeGroup(0)
	kv := standin.NewKV()
	putConfig(t, kv.Direct())
	passes, endPasses := context.WithCancel(t.Context())
	defer endPasses()
	go g.run(passes)
	startAgents(t.Context(), t, g, kv.Direct())
	p := startProcess(t, "a", g, kv.Direct(), standinItems(kv.Direct()))
	require.Eventually(t, func() bool { return g.mapVersion() != 0 }, 15*time.Second, 10*time.Millisecond)
	kv.SetRefuse(true)
	defer kv.SetRefuse(false)
	p.stop()
	require.Len(t, p.handedOver.all(), 1)
	require.GreaterOrEqual(t, p.handedOver.all()[0].Maps, g.mapVersion()%versionsPerTerm)
}

// Guards against a new map that is prepared while a hold order of the process that has
// handed the term over may still be late.
func TestTakenOverTermAwaitsHolds(t *testing.T) {
	for name, c := range map[string]struct {
		token    lease.Token
		prepares int
	}{
		"own term":        {fixedToken(7), groupRanks},
		"taken-over term": {takenOverToken{Group: "g", Fencing: 7}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newFakeGroup(0)
			coord := newCoordinator(slog.New(slog.DiscardHandler), directLinks(g), testShape())
			coord.token = c.token
			require.True(t, coord.enterTerm(7))
			for rank := range groupRanks {
				coord.history.Record(switchover.Order{Rank: rank, Epoch: 1}, true, time.Now())
				g.states[rank].AsOf = time.Now()
			}
			phase, orders := coord.history.Decide(g.states, switchover.Plan{Version: 7*versionsPerTerm + 1, Map: g.maps[0]})
			require.Equal(t, switchover.Preparing, phase)
			require.Len(t, orders, c.prepares)
		})
	}
}
