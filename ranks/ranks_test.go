package ranks

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
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
	groupRanks = 4
	groupSets  = 2
	groupSize  = 12 // experts of a set
)

// group is a stand-in of a rank group that makes a pass every few milliseconds.
type group struct {
	mu     sync.Mutex
	rng    *rand.Rand
	states []switchover.State
	fences []uint64
	tops   []uint64
	maps   map[uint64]switchover.Map
	counts []uint64
	load   []float64
	loss   float64
	frozen int // a rank that answers nothing; -1 is none
	mixed  bool
}

func newGroup(loss float64) *group {
	g := &group{
		rng: rand.New(rand.NewPCG(3, 4)), maps: map[uint64]switchover.Map{}, loss: loss, frozen: -1,
		counts: make([]uint64, groupSets*groupSize), load: make([]float64, groupSets*groupSize),
	}
	first := make(switchover.Map, groupSets)
	for s := range first {
		first[s] = make([][]int, groupRanks)
		for e := range groupSize {
			first[s][e%groupRanks] = append(first[s][e%groupRanks], e)
			g.load[s*groupSize+e] = 10
		}
		g.load[s*groupSize] = 900 // one expert has most of the demand
	}
	g.maps[0] = first
	for range groupRanks {
		g.states = append(g.states, switchover.State{Reported: true, Open: true, Epoch: 1})
		g.fences, g.tops = append(g.fences, 0), append(g.tops, 0)
	}
	return g
}

// run makes passes until ctx ends.
func (g *group) run(ctx context.Context) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, 5*time.Millisecond)
		g.mu.Lock()
		g.pass()
		g.mu.Unlock()
	}
}

func (g *group) pass() {
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
		g.mixed = g.mixed || s.MapVersion != g.states[0].MapVersion
	}
	for i, w := range g.load {
		g.counts[i] += uint64(w)
	}
}

func rankOf(addr string) (rank int) {
	_, _ = fmt.Sscanf(addr, "rank-%d", &rank)
	return rank
}

func (g *group) Report(_ context.Context, addr string) (Report, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := rankOf(addr)
	if r == g.frozen {
		return Report{}, errors.New("frozen")
	}
	return Report{Group: "g", Rank: r, Size: groupRanks, StartedAtMs: 1, Slowdown: 1, State: g.states[r]}, nil
}

func (g *group) Counts(_ context.Context, addr string) ([]uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rankOf(addr) != 0 {
		return make([]uint64, len(g.counts)), nil
	}
	return append([]uint64(nil), g.counts...), nil
}

func (g *group) Placement(_ context.Context, addr string) (uint64, [][]int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := rankOf(addr)
	var held [][]int
	for _, set := range g.maps[g.states[r].MapVersion] {
		held = append(held, set[r])
	}
	return g.states[r].MapVersion, held, nil
}

func (g *group) Order(_ context.Context, addr string, o switchover.Order, fencing uint64) (Outcome, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := rankOf(addr)
	if r == g.frozen || g.rng.Float64() < g.loss {
		return NoReply, errors.New("no answer")
	}
	if fencing < g.fences[r] {
		return Fenced, nil
	}
	g.fences[r] = fencing
	s := &g.states[r]
	switch {
	case o.Epoch != s.Epoch:
		return Refused, nil
	case o.Operation == switchover.Prepare && o.Version > g.tops[r] && s.ArmedVersion == 0:
		s.PreparedVersion, g.tops[r], g.maps[o.Version] = o.Version, o.Version, o.Map
	case o.Operation == switchover.Arm && s.PreparedVersion == o.Version && s.Step < o.Step:
		s.ArmedVersion, s.ArmedStep = o.Version, o.Step
	case o.Operation == switchover.Hold && s.Step < o.Step:
		s.Held, s.HeldStep = true, o.Step
	case o.Operation == switchover.Go && s.Held && s.HeldStep == o.Step:
		s.Held = false
	default:
		return Refused, nil
	}
	return Done, nil
}

// testRecords stores the product's types as JSON.
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

// start runs a group with an agent for each rank and returns a function that
// starts a coordinator.
func start(t *testing.T, g *group) (coordinate func(ctx context.Context, name string)) {
	kv := standin.NewKV().Direct()
	shape := &routing.ExpertShape{Sets: groupSets, Experts: groupSize, Places: 4, Spare: 3}
	put(t, kv, "config", routing.Config{Version: 1, Backends: []routing.Backend{{Name: "b", Experts: shape}}})
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	t.Cleanup(func() { cancel(); wait.Wait() })
	wait.Go(func() { g.run(ctx) })
	log := slog.New(slog.DiscardHandler)
	for r := range groupRanks {
		addr := fmt.Sprintf("rank-%d", r)
		put(t, kv, "target/"+addr, routing.Target{ID: addr, Addr: addr, Backend: "b", Slots: 1})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		o := AgentOptions{Instance: addr, RankAddr: addr, Backend: "b", PeerAddr: l.Addr().String(), KV: kv, Records: testRecords{}, Engine: g, Log: log}
		wait.Go(func() { _ = RunAgent(ctx, o, l) })
	}
	return func(ctx context.Context, name string) {
		wait.Go(func() {
			NewCoordinators(CoordinatorOptions{
				Instance: name, HolderID: name, KV: kv, Records: testRecords{}, Engine: g, Log: log,
				Items: func(ctx context.Context, prefix string) ([]infra.Item, error) {
					items, _, err := kv.List(ctx, prefix)
					return items, err
				},
			}).Run(ctx)
		})
	}
}

func (g *group) version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.states[0].MapVersion
}

// Guards against a group that keeps a map under which one rank does most of the
// work, also while half of the orders get no answer.
func TestCoordinatorImprovesMap(t *testing.T) {
	for _, loss := range []float64{0, 0.5} {
		t.Run(fmt.Sprintf("loss %.1f", loss), func(t *testing.T) {
			t.Parallel()
			g := newGroup(loss)
			start(t, g)(t.Context(), "c1")
			require.Eventually(t, func() bool { return g.version() != 0 }, 15*time.Second, 20*time.Millisecond)
			g.mu.Lock()
			defer g.mu.Unlock()
			require.False(t, g.mixed)
			holders := 0
			for _, experts := range g.maps[g.states[0].MapVersion][0] {
				for _, e := range experts {
					if e == 0 {
						holders++
					}
				}
			}
			require.Greater(t, holders, 1, "the expert in demand is on one rank")
		})
	}
}

// Guards against a group that stays held when its coordinator falls silent
// between the hold and the arms: agents finish the switch.
func TestAgentsFinishHeldSwitch(t *testing.T) {
	g := newGroup(0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go g.run(ctx)
	next := g.maps[0]
	g.mu.Lock()
	for i := range g.states {
		g.states[i].PreparedVersion, g.tops[i], g.fences[i] = 7, 7, 5
	}
	g.maps[7] = next
	g.states[1].Held, g.states[1].HeldStep = true, g.states[1].Step+3
	g.mu.Unlock()
	l := directLinks(g)
	require.Eventually(t, func() bool {
		finish(t.Context(), l, 5)
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.states[0].MapVersion == 7 && !g.states[1].Held
	}, 5*time.Second, 20*time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	require.False(t, g.mixed)
}

// directLinks reaches the ranks without their agents.
func directLinks(g *group) *links {
	l := &links{
		engine: g, records: testRecords{}, log: slog.New(slog.DiscardHandler), group: "g", backend: "b",
		items: func(context.Context, string) ([]infra.Item, error) { return nil, nil },
	}
	l.resize(groupRanks)
	for r, k := range l.byRank {
		k.direct = fmt.Sprintf("rank-%d", r)
	}
	return l
}

// Guards against orders to a group of which a rank does not answer: it may be
// armed.
func TestNoDecisionWithoutAllRanks(t *testing.T) {
	g := newGroup(0)
	g.frozen = 2
	l := directLinks(g)
	reports := l.askAll(t.Context(), ReportQuery{})
	states := make([]switchover.State, len(reports))
	for i, r := range reports {
		states[i] = r.State
	}
	phase, orders := switchover.Decide(states, switchover.Plan{Version: 9, Map: g.maps[0]})
	require.Equal(t, switchover.Unready, phase)
	require.Empty(t, orders)
}

// Guards against a group without a coordinator when one stops while the service
// gives no leases, and against a version that is used for two maps.
func TestAdoptedTermGoesOn(t *testing.T) {
	g := newGroup(0)
	kv := standin.NewKV()
	c := NewCoordinators(CoordinatorOptions{Log: slog.New(slog.DiscardHandler), KV: kv.Direct()})
	holder := lease.New(lease.Options{KV: kv.Direct(), Key: "k", HolderID: "a/1"})
	noItems := func(context.Context, string) ([]infra.Item, error) { return nil, nil }
	spare := newStandby(CoordinatorOptions{KV: kv.Direct(), Items: noItems, HolderID: "a/1"}, "g", "k")
	require.Nil(t, c.token(t.Context(), "g", holder, spare))
	c.TakeOver(Term{Group: "g", Fencing: 7, Maps: 3})
	l := directLinks(g)
	k := newCoordinator(slog.New(slog.DiscardHandler), l, &routing.ExpertShape{Sets: groupSets, Experts: groupSize, Places: 4, Spare: 3})
	k.token = c.token(t.Context(), "g", holder, spare)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go g.run(ctx)
	require.Eventually(t, func() bool {
		k.round(t.Context())
		// Counts are read through agents, which this group does not have.
		counts, err := g.Counts(t.Context(), "rank-0")
		require.NoError(t, err)
		k.observe([]Report{{Rank: 0, StartedAtMs: 1, Counts: counts}}, time.Now())
		return g.version() != 0
	}, 5*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 7*versionsPerTerm+4, g.version())
}

// Guards against a slow rank that holds up the passes of its group because it gets as
// many requests as the others, and against one that counts as slow for ever.
func TestSlowRanksAreTold(t *testing.T) {
	g := newGroup(0)
	l := directLinks(g)
	for i, k := range l.byRank {
		k.rank = fmt.Sprintf("addr-%d", i)
	}
	var told []map[string]float64
	k := newCoordinator(slog.New(slog.DiscardHandler), l, &routing.ExpertShape{Sets: groupSets, Experts: groupSize, Places: 4, Spare: 3})
	k.slow = func(byAddr map[string]float64) { told = append(told, byAddr) }
	for _, slowness := range [][]float64{{1, 1, 1.1, 1}, {1, 1.62, 1, 1}, {1, 1.58, 1, 1}, {1, 1, 1, 1}} {
		k.slowness = slowness
		k.tellSlow()
	}
	require.Equal(t, []map[string]float64{{"addr-1": 1.6}, {}}, told)
}
