package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// Table finds the route, customer and back end of a request. It is immutable.
type Table struct {
	Config    *Config
	byHost    map[string][]*Route
	customers map[string]*Customer
	backends  map[string]*Backend
	gapGoals  map[string]time.Duration // by back end
}

// NewTable returns a table for a configuration.
func NewTable(c *Config) *Table {
	t := &Table{
		Config: c, byHost: map[string][]*Route{},
		customers: map[string]*Customer{}, backends: map[string]*Backend{}, gapGoals: map[string]time.Duration{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.addGapGoals(r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			t.customers[key] = &c.Customers[i]
		}
	}
	for i := range c.Backends {
		t.backends[c.Backends[i].Name] = &c.Backends[i]
	}
	return t
}

func (t *Table) addGapGoals(r *Route) {
	if r.Kind != Stream || r.GapGoal <= 0 {
		return
	}
	for _, w := range r.Split {
		if goal := t.gapGoals[w.Backend]; w.Weight > 0 && (goal == 0 || r.GapGoal < goal) {
			t.gapGoals[w.Backend] = r.GapGoal
		}
	}
}

// Backend returns the back end with the name, or nil.
func (t *Table) Backend(name string) *Backend { return t.backends[name] }

// GapGoal returns the strictest goal for the pauses of the streams that routes send to a
// back end; 0 if there is none.
func (t *Table) GapGoal(backend string) time.Duration { return t.gapGoals[backend] }

// Route returns the route of the host with the longest matching prefix of the
// path. It ignores a port in the host.
func (t *Table) Route(host, path string) (*Route, error) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, nil
		}
	}
	return nil, errkind.New(errkind.UnknownBackend, "no route of host %q matches path %q", host, path)
}

// Customer returns the customer that a key belongs to. Public routes, and all
// routes of a configuration without customers, require no key; the customer is
// then nil.
func (t *Table) Customer(r *Route, key string) (*Customer, error) {
	if len(t.Config.Customers) == 0 || r.Public {
		return nil, nil
	}
	c := t.customers[key]
	if c == nil {
		return nil, errkind.New(errkind.Unauthenticated, "the key belongs to no customer")
	}
	return c, nil
}

// PickBackend picks a back end of the route by weight. draw is a random number
// in [0,1).
func (r *Route) PickBackend(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Backend
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Backend
}

// Priority returns the priority of a request: that of the customer if it is
// set, or else that of the route.
func Priority(r *Route, c *Customer) int {
	if c != nil && c.Priority != nil {
		return *c.Priority
	}
	return r.Priority
}

// RegionAllowed reports whether requests of the route and customer may run in a
// region.
func RegionAllowed(r *Route, c *Customer, region string) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
		return false
	}
	return c == nil || len(c.Regions) == 0 || slices.Contains(c.Regions, region)
}
