package fleet

import (
	_ "embed" // the schema
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/config"
)

//go:embed scenario.schema.json
var scenarioSchema []byte

var schema = config.MustCompileSchema("fleet.schema.json", scenarioSchema)

// Scenario describes a run.
type Scenario struct {
	Name        string `json:"name"`
	Description string `json:"description,omitempty"`
	Seed        uint64 `json:"seed"`
	DurationMs  int    `json:"duration_ms"`
	Fleet       Size   `json:"fleet"`
	Flows       []Flow `json:"flows"`
	// Faults come at random moments; the seed determines them.
	Faults []Fault `json:"faults,omitempty"`
}

// Size describes the gateways and targets.
type Size struct {
	Gateways int `json:"gateways"`
	Targets  int `json:"targets"`
	Slots    int `json:"slots"`
	// ContactMs is the time in which gateways must agree on what some have seen.
	ContactMs int `json:"contact_ms"`
	// RestartMs is the time until a crashed target is back. If StallMs is set, all
	// targets form a group: when one crashes, the others stall for that time, break
	// off their responses, and refuse requests until it is back.
	RestartMs int `json:"restart_ms"`
	StallMs   int `json:"stall_ms,omitempty"`
}

// RouteKind is the kind of a route.
type RouteKind string

// Kinds of routes.
const (
	StreamRoute RouteKind = "stream" // the default
	ReadRoute   RouteKind = "read"   // idempotent
	BookRoute   RouteKind = "book"   // may run once only
	KeyedRoute  RouteKind = "keyed"  // idempotent, for customers with a key
)

// Flow describes requests of one kind with Poisson arrivals.
type Flow struct {
	Name     string    `json:"name"`
	Route    RouteKind `json:"route,omitempty"`
	RatePerS float64   `json:"rate_per_s"`
	// CrashingRequests, if it is positive, is the number of different requests of the
	// flow, each of which comes again and again and crashes targets.
	CrashingRequests int `json:"crashing_requests,omitempty"`
	// SessionsOf names the flow whose sessions such requests belong to.
	SessionsOf string `json:"sessions_of,omitempty"`
	// Sessions is the number of parts below the first one that requests share.
	Sessions int `json:"sessions,omitempty"`
	// CrashingPart, if it is set, is a part that crashes targets, and FromMs when
	// the first request with it is sent.
	CrashingPart string `json:"crashing_part,omitempty"`
	FromMs       int    `json:"from_ms,omitempty"`
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	CrashTargets FaultKind = "crash_targets" // targets crash for a reason that no request has
	LimitTargets FaultKind = "limit"         // targets name a limit of Rate requests per second
	Unframed     FaultKind = "unframed"      // Percent of the responses have no length and no chunks
	BreakEvent   FaultKind = "break_event"   // Percent of the responses break off inside an event
	CutGateways  FaultKind = "cut"           // gateways lose the store and the sessions that others open to them
	StopGateways FaultKind = "stop"          // planned stop, one after the other, each followed by a start
	StoreDown    FaultKind = "store_down"    // the store does not respond to anybody
	RestTargets  FaultKind = "rest"          // targets refuse requests and want none for RestMs, again and again
	LeaveTargets FaultKind = "leave"         // targets say in responses that they leave, and do so
)

// Fault is a fault that comes Times times.
type Fault struct {
	Kind       FaultKind `json:"kind"`
	Times      int       `json:"times"`
	Count      int       `json:"count,omitempty"`
	Percent    int       `json:"percent,omitempty"`
	Rate       float64   `json:"rate,omitempty"`
	DurationMs int       `json:"duration_ms,omitempty"`
	RestMs     int       `json:"rest_ms,omitempty"`
}

// IsScenario reports whether a document is a scenario of this package rather than
// one of package load.
func IsScenario(data []byte) bool {
	var probe struct {
		Fleet json.RawMessage `json:"fleet"`
	}
	return json.Unmarshal(data, &probe) == nil && probe.Fleet != nil
}

// ParseScenario decodes and validates a scenario.
func ParseScenario(data []byte) (*Scenario, error) {
	var s Scenario
	if err := config.DecodeWithSchema(schema, data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Scenario) duration() time.Duration { return milliseconds(s.DurationMs) }

func (s *Scenario) contact() time.Duration { return milliseconds(s.Fleet.ContactMs) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// crashingParts returns the parts that crash targets.
func (s *Scenario) crashingParts() []string {
	var parts []string
	for _, f := range s.Flows {
		if f.CrashingPart != "" {
			parts = append(parts, f.CrashingPart)
		}
	}
	return parts
}

// route returns the kind of route of the flow's requests.
func (flow *Flow) route() RouteKind {
	if flow.Route == "" {
		return StreamRoute
	}
	return flow.Route
}

// crashes reports whether the requests of the flow crash targets.
func (flow *Flow) crashes() bool { return flow.CrashingPart != "" || flow.CrashingRequests > 0 }

// timedFault is a fault with its moment.
type timedFault struct {
	Fault
	at time.Duration
}

// faultTimes draws the moments of all faults. They end before the last quarter.
func (s *Scenario) faultTimes() []timedFault {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	var all []timedFault
	for _, f := range s.Faults {
		for range f.Times {
			all = append(all, timedFault{f, time.Duration((0.05 + 0.7*rng.Float64()) * float64(s.duration()))})
		}
	}
	slices.SortStableFunc(all, func(a, b timedFault) int { return int(a.at - b.at) })
	return all
}
