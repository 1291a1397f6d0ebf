package entry

import (
	"time"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// snapshot is what traffic reads. It is never changed after it is published.
type snapshot struct {
	config    *config.Config
	customers map[string]*config.Customer // by SHA-256 of the key
	pools     map[string]*pool            // by back end
	leaving   map[string]bool             // entries that announced their stop
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
	if c.config == nil {
		return
	}
	s := &snapshot{
		config:    c.config,
		customers: map[string]*config.Customer{},
		pools:     map[string]*pool{},
		leaving:   map[string]bool{},
	}
	for name, p := range c.peers {
		s.leaving[name] = p.leaving()
	}
	for i := range c.config.Inventory.Customers {
		cu := &c.config.Inventory.Customers[i]
		for _, key := range cu.KeySHA256 {
			s.customers[key] = cu
		}
	}
	views := map[string][]balancer.Target{}
	now := time.Now()
	for _, t := range c.config.Inventory.Targets {
		m, l := c.members[t.Name], c.links[t.Name]
		if l == nil || !usable(c.config, t, m, now) {
			continue
		}
		p := s.pools[t.Backend]
		if p == nil {
			p = &pool{}
			s.pools[t.Backend] = p
		}
		p.targets = append(p.targets, route{
			name: t.Name, dataCentre: t.DataCentre, session: m.session, incarnation: m.incarnation, sent: l.sent,
		})
		views[t.Backend] = append(views[t.Backend], view(t, m, l, now))
	}
	for name, p := range s.pools {
		p.picker = c.entry.policy.Build(balancer.Snapshot{DataCentre: c.entry.node.DataCentre, Targets: views[name]})
	}
	c.entry.snapshot.Store(s)
}

func usable(c *config.Config, t config.Target, m *member, now time.Time) bool {
	if m == nil || c.IsLeaving(t) || now.Sub(m.heardAt) > suspectAfter {
		return false
	}
	return m.heartbeat.GetState() != wirepb.MemberState_MEMBER_STATE_LEAVING
}
