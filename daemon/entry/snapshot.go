package entry

import (
	"time"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/membership"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// snapshot is the state that request handlers read. It is immutable once it is
// published.
type snapshot struct {
	config           *config.Config
	customers        map[string]*config.Customer // by SHA-256 of the bearer key
	pools            map[string]*pool            // by back end
	connectedTargets map[string]route            // by target; includes those that get no new work
	suspectTargets   map[string]bool             // targets with a session but without recent heartbeats
	leaving          map[string]bool             // entries that announced their stop, and instances that the instance list shows as leaving
	reachableEntries map[string]bool             // entries with recent heartbeats

	verdict   configsync.Freshness
	verdictAt time.Time
	// storeReachable is whether this entry reached the key-value store when the
	// verdict was computed.
	storeReachable bool
}

// pool holds the usable targets of one back end and a picker over them.
type pool struct {
	picker  balancer.Picker
	targets []route
}

// route identifies a target and holds the session to reach it.
type route struct {
	name        string
	dataCentre  string
	session     *wire.Session
	incarnation uint64
	outstanding *balancer.Counter
}

// publishSnapshot builds a snapshot from the control state and publishes it.
func (c *control) publishSnapshot() {
	now := time.Now()
	c.updateWatcher(now)
	cfg := c.replica.Config()
	if cfg == nil {
		return
	}
	s := &snapshot{
		config:           cfg,
		verdict:          c.updateVerdict(now),
		verdictAt:        now,
		storeReachable:   c.entry.storeReachable.Load(),
		customers:        c.customersByKeyHash(cfg),
		pools:            map[string]*pool{},
		connectedTargets: map[string]route{},
		suspectTargets:   map[string]bool{},
		leaving:          map[string]bool{},
		reachableEntries: map[string]bool{},
	}
	for name, p := range c.peers {
		s.leaving[name] = p.leaving()
		s.reachableEntries[name] = len(p.sessions) > 0 && now.Sub(p.lastHeartbeatAt) <= suspectAfter
	}
	for name := range c.leavingInstances {
		s.leaving[name] = true
	}
	balancerTargets := map[string][]balancer.Target{}
	stalled := c.stalledGroups()
	ready := c.readyBackends(stalled, now)
	for _, t := range cfg.Inventory.Targets {
		ct, l := c.connectedTargets[t.Name], c.links[t.Name]
		if l == nil || ct == nil {
			continue
		}
		to := route{name: t.Name, dataCentre: t.DataCentre, session: ct.session, incarnation: ct.incarnation, outstanding: l.outstanding}
		s.connectedTargets[t.Name] = to
		s.suspectTargets[t.Name] = ct.suspect(now)
		state := c.targetState(t.Name, now)
		if s.leaving[t.Name] || stalled[t.Group] || !state.Usable() || !usable(cfg, t, ct) || state == membership.Slow && ready[t.Backend] {
			continue
		}
		p := s.pools[t.Backend]
		if p == nil {
			p = &pool{}
			s.pools[t.Backend] = p
		}
		p.targets = append(p.targets, to)
		balancerTargets[t.Backend] = append(balancerTargets[t.Backend], balancerTarget(t, ct, l, now))
	}
	for name, p := range s.pools {
		p.picker = c.entry.policy.Build(balancer.Snapshot{DataCentre: c.entry.node.DataCentre, Targets: balancerTargets[name]})
	}
	c.entry.snapshot.Store(s)
}

// readyBackends returns the back ends that have a target which is usable and
// not slow. Slow targets of these back ends get no new work.
func (c *control) readyBackends(stalled map[string]bool, now time.Time) map[string]bool {
	ready := map[string]bool{}
	cfg := c.replica.Config()
	for _, t := range cfg.Inventory.Targets {
		if !stalled[t.Group] && c.targetState(t.Name, now) == membership.Ready && usable(cfg, t, c.connectedTargets[t.Name]) {
			ready[t.Backend] = true
		}
	}
	return ready
}

// customersByKeyHash returns the customers by the SHA-256 of their keys.
// Snapshots of the same configuration share the map, which is never modified.
func (c *control) customersByKeyHash(cfg *config.Config) map[string]*config.Customer {
	if c.cachedCustomersConfig == cfg {
		return c.cachedCustomers
	}
	c.cachedCustomersConfig, c.cachedCustomers = cfg, map[string]*config.Customer{}
	for i := range cfg.Inventory.Customers {
		cu := &cfg.Inventory.Customers[i]
		for _, key := range cu.KeySHA256 {
			c.cachedCustomers[key] = cu
		}
	}
	return c.cachedCustomers
}

// suspect reports whether heartbeats have stopped in either direction.
func (ct *connectedTarget) suspect(now time.Time) bool {
	return now.Sub(ct.lastHeartbeatAt) > suspectAfter || now.Sub(ct.heartbeats.LastEchoAt()) > suspectAfter
}

// isSuspect reports whether the heartbeats of a connected target have stopped.
func (e *Entry) isSuspect(target string) bool {
	s := e.snapshot.Load()
	return s != nil && s.suspectTargets[target]
}

// usable reports whether the target has a session and neither an operator nor
// the target itself has withdrawn it from new work.
func usable(c *config.Config, t config.Target, ct *connectedTarget) bool {
	return ct != nil && !c.IsLeaving(t) && ct.lastHeartbeat.GetState() != wirepb.MemberState_MEMBER_STATE_LEAVING
}
