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
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
)

// Options describe one instance.
type Options struct {
	Instance string
	// Process is unique to this process of the instance: INSTANCE/NUMBER.
	Process    string
	DataCentre string
	Region     string
	// Regions maps data centres to regions.
	Regions map[string]string
	// CallerAddr is where callers connect, and PeerAddr where the other
	// instances do.
	CallerAddr, PeerAddr string
	// StopWithin is how long a planned stop may take.
	StopWithin time.Duration
	// AddressAge is how long callers may keep a list of addresses.
	AddressAge time.Duration
	Limits     Limits

	// TakeOver is called when another instance passes on a term; nil is allowed.
	TakeOver func(Term)

	KV       infra.KV
	Records  Records
	Headers  Headers
	Log      *slog.Logger
	Registry metrics.Registry
}

// Limits may change while the instance runs.
type Limits struct {
	// RefuseAfter is the age of the configuration from which an instance that
	// reaches nobody refuses requests.
	RefuseAfter time.Duration
	Retries     routing.RetryLimits
}

// Gateway is one instance.
type Gateway struct {
	o       Options
	id      string
	log     *slog.Logger
	kv      infra.KV
	records Records
	headers Headers
	metrics *gatewayMetrics

	control  *control
	callers  *callerServer
	queues   *queues
	dialing  *dialing
	registry lease.Record
	state    atomic.Pointer[snapshot]
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	leaving    atomic.Bool
	refusing   atomic.Bool // set late in a planned stop
	working    atomic.Int64

	limits atomic.Pointer[Limits]

	mu     sync.Mutex
	shares map[string]*routing.RetryShare
}

// New returns an instance that does not run yet.
func New(o Options) *Gateway {
	g := &Gateway{
		o: o, id: o.Instance, log: o.Log, kv: o.KV, records: o.Records, headers: o.Headers,
		metrics: newMetrics(o.Registry, o.Log), dialing: &dialing{busy: map[string]bool{}},
		configured: make(chan struct{}),
		shares:     map[string]*routing.RetryShare{},
	}
	g.limits.Store(&o.Limits)
	g.callers = newCallerServer(g, g.log)
	g.queues = &queues{g: g, by: map[string]*queue{}}
	g.control = newControl(g)
	own := record{CallerAddr: o.CallerAddr, PeerAddr: o.PeerAddr, DataCentre: o.DataCentre, Region: o.Region}
	g.registry = lease.Record{KV: o.KV, Key: recordKey(g.id), Value: own.encode(), TTL: registryTTL, RenewInterval: registryRenew}
	return g
}

// dialing remembers the peers to which a session is open or being opened.
type dialing struct {
	mu   sync.Mutex
	busy map[string]bool
}

func (d *dialing) begin(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.busy[id] {
		return false
	}
	d.busy[id] = true
	return true
}

func (d *dialing) end(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, id)
}

// ready returns the state by which requests are served.
func (g *Gateway) ready() (*snapshot, error) {
	s := g.state.Load()
	switch {
	case s == nil:
		return nil, errkind.New(errkind.NotReady, "no configuration yet").WithRetryAfter(jitter(comeBackSoonest))
	case g.refusing.Load():
		return nil, errkind.New(errkind.Leaving, "the instance stops").WithRetryAfter(comeBackSoonest / 2)
	case g.isIsolated():
		return nil, errkind.New(errkind.Isolated, "the configuration may have changed; use another address").WithRetryAfter(comeBackSoonest)
	}
	return s, nil
}

// Ready returns why the instance should get no new callers, or nil.
func (g *Gateway) Ready() error {
	if g.leaving.Load() {
		return errkind.New(errkind.Leaving, "the instance stops")
	}
	_, err := g.ready()
	return err
}

func (g *Gateway) isIsolated() bool {
	until := g.control.believeUntil.Load()
	return until != 0 && monotonic(time.Now()) > until
}

// SetLimits replaces the limits. What was counted for the old ones is kept.
func (g *Gateway) SetLimits(l Limits) {
	g.limits.Store(&l)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.shares {
		s.SetLimits(l.Retries)
	}
}

func (g *Gateway) draw() float64 { return rand.Float64() }

// share returns this instance's part of the retry limits of a back end.
func (g *Gateway) share(backend string, now time.Time) *routing.RetryShare {
	s := g.shares[backend]
	if s == nil {
		s = routing.NewRetryShare(g.limits.Load().Retries)
		g.shares[backend] = s
	}
	if st := g.state.Load(); st != nil {
		s.Instances(st.instances, now)
	}
	return s
}

func (g *Gateway) firstAttempt(backend string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.share(backend, now).First(now)
}

// takeRetry takes one further attempt out of the share of the instance.
func (g *Gateway) takeRetry(backend string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	ok := g.share(backend, now).Take(now)
	if ok {
		g.metrics.retries.Inc(1)
	}
	return ok
}

// Items returns the items of the key-value service whose keys begin with the
// prefix, from this instance's copy.
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
		return nil, errkind.New(errkind.NotReady, "the copy of the key-value service is not there yet")
	}
	return found, nil
}

// Listeners are the open listeners of an instance.
type Listeners struct {
	Callers, Peers net.Listener
}

// Run serves until ctx ends, and then stops without cutting requests.
func (g *Gateway) Run(ctx context.Context, l Listeners) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { g.control.run(inner) })
	group.Go(func() { g.control.watch(inner) })
	group.Go(func() { g.connect(inner) })
	group.Go(func() { g.acceptPeers(inner, l.Peers) })
	registered := make(chan struct{})
	group.Go(func() {
		defer close(registered)
		g.registry.Run(ctx)
	})
	failed := make(chan error, 1)
	go func() { failed <- g.callers.serve(l.Callers) }()
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		g.stop(l.Callers)
	}
	cancel()
	_ = l.Peers.Close()
	group.Wait()
	return err
}
