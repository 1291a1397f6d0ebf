package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/gateway/crashguard"
	"github.com/skylarkstep/skylarkstep/gateway/groupadmission"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
)

// Options configures one instance.
type Options struct {
	Instance string
	// Process identifies this process of the instance uniquely:
	// INSTANCE/NUMBER.
	Process    string
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string
	// CallerAddr is the address for callers, and PeerAddr the one for the other
	// instances.
	CallerAddr, PeerAddr string
	// AddressTTL is how long callers may cache a list of addresses.
	AddressTTL time.Duration
	Limits     Limits

	// TakeOver is called when another instance hands over a coordinator term. It
	// returns false if this process cannot continue the term, which then goes to
	// another instance. It may be nil.
	TakeOver func(Term) bool

	// DecodeRank decodes the record of a rank, and DecodeCoordinator that of the
	// coordinator of a group: the group and the instance. They return false for other
	// items, and may be nil.
	DecodeRank        func(key string, value []byte) (routing.RankMember, bool)
	DecodeCoordinator func(key string, value []byte) (group, instance string, ok bool)

	KV          infra.KV
	ItemDecoder ItemDecoder
	Headers     Headers
	Log         *slog.Logger
	Registry    metrics.Registry
}

// Limits holds settings that may change while the instance runs.
type Limits struct {
	// MaxIsolatedStaleness is how stale the configuration of an isolated
	// instance may be: one that reaches neither the store nor another instance.
	// Beyond it, the instance rejects requests.
	MaxIsolatedStaleness time.Duration
	// WatchTakeoverAge is the age of the cached copy at which an instance that follows
	// others watches the store itself; zero means defaultWatchTakeoverAge.
	WatchTakeoverAge time.Duration
	// StopTimeout is the longest time that a planned stop may take. A change
	// during a stop has no effect on it.
	StopTimeout time.Duration
	Retries     routing.RetryLimits
	// RetainedPromptTokens is the number of tokens of prompts that a target keeps after
	// their requests have ended; zero if it keeps none.
	RetainedPromptTokens int
}

// Gateway is one instance of the load balancer.
type Gateway struct {
	opts    Options
	id      string
	log     *slog.Logger
	kv      infra.KV
	decoder ItemDecoder
	headers Headers
	metrics *gatewayMetrics

	control      *control
	callers      *callerServer
	queues       *queues
	peerSessions *sessionTable
	ownRecord    lease.Record // the registry entry of this instance
	snapshot     atomic.Pointer[snapshot]
	// configured is closed when the first configuration is active.
	configured chan struct{}
	inFlight   atomic.Int64
	workTimes  workTimes
	inProgress inProgress
	stops      *stopState
	guard      *crashguard.Guard
	demands    demandTable
	// admissionServer serves the rank groups that this process coordinates, and
	// admission knows all groups to which this instance sends requests.
	admissionServer *groupadmission.Server
	admission       *groupadmission.Client
	heldPrompts     heldPrompts

	limits atomic.Pointer[Limits]

	mu           sync.Mutex
	retryBudgets map[string]*routing.RetryBudget
}

// New returns an instance that is not running yet.
func New(o Options) *Gateway {
	g := &Gateway{
		opts: o, id: o.Instance, log: o.Log, kv: o.KV, decoder: o.ItemDecoder, headers: o.Headers,
		metrics: newMetrics(o.Registry, o.Log), peerSessions: &sessionTable{claimed: map[string]bool{}},
		configured: make(chan struct{}), workTimes: workTimes{groups: map[workGroup]*workSamples{}}, stops: newStopState(), guard: crashguard.NewGuard(), demands: demandTable{byBackend: map[string]*routing.DecayingCount{}},
		retryBudgets: map[string]*routing.RetryBudget{},
	}
	g.limits.Store(&o.Limits)
	g.callers = newCallerServer(g, g.log)
	g.queues = &queues{g: g, byBackend: map[string]*queue{}}
	g.control = newControl(g)
	g.admissionServer = groupadmission.NewServer(groupadmission.ServerOptions{
		Backend: g.groupBackend, LastLimit: func(group string) float64 { return g.admission.LastLimit(group, time.Now()) }, Log: g.log, Registry: o.Registry,
	})
	g.admission = groupadmission.NewClient(groupadmission.ClientOptions{
		Instance: g.id, Server: g.admissionServer, Coordinators: g.groupCoordinators, OnLoad: g.recordGroupLoad, Hello: g.hello, Log: g.log,
	})
	own := instanceRecord{CallerAddr: o.CallerAddr, PeerAddr: o.PeerAddr, DataCentre: o.DataCentre, Region: o.Region}
	g.ownRecord = lease.Record{
		KV: o.KV, Key: recordKey(g.id), Value: own.encode(), TTL: registryTTL, RenewInterval: registryRenewInterval,
		OnLost: func() { g.log.Warn("own record lost, writing it again", "key", recordKey(g.id)) },
	}
	return g
}

// sessionTable records the peers to which this instance has opened or is
// opening a session, so that it dials each peer only once at a time.
type sessionTable struct {
	mu      sync.Mutex
	claimed map[string]bool
}

func (t *sessionTable) claim(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.claimed[id] {
		return false
	}
	t.claimed[id] = true
	return true
}

func (t *sessionTable) release(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.claimed, id)
}

// servingSnapshot returns the snapshot by which requests are served, or the
// error with which they are rejected.
func (g *Gateway) servingSnapshot() (*snapshot, error) {
	s := g.snapshot.Load()
	switch {
	case s == nil:
		return nil, errkind.New(errkind.NotReady, "no configuration yet").WithRetryAfter(jitter(minRetryAfter))
	case g.isIsolated():
		return nil, errkind.New(errkind.Isolated, "the configuration may have changed; use another address").WithRetryAfter(minRetryAfter)
	}
	return s, nil
}

// Ready returns nil if the instance should receive new callers, or the reason
// why not.
func (g *Gateway) Ready() error {
	if g.isLeaving() {
		return errkind.New(errkind.Leaving, "the instance is stopping")
	}
	_, err := g.servingSnapshot()
	return err
}

func (g *Gateway) isIsolated() bool {
	refuseFrom := g.control.refuseFrom.Load()
	return refuseFrom != 0 && monotonic(time.Now()) > refuseFrom
}

// SetLimits replaces the limits. Attempts that were already counted stay
// counted.
func (g *Gateway) SetLimits(l Limits) {
	g.limits.Store(&l)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, budget := range g.retryBudgets {
		budget.SetLimits(l.Retries)
	}
}

func (g *Gateway) randomFraction() float64 { return rand.Float64() }

// retryBudget returns this instance's share of the retry budget of a back end.
// The caller holds g.mu.
func (g *Gateway) retryBudget(backend string, now time.Time) *routing.RetryBudget {
	budget := g.retryBudgets[backend]
	if budget == nil {
		budget = routing.NewRetryBudget(g.limits.Load().Retries)
		g.retryBudgets[backend] = budget
	}
	if snapshot := g.snapshot.Load(); snapshot != nil {
		budget.SetInstances(snapshot.instanceCount, now)
	}
	return budget
}

func (g *Gateway) countFirstAttempt(backend string) {
	now := time.Now()
	g.demands.recordRequest(backend, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(backend, now).RecordFirstAttempt(now)
}

// takeRetry reports whether the instance's share of the retry budget allows one
// more attempt, and counts the attempt if so.
func (g *Gateway) takeRetry(backend string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	ok := g.retryBudget(backend, now).TakeRetry(now)
	if ok {
		g.metrics.retries.Inc(1)
	}
	return ok
}

// allowsRetry reports whether the instance's share of the retry budget would allow one
// more attempt now.
func (g *Gateway) allowsRetry(backend string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.retryBudget(backend, now).AllowsRetry(now)
}

// Items returns the items of the key-value store whose keys have the prefix,
// from this instance's cached copy. It fails until the copy has been loaded.
func (g *Gateway) Items(ctx context.Context, prefix string) ([]infra.Item, error) {
	found, ok := query(ctx, g.control, func() []infra.Item {
		if g.control.mirror.Revision() == 0 {
			return nil
		}
		found := []infra.Item{}
		g.control.mirror.Each(func(it infra.Item) {
			if strings.HasPrefix(it.Key, prefix) {
				found = append(found, it)
			}
		})
		return found
	})
	if !ok || found == nil {
		return nil, errkind.New(errkind.NotReady, "the cached copy of the key-value store is not loaded yet")
	}
	return found, nil
}

// SetGroupLoad records the load of a rank group that this process coordinates, and
// EndGroupLoad that it does not coordinate the group any longer.
func (g *Gateway) SetGroupLoad(l *routing.GroupLoad) { g.admissionServer.SetLoad(l) }

// EndGroupLoad implements the end described at SetGroupLoad.
func (g *Gateway) EndGroupLoad(group string) { g.admissionServer.EndLoad(group) }

// Instances returns the number of instances that this one knows of, including itself.
func (g *Gateway) Instances() int {
	if s := g.snapshot.Load(); s != nil {
		return s.instanceCount
	}
	return 1
}

// Listeners holds the open listeners of an instance.
type Listeners struct {
	Callers, Peers net.Listener
}

// Run serves until ctx ends, and then stops without interrupting requests.
func (g *Gateway) Run(ctx context.Context, l Listeners) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { g.control.run(runCtx) })
	group.Go(func() { g.control.watch(runCtx) })
	group.Go(func() { g.dialPeers(runCtx) })
	group.Go(func() { g.acceptPeers(runCtx, l.Peers) })
	group.Go(func() { g.ownRecord.Run(ctx) })
	group.Go(func() { g.keepRecord(runCtx) })
	group.Go(func() { g.admissionServer.Run(runCtx) })
	group.Go(func() { g.admission.Run(runCtx) })
	failed := make(chan error, 1)
	go func() { failed <- g.callers.serve(l.Callers) }()
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		g.stop(context.Cause(ctx), l.Callers)
	}
	g.callers.close()
	cancel()
	_ = l.Peers.Close()
	group.Wait()
	return err
}
