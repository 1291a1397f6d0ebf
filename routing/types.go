package routing

import "time"

// Kind determines how often a request of a route may run.
type Kind uint8

// The kinds of a route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run several times.
	Idempotent
	// Stream requests return server-sent events. They are not retried once they
	// may have run, unless the route is resumable.
	Stream
)

// Config is an accepted configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Backends  []Backend
	Customers []Customer
	Limits    Limits
}

// Route directs the requests of a host and path prefix to one or more back
// ends.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request of the route may take.
	Timeout time.Duration
	// LatencyGoal is the time to the response, or to the first event of a
	// stream, within which the response is worth most to the caller.
	LatencyGoal time.Duration
	// GapGoal is the longest pause between two events that a stream should
	// have.
	GapGoal time.Duration
	// CallerIdleTimeout is how long a stream may stay idle, also before its
	// first event, until callers drop it; zero if they do not.
	CallerIdleTimeout time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Split divides the requests among back ends.
	Split []WeightedBackend
	// MaxAttempts is the largest number of targets that may receive one
	// request.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Resumable streams may continue on another target after the last event.
	Resumable bool
	// Regions are the regions in which requests may run; empty means all.
	Regions []string
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// WeightedBackend is a back end with its weight in a route's split.
type WeightedBackend struct {
	Backend string
	Weight  int
}

// Backend is a model or another service.
type Backend struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that a target accepts in total.
	MaxConns int
	// WarmUp is the warm-up time of a target after its start, and WarmUpRate
	// the number of requests per second that it can handle until then.
	WarmUp     time.Duration
	WarmUpRate float64
	// Experts describes the experts of its rank groups; nil if it has none.
	Experts *ExpertShape
	// Engine describes how long its engines work; nil if that is not known.
	Engine *EngineTimes
}

// EngineTimes describes the work of an engine that processes its requests in passes.
type EngineTimes struct {
	// StepsPerPass is the number of steps, each with one token of each response, of a
	// pass. A stream gets one event for each pass.
	StepsPerPass int
	// Step is the time of a step without requests, and PerRequest what each request
	// adds. PerContext is what each adds for 1,000 tokens of its prompt and response.
	Step, PerRequest, PerContext time.Duration
	// ReadTokensPerS is the number of prompt tokens that are read in a second.
	ReadTokensPerS float64
	// UsualPrompt and UsualResponse are the mean sizes of requests in tokens.
	UsualPrompt, UsualResponse int
	// ExpertShare is the part of the work for a token that is done by experts, from 0
	// to 1.
	ExpertShare float64
}

// ExpertShape describes the experts of the rank groups of a model.
type ExpertShape struct {
	Sets, Experts int
	// SlotsPerRank is the largest number of experts of a set that a rank may
	// hold, and MaxNewPerRank how many of these may be new to the rank in one
	// change of the expert map.
	SlotsPerRank, MaxNewPerRank int
	// CopyTime is the time in which a rank copies one expert; 0 if that is not known.
	CopyTime time.Duration
	// ReportLag is how old a report is that a rank sends to another machine; 0 if
	// that is not known.
	ReportLag time.Duration
}

// Customer is a tenant with the keys of its callers.
type Customer struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if it is set.
	Priority *int
	Regions  []string
}

// Limits restricts what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Target is a process that serves a back end, as described by its entry.
type Target struct {
	ID         string
	Backend    string
	Addr       string
	DataCentre string
	Slots      int
	// Leaving targets get no new requests.
	Leaving bool
	// WarmUpRemaining is the remaining warm-up time, counted from when the
	// entry was received.
	WarmUpRemaining time.Duration
	// Incarnation changes when a target restarts under the same id.
	Incarnation int64
}
