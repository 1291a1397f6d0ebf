package load

import (
	_ "embed" // the schema
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/config"
)

//go:embed scenario.schema.json
var scenarioSchema []byte

var schema = config.MustCompileSchema("scenario.schema.json", scenarioSchema)

// Scenario describes a load and the timed events that happen during it.
type Scenario struct {
	Name        string  `json:"name"`
	Description string  `json:"description,omitempty"`
	Seed        uint64  `json:"seed"`
	DurationMs  int     `json:"duration_ms"`
	Mix         []Flow  `json:"mix"`
	Events      []Event `json:"events,omitempty"`
}

// Flow describes the requests of one kind that one customer sends, with Poisson
// arrivals.
type Flow struct {
	Name       string  `json:"name"`
	Customer   string  `json:"customer"`
	RatePerS   float64 `json:"rate_per_s"`
	Model      string  `json:"model,omitempty"`
	MaxTokens  int     `json:"max_tokens,omitempty"`
	Backend    string  `json:"back_end,omitempty"`
	Operation  string  `json:"operation,omitempty"`
	Idempotent bool    `json:"idempotent,omitempty"`
	DeadlineMs int     `json:"deadline_ms,omitempty"`
	MaxRetries int     `json:"repeats,omitempty"`
}

// EventKind is the action of a timed event.
type EventKind string

// Kinds of timed events.
const (
	ZoneOut        EventKind = "zone_out"   // an operator takes a data centre out
	ZoneIn         EventKind = "zone_in"    // an operator brings it back
	KillProcess    EventKind = "kill"       // simulated crash
	StartProcess   EventKind = "start"      // start after a crash or a planned stop
	StopProcess    EventKind = "stop"       // planned stop
	StallStreams   EventKind = "stall"      // streams of a target stall after Value tokens
	RestartWarmUp  EventKind = "cold"       // the engine of a target warms up again
	RefuseRequests EventKind = "refuse"     // the back end of a target rejects every request
	DropResponses  EventKind = "reply_lost" // the service of a target executes calls but sends no response
	ClearFaults    EventKind = "clear"      // end of stall, refuse and reply_lost
	StoreDown      EventKind = "store_down" // the key-value store stops responding
	StoreUp        EventKind = "store_up"   // the key-value store responds again
)

// Event is a timed event. The kind determines which other fields apply.
type Event struct {
	AtMs       int       `json:"at_ms"`
	Kind       EventKind `json:"kind"`
	DataCentre string    `json:"data_centre,omitempty"`
	Process    string    `json:"process,omitempty"`
	Value      int       `json:"value,omitempty"`
}

// At returns the time of the event after the start of the load.
func (e Event) At() time.Duration { return time.Duration(e.AtMs) * time.Millisecond }

// defaultDeadline is the deadline of a request whose flow sets none.
const defaultDeadline = 10 * time.Second

func (f *Flow) deadline() time.Duration {
	if f.DeadlineMs == 0 {
		return defaultDeadline
	}
	return time.Duration(f.DeadlineMs) * time.Millisecond
}

// expectedTokens is the number of tokens that a request to a model asks for.
func (f *Flow) expectedTokens() int { return max(f.MaxTokens, 1) }

// ParseScenario decodes and validates a scenario and sorts its events by time.
func ParseScenario(data []byte) (*Scenario, error) {
	var s Scenario
	if err := config.DecodeWithSchema(schema, data, &s); err != nil {
		return nil, err
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return a.AtMs - b.AtMs })
	return &s, nil
}

// arrival is one scheduled request.
type arrival struct {
	at   time.Duration
	flow *Flow
	id   int
}

// schedule generates all arrivals before the load starts, so that a slow system
// can't reduce the load.
func (s *Scenario) schedule() []arrival {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	end := time.Duration(s.DurationMs) * time.Millisecond
	var all []arrival
	for i := range s.Mix {
		f := &s.Mix[i]
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() / f.RatePerS * float64(time.Second))
			if at >= end {
				break
			}
			all = append(all, arrival{at: at, flow: f})
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range all {
		all[i].id = i
	}
	return all
}
