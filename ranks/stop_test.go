package ranks

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// slowEngine delays the replies to orders and ends a call whose context ends,
// like a real client.
type slowEngine struct {
	Engine
	delay   time.Duration
	arrived chan struct{}
}

func (e *slowEngine) Order(ctx context.Context, addr string, o switchover.Order, fencing uint64) (Outcome, error) {
	close(e.arrived)
	select {
	case <-time.After(e.delay):
		return e.Engine.Order(ctx, addr, o, fencing)
	case <-ctx.Done():
		return NoReply, errors.WithStack(ctx.Err())
	}
}

func (e *slowEngine) Report(ctx context.Context, addr string) (Report, error) {
	if err := ctx.Err(); err != nil {
		return Report{}, errors.WithStack(err)
	}
	return e.Engine.Report(ctx, addr)
}

// stoppingAgent is a running agent of rank 0 with a session of a coordinator.
type stoppingAgent struct {
	*wire.Session
	stop context.CancelFunc
	done chan struct{}
}

func startAgent(t *testing.T, e Engine) *stoppingAgent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	a := &stoppingAgent{stop: cancel, done: make(chan struct{})}
	o := AgentOptions{
		Instance: "a", RankAddr: "rank-0", Backend: "b", PeerAddr: l.Addr().String(), KV: standin.NewKV().Direct(), Records: testRecords{},
		Engine: e, StopTimeout: 8 * time.Second, Log: slog.New(slog.DiscardHandler),
	}
	go func() {
		_ = RunAgent(ctx, o, l)
		close(a.done)
	}()
	t.Cleanup(func() { cancel(); <-a.done })
	a.Session, err = wire.Dial(t.Context(), l.Addr().String(), nil, &wirepb.Hello{})
	require.NoError(t, err)
	return a
}

// roundTrip sends one message and returns the reply.
func (a *stoppingAgent) roundTrip(f *wirepb.RankFrame) (*wirepb.RankFrame, error) {
	_ = a.Control().SetReadDeadline(time.Now().Add(time.Second))
	if err := a.Control().Send(f); err != nil {
		return nil, err
	}
	var reply wirepb.RankFrame
	err := a.Control().Recv(&reply)
	return &reply, err
}

func orderFrame(o switchover.Order) *wirepb.RankFrame {
	return &wirepb.RankFrame{Body: &wirepb.RankFrame_Order{Order: encodeOrder(o, 5, 1)}}
}

// Guards against an order that is cut because SIGTERM arrives while the agent
// forwards it: the coordinator cannot know whether the rank carries it out.
func TestOrderInProgressSurvivesAgentStop(t *testing.T) {
	e := &slowEngine{Engine: newFakeGroup(0), delay: rankOrderTimeout / 2, arrived: make(chan struct{})}
	a := startAgent(t, e)
	go func() {
		<-e.arrived
		a.stop()
	}()
	reply, err := a.roundTrip(orderFrame(switchover.Order{Operation: switchover.Hold, Step: 1_000_000, Epoch: 1}))
	require.NoError(t, err)
	require.Equal(t, Done, Outcome(reply.GetResult().GetOutcome()), reply.GetResult().GetError())
}

// Guards against queries and orders that fail although the agent has taken them:
// the rank is held, so the agent stays until the held step is released.
func TestAgentServesUntilRankIsReleased(t *testing.T) {
	g := newFakeGroup(0)
	a := startAgent(t, &slowEngine{Engine: g, arrived: make(chan struct{})})
	_, err := a.roundTrip(&wirepb.RankFrame{Body: &wirepb.RankFrame_Question{Question: &wirepb.RankQuestion{}}})
	require.NoError(t, err)
	g.mu.Lock()
	g.states[0].Held, g.states[0].HeldStep = true, 1
	g.mu.Unlock()
	a.stop()
	for range 10 {
		time.Sleep(roundInterval / 2)
		reply, err := a.roundTrip(&wirepb.RankFrame{Body: &wirepb.RankFrame_Question{Question: &wirepb.RankQuestion{}}})
		require.NoError(t, err)
		require.Empty(t, reply.GetState().GetError())
	}
	reply, err := a.roundTrip(orderFrame(switchover.Order{Operation: switchover.Go, Step: 1, Epoch: 1}))
	require.NoError(t, err)
	require.Equal(t, Done, Outcome(reply.GetResult().GetOutcome()), reply.GetResult().GetError())
	select {
	case <-a.done:
	case <-time.After(3 * time.Second):
		require.Fail(t, "the agent has not stopped after the release")
	}
}

// Guards against a held step that nobody releases, since the coordinator has
// exited and all agents of the group stop at the same moment.
func TestAgentsThatStopTogetherFinishSwitch(t *testing.T) {
	g := newFakeGroup(0)
	passes, endPasses := context.WithCancel(t.Context())
	defer endPasses()
	go g.run(passes)
	kv := standin.NewKV().Direct()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	startAgents(ctx, t, g, kv)
	prepareThroughAgents(t, g, kv)
	g.hold(1)
	stop()
	requireSwitched(t, g)
}

// Guards against a held step that nobody releases in an outage of the store: the
// coordinator has exited, and the agents cannot read the addresses of the others.
func TestAgentsFinishSwitchInOutage(t *testing.T) {
	g := newFakeGroup(0)
	passes, endPasses := context.WithCancel(t.Context())
	defer endPasses()
	go g.run(passes)
	kv := standin.NewKV()
	startAgents(t.Context(), t, g, kv.Direct())
	prepareThroughAgents(t, g, kv.Direct())
	time.Sleep(2 * recoveryPollInterval)
	kv.SetRefuse(true)
	defer kv.SetRefuse(false)
	g.hold(1)
	requireSwitched(t, g)
}

// hold lets a rank hold the next step.
func (g *fakeGroup) hold(rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.states[rank].Held, g.states[rank].HeldStep = true, g.states[rank].Step+1
}

// requireSwitched waits until the group uses version 7 and no step is held.
func requireSwitched(t *testing.T, g *fakeGroup) {
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.states[0].MapVersion == 7 && !g.states[1].Held
	}, 4*time.Second, 20*time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	require.False(t, g.mixedMaps)
}

// prepareThroughAgents prepares version 7 on all ranks like a coordinator with
// number 5, which then exits.
func prepareThroughAgents(t *testing.T, g *fakeGroup, kv infra.KV) {
	l := &links{
		engine: g, records: testRecords{}, log: slog.New(slog.DiscardHandler), group: "g", hello: &wirepb.Hello{},
		listItems: standinItems(kv),
	}
	require.Eventually(t, func() bool {
		l.queryAll(t.Context(), ReportQuery{})
		// Agents know the fencing number of orders that they forward only.
		return len(l.byRank) == groupRanks && !slices.ContainsFunc(l.byRank, func(k *link) bool { return k.session == nil })
	}, 10*time.Second, 20*time.Millisecond)
	var orders []switchover.Order
	for r := range groupRanks {
		orders = append(orders, switchover.Order{Rank: r, Operation: switchover.Prepare, Version: 7, Map: g.maps[0], Epoch: 1})
	}
	for _, res := range l.sendOrders(t.Context(), orders, 5, 1, fixedToken(5)) {
		require.Equal(t, Done, res.outcome, res.err)
	}
}

// interruptingEngine calls onOrder before each order, loses a part of the orders
// after the first one of the given kind, and ends a call whose context ends.
type interruptingEngine struct {
	*fakeGroup
	kind    switchover.Operation
	onOrder func()
	loss    float64
}

func (e *interruptingEngine) Order(ctx context.Context, addr string, o switchover.Order, fencing uint64) (Outcome, error) {
	if o.Operation == e.kind {
		e.onOrder()
		e.mu.Lock()
		e.fakeGroup.loss = e.loss
		e.mu.Unlock()
	}
	if err := ctx.Err(); err != nil {
		return NoReply, errors.WithStack(err)
	}
	return e.fakeGroup.Order(ctx, addr, o, fencing)
}

// Guards against a held step that a stopping coordinator leaves behind, whatever
// the order in progress at SIGTERM, with and without lost orders. The agents
// would release it later only.
func TestStoppingCoordinatorReleasesHeldStep(t *testing.T) {
	for _, kind := range []switchover.Operation{switchover.Hold, switchover.Arm, switchover.Go} {
		for _, loss := range []float64{0, 0.5} {
			t.Run(fmt.Sprintf("%s loss %.1f", kind, loss), func(t *testing.T) {
				t.Parallel()
				g := newFakeGroup(0)
				passes, endPasses := context.WithCancel(t.Context())
				defer endPasses()
				go g.run(passes)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				e := &interruptingEngine{fakeGroup: g, kind: kind, onOrder: stop, loss: loss}
				runCoordinators(ctx, t, e)
				g.mu.Lock()
				defer g.mu.Unlock()
				require.False(t, g.mixedMaps)
				armed := 0
				for r, s := range g.states {
					require.False(t, s.Held, "rank %d is held", r)
					if s.ArmedVersion != 0 {
						armed++
					}
				}
				require.Contains(t, []int{0, groupRanks}, armed, "some ranks are armed and others are not")
			})
		}
	}
}

// runCoordinators coordinates a group until ctx ends and the stop is done.
func runCoordinators(ctx context.Context, t *testing.T, e Engine) {
	kv := standin.NewKV().Direct()
	putConfig(t, kv)
	startAgents(t.Context(), t, e, kv)
	NewCoordinators(CoordinatorOptions{
		Instance: "c", HolderID: "c/1", KV: kv, Records: testRecords{}, Engine: e, Log: slog.New(slog.DiscardHandler), Items: standinItems(kv),
	}).Run(ctx)
}

// startAgents runs the agents of a group until ctx ends.
func startAgents(ctx context.Context, t *testing.T, e Engine, kv infra.KV) {
	ctx, stop := context.WithCancel(ctx)
	var agents sync.WaitGroup
	t.Cleanup(func() { stop(); agents.Wait() })
	for r := range groupRanks {
		addr := fmt.Sprintf("rank-%d", r)
		put(t, kv, "target/"+addr, routing.Target{ID: addr, Addr: addr, Backend: "b", Slots: 1})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		o := AgentOptions{Instance: addr, RankAddr: addr, Backend: "b", PeerAddr: l.Addr().String(), KV: kv, Records: testRecords{}, Engine: e, StopTimeout: 8 * time.Second, Log: slog.New(slog.DiscardHandler)}
		agents.Go(func() { _ = RunAgent(ctx, o, l) })
	}
}

func standinItems(kv infra.KV) ItemLister {
	return func(ctx context.Context, prefix string) ([]infra.Item, error) {
		items, _, err := kv.List(ctx, prefix)
		return items, err
	}
}
