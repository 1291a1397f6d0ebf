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

// snapshot is what traffic reads. It is never changed after it is published.
type snapshot struct {
	config    *config.Config
	customers map[string]*config.Customer // by SHA-256 of the key
	pools     map[string]*pool            // by back end
	members   map[string]route            // by target; also those that get no new work
	suspect   map[string]bool             // targets whose heartbeats have stopped
	leaving   map[string]bool             // entries that announced their stop
	heard     map[string]bool             // entries whose heartbeats arrive

	verdict  configsync.Verdict
	judgedAt time.Time
	// reachable says that this entry reached the key-value service when the
	// verdict was made.
	reachable bool
}

// pool is the usable targets of one back end with a picker over them.
type pool struct {
	picker  balancer.Picker
	targets []route
}

// route is how to reach one target.
type route struct {
	name        string
	dataCentre  string
	session     *wire.Session
	incarnation uint64
	sent        *balancer.Counter
}

// publish builds a new snapshot from the control state.
func (c *control) publish() {
	now := time.Now()
	c.updateWatcher(now)
	cfg := c.replica.Config()
	if cfg == nil {
		return
	}
	s := &snapshot{
		config:    cfg,
		verdict:   c.judge(now),
		judgedAt:  now,
		reachable: c.entry.reachable.Load(),
		customers: c.customersByKey(cfg),
		pools:     map[string]*pool{},
		members:   map[string]route{},
		suspect:   map[string]bool{},
		leaving:   map[string]bool{},
		heard:     map[string]bool{},
	}
	for name, p := range c.peers {
		s.leaving[name] = p.leaving()
		s.heard[name] = len(p.sessions) > 0 && now.Sub(p.heardAt) <= suspectAfter
	}
	for name := range c.leavingInstances {
		s.leaving[name] = true
	}
	views := map[string][]balancer.Target{}
	stalled := c.stalledGroups()
	ready := c.readyBackends(stalled, now)
	for _, t := range cfg.Inventory.Targets {
		m, l := c.members[t.Name], c.links[t.Name]
		if l == nil || m == nil {
			continue
		}
		to := route{name: t.Name, dataCentre: t.DataCentre, session: m.session, incarnation: m.incarnation, sent: l.sent}
		s.members[t.Name] = to
		s.suspect[t.Name] = m.suspect(now)
		state := c.targetState(t.Name, now)
		if s.leaving[t.Name] || stalled[t.Group] || !state.Usable() || !usable(cfg, t, m) || state == membership.Slow && ready[t.Backend] {
			continue
		}
		p := s.pools[t.Backend]
		if p == nil {
			p = &pool{}
			s.pools[t.Backend] = p
		}
		p.targets = append(p.targets, to)
		views[t.Backend] = append(views[t.Backend], view(t, m, l, now))
	}
	for name, p := range s.pools {
		p.picker = c.entry.policy.Build(balancer.Snapshot{DataCentre: c.entry.node.DataCentre, Targets: views[name]})
	}
	c.entry.snapshot.Store(s)
}

// readyBackends tells which back ends have a target that is usable and not
// slow. Slow targets of these are not a first choice, so they get no work.
func (c *control) readyBackends(stalled map[string]bool, now time.Time) map[string]bool {
	ready := map[string]bool{}
	cfg := c.replica.Config()
	for _, t := range cfg.Inventory.Targets {
		if !stalled[t.Group] && c.targetState(t.Name, now) == membership.Ready && usable(cfg, t, c.members[t.Name]) {
			ready[t.Backend] = true
		}
	}
	return ready
}

// customersByKey returns the customers by the SHA-256 of their keys. Snapshots of
// one configuration share the map, which is never changed.
func (c *control) customersByKey(cfg *config.Config) map[string]*config.Customer {
	if c.customersOf == cfg {
		return c.customers
	}
	c.customersOf, c.customers = cfg, map[string]*config.Customer{}
	for i := range cfg.Inventory.Customers {
		cu := &cfg.Inventory.Customers[i]
		for _, key := range cu.KeySHA256 {
			c.customers[key] = cu
		}
	}
	return c.customers
}

// suspect reports whether heartbeats have stopped in either direction.
func (m *member) suspect(now time.Time) bool {
	return now.Sub(m.heardAt) > suspectAfter || now.Sub(m.beats.LastEchoAt()) > suspectAfter
}

// isSuspect reports whether the heartbeats of a target have stopped.
func (e *Entry) isSuspect(target string) bool {
	s := e.snapshot.Load()
	return s != nil && s.suspect[target]
}

// usable reports whether neither operators nor the target itself keep new work
// away from it.
func usable(c *config.Config, t config.Target, m *member) bool {
	return m != nil && !c.IsLeaving(t) && m.heartbeat.GetState() != wirepb.MemberState_MEMBER_STATE_LEAVING
}
