package ranks

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
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
	coord := newCoordinator(slog.New(slog.DiscardHandler), directLinks(g), testShape())
	coord.token, coord.fencing = &endingToken{}, 7
	confirmed := coord.sendOrders(t.Context(), []switchover.Order{{Operation: switchover.Prepare, Version: 7, Epoch: 1, Map: g.maps[0]}})
	require.False(t, confirmed)
	require.Zero(t, g.highestFencing[0], "the order was sent")
	require.True(t, coord.lossyUntil.IsZero(), "an order that was not sent counts as lost")
	require.Empty(t, coord.lastPrepare, "the rank cannot have accepted the order")
}

// Guards against a coordinator that ends because a record in the store or the
// reply of an agent or a rank holds a number that no rank has.
func TestInvalidNumbersAreIgnored(t *testing.T) {
	g := newFakeGroup(0)
	log := slog.New(slog.DiscardHandler)
	t.Run("record", func(t *testing.T) {
		for _, r := range []agentRecord{
			{Group: "g", Rank: -1, Size: groupRanks},
			{Group: "g", Rank: groupRanks, Size: groupRanks},
			{Group: "g", Rank: 0, Size: -1},
			{Group: "g", Rank: 0, Size: math.MaxInt},
		} {
			l := directLinks(g)
			l.listItems = func(context.Context, string) ([]infra.Item, error) {
				value, err := json.Marshal(r)
				return []infra.Item{{Key: "k", Value: value}}, err
			}
			l.refreshRecords(t.Context(), time.Now())
			require.Len(t, l.byRank, groupRanks, "%+v", r)
		}
	})
	t.Run("report of a target", func(t *testing.T) {
		for _, rank := range []int{-1, groupRanks} {
			l := directLinks(g)
			l.engine = &reportEngine{Engine: g, report: Report{Group: "g", Rank: rank, Size: groupRanks}}
			l.byRank[1].rankAddr = ""
			l.listItems = func(context.Context, string) ([]infra.Item, error) {
				value, err := json.Marshal(routing.Target{Addr: "x", Backend: "b"})
				return []infra.Item{{Key: "target/x", Value: value}}, err
			}
			l.findRankAddrs(t.Context(), time.Now())
			require.Empty(t, l.byRank[1].rankAddr)
		}
	})
	t.Run("expert of a placement", func(t *testing.T) {
		for _, expert := range []int{-1, expertsPerSet} {
			coord := newCoordinator(log, directLinks(g), &routing.ExpertShape{Sets: 1, Experts: expertsPerSet, SlotsPerRank: 4, MaxNewPerRank: 3})
			report := Report{State: switchover.State{Reported: true, Open: true}, Placement: [][]int{{0, expert}}}
			counts := make([]uint64, expertsPerSet)
			for _, n := range []uint64{0, 10_000} {
				counts[0] = n
				coord.observeCounts([]Report{{Counts: slices.Clone(counts)}}, time.Now())
			}
			states := []switchover.State{report.State}
			coord.updateCurrentMap([]Report{report}, states)
			coord.replan(states, time.Now())
			require.False(t, coord.mapKnown)
		}
	})
	t.Run("outcome of an order", func(t *testing.T) {
		for _, outcome := range []uint32{uint32(len(outcomeNames)), 255, 257, math.MaxUint32} {
			l := directLinks(g)
			l.hello = &wirepb.Hello{}
			l.byRank[0].agentAddr = serveOutcome(t, outcome)
			coord := newCoordinator(log, l, &routing.ExpertShape{Sets: 1, Experts: 1})
			coord.token, coord.fencing = fixedToken(7), 7
			require.False(t, coord.sendOrders(t.Context(), []switchover.Order{{Operation: switchover.Arm}}), outcome)
		}
	})
	t.Run("order", func(t *testing.T) {
		a := &agent{engine: g, rankAddr: "rank-0", log: log}
		w := encodeOrder(switchover.Order{Operation: switchover.Go}, 5, 1)
		w.Copies = 1000
		counting := &countingEngine{Engine: g}
		a.engine = counting
		a.forwardOrder(t.Context(), w)
		require.LessOrEqual(t, counting.orders.Load(), int64(lossyDuplicates))
	})
}

// serveOutcome runs an agent that replies to every order with an outcome, and
// returns its address.
func serveOutcome(t *testing.T, outcome uint32) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		session, err := wire.Server(conn, nil, &wirepb.Hello{})
		if err != nil {
			return
		}
		var f wirepb.RankFrame
		for session.Control().Recv(&f) == nil {
			_ = session.Control().Send(&wirepb.RankFrame{Body: &wirepb.RankFrame_Result{Result: &wirepb.RankOrderResult{Outcome: outcome}}})
		}
	}()
	return listener.Addr().String()
}

// reportEngine replies to every query with one report.
type reportEngine struct {
	Engine
	report Report
}

func (e *reportEngine) Report(context.Context, string) (Report, error) { return e.report, nil }

// countingEngine counts the orders.
type countingEngine struct {
	Engine
	orders atomic.Int64
}

func (e *countingEngine) Order(ctx context.Context, addr string, o switchover.Order, fencing uint64) (Outcome, error) {
	e.orders.Add(1)
	return e.Engine.Order(ctx, addr, o, fencing)
}

// Guards against a group that stays without new maps for recordRefresh, since
// its coordinator started before the agents had published their records.
func TestEmptyGroupIsReadAgainSoon(t *testing.T) {
	g := newFakeGroup(0)
	var records []infra.Item
	l := directLinks(g)
	l.byRank = nil
	l.listItems = func(context.Context, string) ([]infra.Item, error) { return records, nil }
	l.queryAll(t.Context(), ReportQuery{})
	value, err := json.Marshal(agentRecord{Group: "g", Rank: 0, Size: groupRanks})
	require.NoError(t, err)
	records = []infra.Item{{Key: "k", Value: value}}
	l.refreshRecords(t.Context(), time.Now().Add(recordRefreshMissing))
	require.Len(t, l.byRank, groupRanks)
}

// stallingEngine delays one report.
type stallingEngine struct {
	Engine
	stall atomic.Int64 // duration of the next report's delay
}

func (e *stallingEngine) Report(ctx context.Context, addr string) (Report, error) {
	time.Sleep(time.Duration(e.stall.Swap(0)))
	return e.Engine.Report(ctx, addr)
}

// linksThroughAgent returns links to a group whose rank 0 has an agent. The agent
// queries the rank through e.
func linksThroughAgent(t *testing.T, g *fakeGroup, e Engine) *links {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := &agent{engine: e, rankAddr: "rank-0", log: slog.New(slog.DiscardHandler), hello: &wirepb.Hello{}, ending: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() { a.serve(ctx, listener); close(served) }()
	t.Cleanup(func() { a.stopping.Store(true); cancel(); _ = listener.Close(); <-served; a.endSessions() })
	l := directLinks(g)
	l.hello, l.maxReportAge = &wirepb.Hello{}, time.Minute
	l.byRank[0].agentAddr = listener.Addr().String()
	return l
}

// Guards against a report of a rank to another machine that counts as one of now,
// and against old reports for a second after each pause of the process, in which all
// sessions time out.
func TestAgeOfReports(t *testing.T) {
	g := newFakeGroup(0)
	e := &stallingEngine{Engine: g}
	l := linksThroughAgent(t, g, e)
	age := func() time.Duration {
		before := time.Now()
		reports := l.queryAll(t.Context(), ReportQuery{})
		require.True(t, reports[0].State.Reported)
		return before.Sub(reports[0].State.AsOf)
	}
	require.LessOrEqual(t, age(), time.Duration(0), "the agent's report is as of the query")
	e.stall.Store(int64(agentQueryTimeout + 50*time.Millisecond))
	require.Greater(t, age(), time.Minute-time.Second, "the rank's own report is old")
	require.LessOrEqual(t, age(), time.Duration(0), "the session is opened again at once")
}

// Guards against reports that count as newer than they are, because the configuration
// names no lag or the lag is the least age.
func TestLargestAgeOfReports(t *testing.T) {
	require.Equal(t, 400*time.Millisecond, maxReportAge(&routing.ExpertShape{ReportLag: 200 * time.Millisecond}))
	require.Equal(t, defaultReportAge, maxReportAge(&routing.ExpertShape{}))
	require.Equal(t, defaultReportAge, maxReportAge(&routing.ExpertShape{ReportLag: -time.Second}))
}

// Guards against a coordinator that does not use the lag which the configuration names.
func TestCoordinatorUsesConfiguredLag(t *testing.T) {
	config, err := json.Marshal(routing.Config{Version: 1, Backends: []routing.Backend{{
		Name: "b", Experts: &routing.ExpertShape{Sets: 1, Experts: 4, SlotsPerRank: 4, ReportLag: 300 * time.Millisecond},
	}}})
	require.NoError(t, err)
	items := func(context.Context, string) ([]infra.Item, error) {
		return []infra.Item{{Key: "config", Value: config}}, nil
	}
	c := NewCoordinators(CoordinatorOptions{Log: slog.New(slog.DiscardHandler), Items: items, Records: testRecords{}})
	l := directLinks(newFakeGroup(0))
	require.NotNil(t, c.newCoordinator(t.Context(), l))
	require.Equal(t, 600*time.Millisecond, l.maxReportAge)
}
