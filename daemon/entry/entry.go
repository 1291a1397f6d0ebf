package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/prefix"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/daemon/claim"
	"github.com/skylarkstep/skylarkstep/daemon/groups"
	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/timeline"
)

// Entry is one running entry instance.
type Entry struct {
	node      *node.Node
	settings  *config.Settings
	instances infra.InstanceList
	// oddRow is the error of the last instance list; only watchInstances uses it.
	oddRow  string
	kv      infra.KV
	policy  balancer.Builder
	claims  *claim.Claims
	retries *retries

	snapshot atomic.Pointer[snapshot] // nil until there is a configuration
	events   chan controlEvent
	store    *configsync.Store
	lease    *lease.Holder
	// watchesStore is true while this entry is a watcher. storeReachable is true
	// while it reaches the key-value store. Both are written by the control
	// goroutine.
	watchesStore   atomic.Bool
	storeReachable atomic.Bool
	inflight       node.Inflight
	stopping       atomic.Bool

	peerListener net.Listener
	peerSessions peerSessions

	groups atomic.Pointer[groups.Runner]
}

// Options holds the dependencies and settings of an entry.
type Options struct {
	Settings *config.Settings
	Node     *node.Node
	KV       infra.KV
	// Instances is the instance list of the platform; nil disables it.
	Instances infra.InstanceList
	// PeerListener accepts sessions from other entries; if nil, none are accepted.
	PeerListener net.Listener
	// Policy is the routing policy; nil selects the default, prefix.Builder.
	Policy balancer.Builder
}

// eventQueueSize is the capacity of the queue of control events. A full queue
// blocks its senders, which delays heartbeats but loses none.
const eventQueueSize = 1024

// New returns an entry. Run starts it.
func New(o Options) *Entry {
	if o.Policy == nil {
		o.Policy = prefix.Builder{}
	}
	e := &Entry{
		node:      o.Node,
		settings:  o.Settings,
		kv:        o.KV,
		instances: o.Instances,
		policy:    o.Policy,
		claims:    claim.New(o.KV),
		retries:   newRetries(),
		events:    make(chan controlEvent, eventQueueSize),

		store:        configsync.NewStore(o.KV),
		peerListener: o.PeerListener,
	}
	e.watchesStore.Store(true)
	e.lease = e.newLease()
	return e
}

// Run serves callers and operators on ln until ctx is cancelled. Then it
// performs a planned stop within the stop bound of the settings.
func (e *Entry) Run(ctx context.Context, ln net.Listener) error {
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	go e.runControl(controlCtx)
	go e.watchConfig(controlCtx)
	if e.instances != nil {
		go e.watchInstances(controlCtx)
	}
	defer e.startCoordinating(ctx)()
	if e.peerListener != nil {
		defer func() { _ = e.peerListener.Close() }()
		go e.acceptPeers(controlCtx, e.peerListener)
	}

	srv := httpapi.NewServer(e.Handler(), e.node.Log)
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(ln) }()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	e.stop(srv)
	return nil
}

// startCoordinating competes for the lease and coordinates groups until ctx ends.
// The runner then finishes what it has begun, and the lease is released, so that
// another entry coordinates while this one finishes its last requests. The
// function that it returns ends both and waits for them.
func (e *Entry) startCoordinating(ctx context.Context) (end func()) {
	ctx, stop := context.WithCancel(ctx)
	leaseCtx, releaseLease := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	running.Go(func() { e.lease.Run(leaseCtx) })
	running.Go(func() {
		defer releaseLease()
		e.runGroups(ctx)
	})
	return func() {
		stop()
		running.Wait()
	}
}

// propagationMargin is the time allowed until every other entry has received
// the notice of a planned stop. Until then, address responses may still contain
// this entry.
const propagationMargin = 500 * time.Millisecond

// stop performs a planned stop: it keeps accepting connections until address
// responses that contain this entry have expired, then waits for the requests
// in progress.
func (e *Entry) stop(srv *http.Server) {
	e.stopping.Store(true)
	e.post(context.Background(), (*control).sendHeartbeatsNow)
	e.recordStopStep("absent from new address answers")
	ttl := config.DefaultAddressTTL
	if s := e.snapshot.Load(); s != nil {
		ttl = s.config.AddressTTL()
	}
	timeout := e.settings.StopTimeout()
	deadline := time.Now().Add(timeout)
	time.Sleep(min(ttl+propagationMargin, timeout/2))
	e.recordStopStep("refusing new connections")
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		e.node.Log.Warn("planned stop: bound reached with requests in progress", "in_progress", e.inflight.Count())
		_ = srv.Close()
		return
	}
	e.recordStopStep("requests finished")
}

func (e *Entry) recordStopStep(step string) {
	e.node.Events.Record(timeline.Event{Kind: timeline.StopStep, Detail: step})
	e.node.Log.Info("planned stop", "step", step, "in_progress", e.inflight.Count())
}
