package ranks

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	groupRanks    = 4
	groupSets     = 2
	expertsPerSet = 12 // experts in each set
)

// fakeGroup simulates a rank group that makes a forward pass every few
// milliseconds.
type fakeGroup struct {
	mu              sync.Mutex
	rng             *rand.Rand
	states          []switchover.State
	highestFencing  []uint64
	highestPrepared []uint64
	maps            map[uint64]switchover.Map
	counts          []uint64
	expertLoad      []float64
	loss            float64
	unresponsive    int // number of a rank that does not reply; -1 is none
	mixedMaps       bool
}

func newFakeGroup(loss float64) *fakeGroup { return newFakeGroupOf(groupRanks, loss) }

// newFakeGroupOf returns a group with a number of ranks.
func newFakeGroupOf(ranks int, loss float64) *fakeGroup {
	g := &fakeGroup{
		rng: rand.New(rand.NewPCG(3, 4)), maps: map[uint64]switchover.Map{}, loss: loss, unresponsive: -1,
		counts: make([]uint64, groupSets*expertsPerSet), expertLoad: make([]float64, groupSets*expertsPerSet),
	}
	initial := make(switchover.Map, groupSets)
	for s := range initial {
		initial[s] = make([][]int, ranks)
		for e := range expertsPerSet {
			initial[s][e%ranks] = append(initial[s][e%ranks], e)
			g.expertLoad[s*expertsPerSet+e] = 10
		}
		g.expertLoad[s*expertsPerSet] = 900 // one expert has most of the load
	}
	g.maps[0] = initial
	for range ranks {
		g.states = append(g.states, switchover.State{Reported: true, Open: true, Epoch: 1})
		g.highestFencing, g.highestPrepared = append(g.highestFencing, 0), append(g.highestPrepared, 0)
	}
	return g
}

// run makes forward passes until ctx ends.
func (g *fakeGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, 5*time.Millisecond)
		g.mu.Lock()
		g.forwardPass()
		g.mu.Unlock()
	}
}

func (g *fakeGroup) forwardPass() {
	step := g.states[0].Step + 1
	for _, s := range g.states {
		if s.Held && s.HeldStep == step {
			return
		}
	}
	for i := range g.states {
		s := &g.states[i]
		s.Step = step
		if s.ArmedVersion != 0 && s.ArmedStep == step {
			s.MapVersion, s.ArmedVersion, s.ArmedStep = s.ArmedVersion, 0, 0
		}
		g.mixedMaps = g.mixedMaps || s.MapVersion != g.states[0].MapVersion
	}
	for i, w := range g.expertLoad {
		g.counts[i] += uint64(w)
	}
}

func rankOf(addr string) (rank int) {
	_, _ = fmt.Sscanf(addr, "rank-%d", &rank)
	return rank
}

func (g *fakeGroup) Report(_ context.Context, addr string) (Report, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := rankOf(addr)
	if r == g.unresponsive {
		return Report{}, errors.New("frozen")
	}
	return Report{Group: "g", Rank: r, Size: len(g.states), StartedAtMs: 1, Slowdown: 1, State: g.states[r]}, nil
}

func (g *fakeGroup) Counts(_ context.Context, addr string) ([]uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rankOf(addr) != 0 {
		return make([]uint64, len(g.counts)), nil
	}
	return append([]uint64(nil), g.counts...), nil
}

func (g *fakeGroup) Placement(_ context.Context, addr string) (uint64, [][]int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := rankOf(addr)
	var experts [][]int
	for _, set := range g.maps[g.states[r].MapVersion] {
		experts = append(experts, set[r])
	}
	return g.states[r].MapVersion, experts, nil
}

func (g *fakeGroup) Order(_ context.Context, addr string, o switchover.Order, fencing uint64) (Outcome, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := rankOf(addr)
	if r == g.unresponsive || g.rng.Float64() < g.loss {
		return NoReply, errors.New("no answer")
	}
	if fencing < g.highestFencing[r] {
		return Fenced, nil
	}
	g.highestFencing[r] = fencing
	s := &g.states[r]
	switch {
	case o.Epoch != s.Epoch:
		return Refused, nil
	case o.Operation == switchover.Prepare && o.Version > g.highestPrepared[r] && s.ArmedVersion == 0:
		s.PreparedVersion, g.highestPrepared[r], g.maps[o.Version] = o.Version, o.Version, o.Map
	case o.Operation == switchover.Arm && s.PreparedVersion == o.Version && s.Step < o.Step:
		s.ArmedVersion, s.ArmedStep = o.Version, o.Step
	case o.Operation == switchover.Disarm && s.MapVersion != o.Version:
		if s.ArmedVersion == o.Version {
			s.ArmedVersion, s.ArmedStep = 0, 0
		}
	case o.Operation == switchover.Hold && s.Step < o.Step:
		s.Held, s.HeldStep = true, o.Step
	case o.Operation == switchover.Go && s.Held && s.HeldStep == o.Step:
		s.Held = false
	default:
		return Refused, nil
	}
	return Done, nil
}

// testRecords encodes the types of package routing as JSON.
type testRecords struct{}

func (testRecords) ConfigKey() string    { return "config" }
func (testRecords) TargetPrefix() string { return "target/" }
func (testRecords) TargetID(key string) (string, bool) {
	return strings.CutPrefix(key, "target/")
}

func (testRecords) Config(value []byte) (*routing.Config, error) {
	var c routing.Config
	return &c, json.Unmarshal(value, &c)
}

func (testRecords) Target(id string, value []byte) (routing.Target, error) {
	t := routing.Target{ID: id}
	return t, json.Unmarshal(value, &t)
}

func put(t *testing.T, kv infra.KV, key string, value any) {
	data, err := json.Marshal(value)
	require.NoError(t, err)
	_, err = kv.Commit(t.Context(), infra.Txn{Puts: []infra.Put{{Key: key, Value: data}}})
	require.NoError(t, err)
}

// testShape is the shape of the experts of a fakeGroup.
func testShape() *routing.ExpertShape {
	return &routing.ExpertShape{Sets: groupSets, Experts: expertsPerSet, SlotsPerRank: 4, MaxNewPerRank: 3}
}

// putConfig writes a configuration that describes the group's back end.
func putConfig(t *testing.T, kv infra.KV) {
	put(t, kv, "config", routing.Config{Version: 1, Backends: []routing.Backend{{Name: "b", Experts: testShape()}}})
}

// startGroup runs the agents of a group and returns a function that starts a
// coordinator.
func startGroup(t *testing.T, g *fakeGroup) (coordinate func(ctx context.Context, name string)) {
	kv := standin.NewKV().Direct()
	putConfig(t, kv)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	wg.Go(func() { g.run(ctx) })
	startAgents(ctx, t, g, kv)
	return func(ctx context.Context, name string) {
		wg.Go(func() {
			NewCoordinators(CoordinatorOptions{
				Instance: name, HolderID: name, KV: kv, Records: testRecords{}, Engine: g, Log: slog.New(slog.DiscardHandler), Items: standinItems(kv),
			}).Run(ctx)
		})
	}
}

func (g *fakeGroup) mapVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.states[0].MapVersion
}

// Guards against a group that keeps a map under which one rank has most of the
// load, with all orders confirmed and with half of them unanswered.
func TestCoordinatorImprovesMap(t *testing.T) {
	for _, loss := range []float64{0, 0.5} {
		t.Run(fmt.Sprintf("loss %.1f", loss), func(t *testing.T) {
			t.Parallel()
			g := newFakeGroup(loss)
			startGroup(t, g)(t.Context(), "c1")
			require.Eventually(t, func() bool { return g.mapVersion() != 0 }, 15*time.Second, 20*time.Millisecond)
			g.mu.Lock()
			defer g.mu.Unlock()
			require.False(t, g.mixedMaps)
			holders := 0
			for _, experts := range g.maps[g.states[0].MapVersion][0] {
				for _, e := range experts {
					if e == 0 {
						holders++
					}
				}
			}
			require.Greater(t, holders, 1, "the expert with most of the load is on one rank")
		})
	}
}

// Guards against a group that stays held because its coordinator became
// unresponsive after the hold and before arming the ranks. The agents must
// finish the switch.
func TestAgentsFinishHeldSwitch(t *testing.T) {
	g := newFakeGroup(0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go g.run(ctx)
	next := g.maps[0]
	g.mu.Lock()
	for i := range g.states {
		g.states[i].PreparedVersion, g.highestPrepared[i], g.highestFencing[i] = 7, 7, 5
	}
	g.maps[7] = next
	g.states[1].Held, g.states[1].HeldStep = true, g.states[1].Step+3
	g.mu.Unlock()
	l := directLinks(g)
	require.Eventually(t, func() bool {
		finishSwitch(t.Context(), l, 5)
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.states[0].MapVersion == 7 && !g.states[1].Held
	}, 5*time.Second, 20*time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	require.False(t, g.mixedMaps)
}

// directLinks returns links to the ranks of a group that has no agents.
func directLinks(g *fakeGroup) *links {
	l := &links{
		engine: g, records: testRecords{}, log: slog.New(slog.DiscardHandler), group: "g", backend: "b",
		listItems: func(context.Context, string) ([]infra.Item, error) { return nil, nil },
	}
	l.resize(len(g.states))
	for r, k := range l.byRank {
		k.rankAddr = fmt.Sprintf("rank-%d", r)
	}
	return l
}

// Guards against orders to a group in which one rank does not reply: that rank
// may be armed.
func TestNoDecisionWithoutAllRanks(t *testing.T) {
	g := newFakeGroup(0)
	g.unresponsive = 2
	l := directLinks(g)
	reports := l.queryAll(t.Context(), ReportQuery{})
	states := make([]switchover.State, len(reports))
	for i, r := range reports {
		states[i] = r.State
	}
	phase, orders := switchover.Decide(states, switchover.Plan{Version: 9, Map: g.maps[0]})
	require.Equal(t, switchover.Unready, phase)
	require.Empty(t, orders)
}

// Guards against a group without a coordinator after a planned stop during
// which the key-value store grants no leases, and against one version used for
// two maps.
func TestAdoptedTermGoesOn(t *testing.T) {
	g := newFakeGroup(0)
	kv := standin.NewKV()
	c := NewCoordinators(CoordinatorOptions{Log: slog.New(slog.DiscardHandler), KV: kv.Direct()})
	holder := lease.New(lease.Options{KV: kv.Direct(), Key: "k", HolderID: "a/1"})
	noItems := func(context.Context, string) ([]infra.Item, error) { return nil, nil }
	reserve := newStandby(CoordinatorOptions{KV: kv.Direct(), Items: noItems, HolderID: "a/1"}, "g", "k")
	require.Nil(t, c.activeToken(t.Context(), "g", holder, reserve))
	c.TakeOver(Term{Group: "g", Fencing: 7, Maps: 3})
	l := directLinks(g)
	coord := newCoordinator(slog.New(slog.DiscardHandler), l, testShape())
	coord.token = c.activeToken(t.Context(), "g", holder, reserve)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go g.run(ctx)
	require.Eventually(t, func() bool {
		coord.runRound(t.Context())
		// Counts are queried through agents only, and this group has none.
		counts, err := g.Counts(t.Context(), "rank-0")
		require.NoError(t, err)
		coord.observeCounts([]Report{{Rank: 0, StartedAtMs: 1, Counts: counts}}, time.Now())
		return g.mapVersion() != 0
	}, 5*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 7*versionsPerTerm+4, g.mapVersion())
}

// Guards against a slow rank that delays the forward passes of its group
// because it gets as many requests as the others, and against a rank that
// counts as slow after it has recovered.
func TestSlowRanksAreReported(t *testing.T) {
	g := newFakeGroup(0)
	l := directLinks(g)
	for i, rankLink := range l.byRank {
		rankLink.advertisedAddr = fmt.Sprintf("addr-%d", i)
	}
	var reported []map[string]float64
	coord := newCoordinator(slog.New(slog.DiscardHandler), l, testShape())
	coord.onSlowRanks = func(byAddr map[string]float64) { reported = append(reported, byAddr) }
	for _, slowdowns := range [][]float64{{1, 1, 1.1, 1}, {1, 1.62, 1, 1}, {1, 1.58, 1, 1}, {1, 1, 1, 1}} {
		coord.slowdowns = slowdowns
		coord.reportSlowRanks()
	}
	require.Equal(t, []map[string]float64{{"addr-1": 1.6}, {}}, reported)
}
