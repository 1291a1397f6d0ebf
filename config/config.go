package config

import "time"

// BackendKind tells a model engine from a plain service.
type BackendKind string

// The kinds of back end.
const (
	KindModel   BackendKind = "model"
	KindService BackendKind = "service"
)

// Config is one accepted declaration: the inventory and the rules on top.
// A Config is never changed after it has been published.
type Config struct {
	Revision  uint64    `json:"revision,omitempty"`
	Inventory Inventory `json:"inventory"`
	Rules     Rules     `json:"rules"`
}

// Inventory lists what exists.
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

// DataCentre is the unit that operators take out and bring back.
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

// Target is one runner of a back end with its process slot.
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
	// SlotsPerRank is the number of expert replicas that a rank holds per layer.
	SlotsPerRank int `json:"slots_per_rank"`
}

// Customer is a caller's account.
type Customer struct {
	Name      string   `json:"name"`
	Weight    int      `json:"weight,omitempty"`
	KeySHA256 []string `json:"key_sha256"`
}

// Rules say how the inventory is used.
type Rules struct {
	Serve          []ServeRule       `json:"serve,omitempty"`
	Idempotent     []IdempotentRule  `json:"idempotent,omitempty"`
	Warmup         []WarmupRule      `json:"warmup,omitempty"`
	Limits         []LimitRule       `json:"limits,omitempty"`
	DataCentresOut []string          `json:"data_centres_out,omitempty"`
	TargetsLeaving []string          `json:"targets_leaving,omitempty"`
	FrozenGroups   []string          `json:"groups_frozen,omitempty"`
	Isolated       IsolatedBehaviour `json:"isolated,omitempty"`
	// AddressTTLMs is how long callers keep an address answer.
	AddressTTLMs int `json:"address_ttl_ms,omitempty"`
}

// IsolatedBehaviour says what a process does that may have missed a change.
type IsolatedBehaviour string

// The values of IsolatedBehaviour; the empty value means refuse.
const (
	IsolatedRefuse IsolatedBehaviour = "refuse"
	IsolatedServe  IsolatedBehaviour = "serve"
)

// ServeRule limits a customer to some data centres. A customer without a rule
// may use all of them.
type ServeRule struct {
	Customer    string   `json:"customer"`
	DataCentres []string `json:"data_centres"`
}

// IdempotentRule marks operations of a back end that may be repeated. An
// operation that no rule names is non-idempotent.
type IdempotentRule struct {
	Backend    string   `json:"back_end"`
	Operations []string `json:"operations"`
}

// WarmupRule says how gently new targets of a back end are warmed.
type WarmupRule struct {
	Backend    string  `json:"back_end"`
	Initial    int     `json:"initial"`
	Factor     float64 `json:"factor"`
	IntervalMs int     `json:"interval_ms"`
}

// LimitRule bounds the work on one target of a back end.
type LimitRule struct {
	Backend     string `json:"back_end"`
	Concurrency int    `json:"concurrency"`
	MaxWaitMs   int    `json:"max_wait_ms"`
}

// Defaults of the rules.
const (
	DefaultAddressTTL     = 10 * time.Second
	DefaultConcurrency    = 64
	DefaultMaxWait        = 2 * time.Second
	DefaultWarmupInitial  = 2
	DefaultWarmupFactor   = 1.5
	DefaultWarmupInterval = 2 * time.Second
)

// AddressTTL returns the time that callers keep an address answer.
func (c *Config) AddressTTL() time.Duration {
	if c.Rules.AddressTTLMs == 0 {
		return DefaultAddressTTL
	}
	return time.Duration(c.Rules.AddressTTLMs) * time.Millisecond
}

// IsOut reports whether operators have taken the data centre out.
func (c *Config) IsOut(dataCentre string) bool {
	return contains(c.Rules.DataCentresOut, dataCentre)
}

// IsLeaving reports whether the target must get no new work because operators
// marked it or took its data centre out.
func (c *Config) IsLeaving(t Target) bool {
	return contains(c.Rules.TargetsLeaving, t.Name) || c.IsOut(t.DataCentre)
}

// IsFrozen reports whether operators have frozen the group's expert map.
func (c *Config) IsFrozen(group string) bool {
	return contains(c.Rules.FrozenGroups, group)
}

// IsIdempotent reports whether a rule names the operation.
func (c *Config) IsIdempotent(backend, operation string) bool {
	for _, r := range c.Rules.Idempotent {
		if r.Backend == backend && contains(r.Operations, operation) {
			return true
		}
	}
	return false
}

// Serves reports whether the customer may be served in the data centre.
func (c *Config) Serves(customer, dataCentre string) bool {
	for _, r := range c.Rules.Serve {
		if r.Customer == customer {
			return contains(r.DataCentres, dataCentre)
		}
	}
	return true
}

// Warmup returns the warm-up rule of a back end, with defaults.
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

// Limit returns the limits of a back end, with defaults.
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
