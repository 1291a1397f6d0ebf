package config

import "time"

// BackendKind distinguishes model engines from plain services.
type BackendKind string

// The kinds of back end.
const (
	KindModel   BackendKind = "model"
	KindService BackendKind = "service"
)

// Config is one accepted revision of the configuration: the inventory and the
// rules that apply to it. It is immutable once it has been published.
type Config struct {
	Revision  uint64    `json:"revision,omitempty"`
	Inventory Inventory `json:"inventory"`
	Rules     Rules     `json:"rules"`
}

// Inventory lists the data centres, instances, back ends and customers of a
// deployment.
type Inventory struct {
	Regions     []Region     `json:"regions"`
	DataCentres []DataCentre `json:"data_centres"`
	Entries     []Entry      `json:"entries"`
	Backends    []Backend    `json:"back_ends"`
	Targets     []Target     `json:"targets"`
	Groups      []Group      `json:"groups,omitempty"`
	Customers   []Customer   `json:"customers"`
}

// Region is a set of data centres.
type Region struct {
	Name string `json:"name"`
}

// DataCentre is the unit that operators take out of service and put back.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Entry is an instance that callers connect to.
type Entry struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	HTTPAddr   string `json:"http_addr"`
	PeerAddr   string `json:"peer_addr"`
}

// Backend is a model or a plain service that targets run.
type Backend struct {
	Name  string      `json:"name"`
	Kind  BackendKind `json:"kind"`
	Model string      `json:"model,omitempty"`
}

// Target is one replica of a back end.
type Target struct {
	Name       string `json:"name"`
	Backend    string `json:"back_end"`
	DataCentre string `json:"data_centre"`
	PeerAddr   string `json:"peer_addr"`
	Group      string `json:"group,omitempty"`
}

// Group is a set of ranks that run in lock-step.
type Group struct {
	Name       string `json:"name"`
	Backend    string `json:"back_end"`
	DataCentre string `json:"data_centre"`
	Ranks      int    `json:"ranks"`
	Experts    int    `json:"experts"`
	Layers     int    `json:"layers"`
	// SlotsPerRank is the number of experts that a rank holds per layer.
	SlotsPerRank int `json:"slots_per_rank"`
}

// Customer is the account that a caller's key belongs to.
type Customer struct {
	Name string `json:"name"`
	// Weight is the customer's relative share under contention. Zero means 1.
	Weight int `json:"weight,omitempty"`
	// KeySHA256 are the hexadecimal SHA-256 digests of the customer's keys.
	KeySHA256 []string `json:"key_sha256"`
}

// Rules define how the inventory is used.
type Rules struct {
	Serve          []ServeRule       `json:"serve,omitempty"`
	Idempotent     []IdempotentRule  `json:"idempotent,omitempty"`
	Warmup         []WarmupRule      `json:"warmup,omitempty"`
	Limits         []LimitRule       `json:"limits,omitempty"`
	DataCentresOut []string          `json:"data_centres_out,omitempty"`
	TargetsLeaving []string          `json:"targets_leaving,omitempty"`
	FrozenGroups   []string          `json:"groups_frozen,omitempty"`
	Isolated       IsolatedBehaviour `json:"isolated,omitempty"`
	// AddressTTLMs is how long callers keep an address response.
	AddressTTLMs int `json:"address_ttl_ms,omitempty"`
}

// IsolatedBehaviour defines whether an isolated process, which may have missed a
// change of the configuration, accepts new work.
type IsolatedBehaviour string

// The values of IsolatedBehaviour. The empty value means IsolatedRefuse.
const (
	IsolatedRefuse IsolatedBehaviour = "refuse"
	IsolatedServe  IsolatedBehaviour = "serve"
)

// ServeRule restricts a customer to the listed data centres. A customer without
// a rule may use all of them.
type ServeRule struct {
	Customer    string   `json:"customer"`
	DataCentres []string `json:"data_centres"`
}

// IdempotentRule marks operations of a back end as idempotent, so that they may
// be retried. An operation that no rule names is non-idempotent.
type IdempotentRule struct {
	Backend    string   `json:"back_end"`
	Operations []string `json:"operations"`
}

// WarmupRule defines the warm-up of new targets of a back end: the initial limit
// of concurrent requests, and the factor by which it grows in each interval.
type WarmupRule struct {
	Backend    string  `json:"back_end"`
	Initial    int     `json:"initial"`
	Factor     float64 `json:"factor"`
	IntervalMs int     `json:"interval_ms"`
}

// LimitRule limits the concurrent requests and the queueing time on each target
// of a back end.
type LimitRule struct {
	Backend     string `json:"back_end"`
	Concurrency int    `json:"concurrency"`
	MaxWaitMs   int    `json:"max_wait_ms"`
}

// Defaults for rules that a configuration does not contain.
const (
	DefaultAddressTTL     = 10 * time.Second
	DefaultConcurrency    = 64
	DefaultMaxWait        = 2 * time.Second
	DefaultWarmupInitial  = 2
	DefaultWarmupFactor   = 1.5
	DefaultWarmupInterval = 2 * time.Second
)

// AddressTTL returns how long callers keep an address response.
func (c *Config) AddressTTL() time.Duration {
	if c.Rules.AddressTTLMs == 0 {
		return DefaultAddressTTL
	}
	return time.Duration(c.Rules.AddressTTLMs) * time.Millisecond
}

// IsOut reports whether operators have taken the data centre out of service.
func (c *Config) IsOut(dataCentre string) bool {
	return contains(c.Rules.DataCentresOut, dataCentre)
}

// IsLeaving reports whether the target must receive no new work, because
// operators have marked it as leaving or taken its data centre out of service.
func (c *Config) IsLeaving(t Target) bool {
	return contains(c.Rules.TargetsLeaving, t.Name) || c.IsOut(t.DataCentre)
}

// IsFrozen reports whether operators have frozen the group's expert map.
func (c *Config) IsFrozen(group string) bool {
	return contains(c.Rules.FrozenGroups, group)
}

// IsIdempotent reports whether a rule marks the operation as idempotent.
func (c *Config) IsIdempotent(backend, operation string) bool {
	for _, r := range c.Rules.Idempotent {
		if r.Backend == backend && contains(r.Operations, operation) {
			return true
		}
	}
	return false
}

// Serves reports whether the data centre may serve the customer.
func (c *Config) Serves(customer, dataCentre string) bool {
	for _, r := range c.Rules.Serve {
		if r.Customer == customer {
			return contains(r.DataCentres, dataCentre)
		}
	}
	return true
}

// Warmup returns the warm-up rule of a back end, or the default rule.
func (c *Config) Warmup(backend string) WarmupRule {
	for _, r := range c.Rules.Warmup {
		if r.Backend == backend {
			return r
		}
	}
	return WarmupRule{
		Backend:    backend,
		Initial:    DefaultWarmupInitial,
		Factor:     DefaultWarmupFactor,
		IntervalMs: int(DefaultWarmupInterval / time.Millisecond),
	}
}

// Limit returns the limits of a back end, or the default limits.
func (c *Config) Limit(backend string) LimitRule {
	for _, r := range c.Rules.Limits {
		if r.Backend == backend {
			return r
		}
	}
	return LimitRule{
		Backend:     backend,
		Concurrency: DefaultConcurrency,
		MaxWaitMs:   int(DefaultMaxWait / time.Millisecond),
	}
}

// Target returns the target with the given name.
func (c *Config) Target(name string) (Target, bool) {
	for _, t := range c.Inventory.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// Backend returns the back end with the given name.
func (c *Config) Backend(name string) (Backend, bool) {
	for _, b := range c.Inventory.Backends {
		if b.Name == name {
			return b, true
		}
	}
	return Backend{}, false
}

// BackendForModel returns the back end that serves the model.
func (c *Config) BackendForModel(model string) (Backend, bool) {
	for _, b := range c.Inventory.Backends {
		if b.Kind == KindModel && b.Model == model {
			return b, true
		}
	}
	return Backend{}, false
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
