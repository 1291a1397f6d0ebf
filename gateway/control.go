package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/gateway/crashguard"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/mirror"
	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// tickInterval is how often the control goroutine checks timeouts.
	tickInterval = 250 * time.Millisecond
	// maxFreshAge is the age up to which the cached copy of the store counts as
	// up to date. It is longer than a watch may wait without a change.
	maxFreshAge = 4 * time.Second
	// expiryGrace is how long targets whose entries expired while the store was
	// unreachable are kept after its return. Running targets have renewed their
	// entries by then.
	expiryGrace = 2500 * time.Millisecond
	// storeOutageMemory is how long after a store outage the deletion of an
	// entry may mean that the entry expired because of the outage.
	storeOutageMemory = 3 * time.Second
)

// control owns the configuration and membership state of the instance. Only its
// goroutine accesses the fields, except for the atomic ones; other goroutines
// pass it functions to run.
type control struct {
	g      *Gateway
	log    *slog.Logger
	inbox  chan func()
	ended  chan struct{} // closed when the goroutine has ended
	mirror *mirror.Mirror

	config  *routing.Config
	table   *routing.Table
	targets map[string]*target
	expired map[string]time.Time // targets whose entries expired, with the time of the deletion
	// unreadable holds the ids of the entries that are not readable.
	unreadable       map[string]bool
	peers            *peerTable
	reachablePeers   int                           // as of the last tick; the snapshot depends on it
	slowdownsByGroup map[string]map[string]float64 // by rank group and address of a target
	restoreState
	crashes *crashguard.Owner
	crashExchange
	groups    rankGroups
	instances instanceTable

	// confirmedAt is when the cached copy was last known to be up to date.
	confirmedAt time.Time
	// confirmedBy is who showed that: the store, or the instance whose heartbeat did.
	confirmedBy    string
	storeReachable bool
	// pullPendingUntil is when a request for changes counts as lost; zero if none is
	// pending.
	pullPendingUntil time.Time
	// following is set while this instance does not watch the store itself and
	// receives changes from the watchers.
	following bool
	// lastStoreOutage is when the store was last found to be unreachable for
	// all instances, and storeRecoveredAt when this one last reached it again.
	lastStoreOutage  time.Time
	storeRecoveredAt time.Time
	// needsPublish is set when the published snapshot is out of date.
	needsPublish bool
	// stale is set while the cached copy is older than maxFreshAge.
	stale bool
	// refuseFrom is when requests must be rejected unless the cached copy is
	// confirmed before, as returned by monotonic; 0 means never.
	refuseFrom atomic.Int64
	// confirmedMonotonic is confirmedAt as returned by monotonic, for the
	// goroutines that serve requests.
	confirmedMonotonic atomic.Int64
}

// staleness returns the time since the cached copy was last known to be up to
// date.
func (c *control) staleness() time.Duration {
	return time.Duration(monotonic(time.Now()) - c.confirmedMonotonic.Load())
}

func newControl(g *Gateway) *control {
	c := &control{
		g: g, log: g.log, inbox: make(chan func(), 256), ended: make(chan struct{}), mirror: mirror.New(),
		targets: map[string]*target{}, expired: map[string]time.Time{}, unreadable: map[string]bool{}, peers: newPeerTable(),
		slowdownsByGroup: map[string]map[string]float64{}, restoreState: newRestoreState(), groups: newRankGroups(), instances: instanceTable{},
	}
	c.crashes = crashguard.NewOwner(crashguard.Options{Instance: g.id, Guard: g.guard, Log: g.log, Registry: g.opts.Registry, Changed: c.sendReports, Crashed: c.targetCrashed})
	return c
}

// post queues f for the control goroutine and does not wait until it has run.
// It drops f if ctx or the control goroutine ends first.
func (c *control) post(ctx context.Context, f func()) {
	select {
	case c.inbox <- f:
	case <-ctx.Done():
	case <-c.ended:
	}
}

// call runs f on the control goroutine and waits until it has run, or until ctx
// or the control goroutine ends.
func (c *control) call(ctx context.Context, f func()) {
	done := make(chan struct{})
	c.post(ctx, func() { f(); close(done) })
	select {
	case <-done:
	case <-ctx.Done():
	case <-c.ended:
	}
}

// query runs f on the control goroutine and returns its result, or false if ctx
// or the control goroutine has ended. The result is passed through a channel, because f may still run
// after the caller has stopped waiting.
func query[T any](ctx context.Context, c *control, f func() T) (T, bool) {
	value := make(chan T, 1)
	c.post(ctx, func() { value <- f() })
	select {
	case v := <-value:
		return v, true
	case <-ctx.Done():
	case <-c.ended:
	}
	var zero T
	return zero, false
}

func (c *control) run(ctx context.Context) {
	defer close(c.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case f := <-c.inbox:
			f()
		case now := <-ticker.C:
			c.tick(now)
		case <-ctx.Done():
			return
		}
		c.publish(time.Now())
	}
}

func (c *control) tick(now time.Time) {
	c.removeExpired(now)
	c.endGracePeriods(now)
	if c.peers.hasOld(now) {
		c.peers.removeOld(c.instances, now)
	}
	c.recordStoreOutage(now)
	if n := c.peers.reachableCount(now); n != c.reachablePeers {
		c.reachablePeers, c.needsPublish = n, true
	}
	c.updateFreshness(now)
	c.updateIsolation(now)
	c.crashes.Update(now)
	for _, t := range c.targets {
		t.pool.CloseExpired(now)
		t.peerRequests.Store(c.peers.requestCount(t.ID, now))
		t.setSlowdown(c.slowdown(t.Addr, now))
	}
	c.distributeLimits(now)
	c.g.queues.grantAll()
}

// updateFreshness logs when the cached copy becomes stale or up to date.
func (c *control) updateFreshness(now time.Time) {
	stale := !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) > maxFreshAge
	if stale != c.stale {
		c.stale = stale
		c.log.Info("configuration freshness changed", "stale", stale, "age_ms", now.Sub(c.confirmedAt).Milliseconds(), "confirmed_by", c.confirmedBy,
			"revision", infra.RevisionNumber(c.mirror.Revision()), "peers_heard", c.peers.reachableCount(now))
	}
}

// updateIsolation sets the time from which requests are rejected if this
// instance is isolated. The goroutines that serve requests compare the time
// themselves, because they may run before the control goroutine after the
// process was paused.
func (c *control) updateIsolation(now time.Time) {
	if c.config == nil {
		return
	}
	refuseFrom := int64(0)
	if c.missesChanges(now) {
		refuseFrom = monotonic(c.confirmedAt.Add(c.g.limits.Load().MaxIsolatedStaleness))
	}
	if previous := c.refuseFrom.Swap(refuseFrom); (previous == 0) != (refuseFrom == 0) {
		c.log.Info("isolation changed", "isolated", refuseFrom != 0, "confirmed_ms", now.Sub(c.confirmedAt).Milliseconds())
	}
}

// recordStoreSuccess records a reply of the store that shows its contents as of
// a time.
func (c *control) recordStoreSuccess(asOf, now time.Time) {
	if !c.storeReachable {
		c.log.Info("dependency back", "dependency", "key-value service", "revision", infra.RevisionNumber(c.mirror.Revision()))
		c.storeRecoveredAt = now
	}
	c.storeReachable = true
	c.confirmAsOf(asOf, "store")
}

// confirmAsOf records that the cached copy was up to date at the given time, and who
// has shown that.
func (c *control) confirmAsOf(asOf time.Time, by string) {
	if asOf.After(c.confirmedAt) {
		c.confirmedAt, c.confirmedBy = asOf, by
		c.confirmedMonotonic.Store(monotonic(asOf))
	}
}

// recordStoreFailure records that a call to the store failed.
func (c *control) recordStoreFailure(err error, now time.Time) {
	if c.storeReachable {
		c.log.Warn("dependency lost", "dependency", "key-value service", "error", err.Error())
	}
	c.storeReachable = false
	c.recordStoreOutage(now)
}

// recordStoreOutage records an outage if no instance reaches the store. If
// another instance reaches it, only this one is refused or disconnected, and
// the entries in the store are valid. Followers need some time to find out
// whether they reach the store.
func (c *control) recordStoreOutage(now time.Time) {
	if c.storeReachable || c.peers.anyReachesStore(now) || c.peers.anyFollows(now) && now.Sub(c.confirmedAt) <= c.outageDetectionAge() {
		return
	}
	c.lastStoreOutage = now
}

// applyChanges applies changed items of the cached copy.
func (c *control) applyChanges(keys []string, source string, now time.Time) {
	for _, key := range keys {
		it, exists := c.mirror.Get(key)
		c.applyChange(key, it, exists, source, now)
	}
}

// applyChange applies one changed or deleted item of the cached copy.
func (c *control) applyChange(key string, it infra.Item, exists bool, source string, now time.Time) {
	if c.g.decoder.IsConfig(key) {
		if exists {
			c.applyConfig(it, source)
		}
		return
	}
	if id, ok := c.g.decoder.TargetID(key); ok {
		c.applyTarget(id, it, exists, source, now)
		return
	}
	if dc, ok := c.g.decoder.DataCentreOut(key); ok {
		delete(c.keptOut, dc)
		c.needsPublish = true
		c.log.Info("data centre changed", "data_centre", dc, "out", exists, "revision", infra.RevisionNumber(it.ModRevision), "source", source)
		return
	}
	switch {
	case isInstanceKey(key):
		c.needsPublish = true
	case isQuarantineKey(key):
		if exists {
			c.mergeRecord(it, now)
		}
	default:
		c.applyRankRecord(key, it.Value, exists)
	}
}

// applyConfig activates a configuration unless its version is older than or
// equal to that of the active one.
func (c *control) applyConfig(it infra.Item, source string) {
	cfg, err := c.g.decoder.Config(it.Value)
	if err == nil {
		err = cfg.Validate()
	}
	if err != nil {
		c.g.metrics.configsRefused.Inc(1)
		c.log.Error("configuration refused", "revision", infra.RevisionNumber(it.ModRevision), "source", source, "in_force", c.configVersion(), "error", err.Error())
		return
	}
	if cfg.Version <= c.configVersion() {
		c.log.Info("configuration not newer", "version", cfg.Version, "revision", infra.RevisionNumber(it.ModRevision), "source", source, "in_force", c.configVersion())
		return
	}
	c.config, c.table = cfg, routing.NewTable(cfg)
	c.g.callers.setLimits(cfg.Limits)
	c.needsPublish = true
	c.log.Info("configuration in force", "version", cfg.Version, "revision", infra.RevisionNumber(it.ModRevision), "source", source,
		"routes", len(cfg.Routes), "customers", len(cfg.Customers), "age_ms", time.Since(c.confirmedAt).Milliseconds(), "confirmed_by", c.confirmedBy)
}

// configVersion returns the version in force, or 0 if there is none.
func (c *control) configVersion() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// publish makes the current state visible to the goroutines that serve
// requests.
func (c *control) publish(now time.Time) {
	if !c.needsPublish || c.table == nil {
		return
	}
	c.needsPublish = false
	instances := c.sendingInstances(now)
	position, _ := slices.BinarySearch(instances, c.g.id)
	s := &snapshot{
		table: c.table, revision: infra.RevisionNumber(c.mirror.Revision()), targets: map[string][]*target{},
		instanceCount: len(instances), position: position,
	}
	outOfService := map[string]bool{}
	for dc := range c.keptOut {
		outOfService[dc] = true
	}
	c.mirror.Each(func(it infra.Item) {
		if dc, ok := c.g.decoder.DataCentreOut(it.Key); ok {
			outOfService[dc] = true
		}
	})
	used := c.targetByAddr()
	for _, t := range c.targets {
		if !t.isLeaving() && !outOfService[t.DataCentre] && used[t.Addr] == t {
			s.targets[t.Backend] = append(s.targets[t.Backend], t)
		}
	}
	s.groups, s.rankOf = c.groupsOf(s.targets)
	if c.g.snapshot.Swap(s) == nil {
		close(c.g.configured)
	}
	c.g.queues.grantAll()
}
