package groupadmission

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/routing/concurrency"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	testGroup, testBackend = "g1", "llm"
	testRanks, testSlots   = 4, 10
)

var testEngine = routing.EngineTimes{StepsPerPass: 5, Step: 4 * time.Millisecond, PerRequest: time.Millisecond, UsualPrompt: 800, UsualResponse: 100, ExpertShare: 0.85}

// instance is one instance with its server and its client, which dials the coordinator
// that the test names.
type instance struct {
	id     string
	addr   string
	server *Server
	client *Client

	mu          sync.Mutex
	coordinator Coordinator
	lastLimit   float64
	listener    net.Listener
	conns       []net.Conn
	frozen      chan struct{} // while it is open, nothing that arrives is read
}

// startInstance starts an instance. With serve it accepts the sessions of others.
func startInstance(t *testing.T, id string) *instance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	i := &instance{id: id, addr: l.Addr().String(), listener: l}
	i.server = NewServer(ServerOptions{
		Backend: func(name string) (Backend, bool) {
			m, ok := concurrency.NewModel(&testEngine)
			return Backend{Model: m, GapGoal: 150 * time.Millisecond, Slots: testSlots}, ok && name == testBackend
		},
		LastLimit: func(string) float64 {
			i.mu.Lock()
			defer i.mu.Unlock()
			return i.lastLimit
		},
		Log: log, Registry: metrics.NewRegistry(),
	})
	i.client = NewClient(ClientOptions{
		Instance: id, Server: i.server, Log: log, OnLoad: func(string) {},
		Hello: func() *wirepb.Hello { return &wirepb.Hello{Instance: id} },
		Coordinators: func(context.Context) map[string]Coordinator {
			i.mu.Lock()
			defer i.mu.Unlock()
			return map[string]Coordinator{testGroup: i.coordinator}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { i.accept(ctx) })
	wg.Go(func() { i.server.Run(ctx) })
	wg.Go(func() { i.client.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		i.cut()
		wg.Wait()
	})
	return i
}

func (i *instance) accept(ctx context.Context) {
	for {
		conn, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.conns = append(i.conns, conn)
		i.mu.Unlock()
		go func() {
			session, err := wire.Server(&freezableConn{conn, i}, nil, &wirepb.Hello{Instance: i.id})
			if err != nil {
				return
			}
			defer context.AfterFunc(ctx, func() { _ = session.Close() })()
			i.server.Serve(ctx, session)
		}()
	}
}

// freezableConn is a connection of an instance that may be frozen.
type freezableConn struct {
	net.Conn
	i *instance
}

func (c *freezableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.i.mu.Lock()
	frozen := c.i.frozen
	c.i.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	return n, err
}

// freeze keeps the instance from reading what arrives until the returned function is
// called. It must report no loads meanwhile.
func (i *instance) freeze() (wake func()) {
	frozen := make(chan struct{})
	i.mu.Lock()
	i.frozen = frozen
	i.mu.Unlock()
	return func() {
		i.mu.Lock()
		i.frozen = nil
		i.mu.Unlock()
		close(frozen)
	}
}

// cut ends the listener and all sessions that the instance serves.
func (i *instance) cut() {
	_ = i.listener.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.conns {
		_ = c.Close()
	}
}

func (i *instance) follow(coordinator *instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.coordinator = Coordinator{Instance: coordinator.id, PeerAddr: coordinator.addr}
}

// report reports a load to the server of the instance, with the same number of requests
// at each rank.
func (i *instance) report(requestsPerRank int) { i.reportAsOf(requestsPerRank, time.Now()) }

func (i *instance) reportAsOf(requestsPerRank int, asOf time.Time) {
	l := &routing.GroupLoad{Group: testGroup, Backend: testBackend, AsOf: asOf, Open: true, Imbalance: 1.2, Slowdown: 1}
	for range testRanks {
		l.Ranks = append(l.Ranks, routing.RankLoad{Running: requestsPerRank})
	}
	i.server.SetLoad(l)
}

// keepReporting reports a load again and again until the returned function is called.
func (i *instance) keepReporting(requestsPerRank int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	i.report(requestsPerRank)
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			i.report(requestsPerRank)
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// awaitState waits until the instance knows a state of the group that fits.
func (i *instance) awaitState(t *testing.T, fits func(GroupState) bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		s, ok := i.client.State(testGroup, time.Now())
		return ok && fits(s)
	}, 5*time.Second, 5*time.Millisecond)
}

// ask asks for a place with a route priority and returns the verdict.
func (i *instance) ask(ctx context.Context, routePriority int, wait time.Duration) (Verdict, error) {
	now := time.Now()
	return i.client.Ask(ctx, testGroup, PlaceRequest{RoutePriority: routePriority, GoalBy: now.Add(500 * time.Millisecond), LatestStart: now.Add(wait)})
}

// reportRequests reports a load of a number of requests at all ranks together.
func (i *instance) reportRequests(n int) {
	l := &routing.GroupLoad{Group: testGroup, Backend: testBackend, AsOf: time.Now(), Open: true, Imbalance: 1.2, Slowdown: 1, Ranks: make([]routing.RankLoad, testRanks)}
	for k := range n {
		l.Ranks[k%testRanks].Running++
	}
	i.server.SetLoad(l)
}

// fullGroupLoad returns the load of a group without room.
func fullGroupLoad(backend string) *routing.GroupLoad {
	l := &routing.GroupLoad{Group: testGroup, Backend: backend, AsOf: time.Now(), Open: true, Imbalance: 1.2, Slowdown: 1}
	for range testRanks {
		l.Ranks = append(l.Ranks, routing.RankLoad{Running: testSlots, Waiting: testSlots})
	}
	return l
}

func (i *instance) limit() float64 {
	i.server.mu.Lock()
	defer i.server.mu.Unlock()
	return i.server.groups[testGroup].limit
}

// waiting returns the number of requests in the queue of a group.
func (s *Server) waiting(group string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[group]; g != nil {
		return g.queue.Waiting()
	}
	return 0
}
