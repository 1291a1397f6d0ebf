package routing

import "time"

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of a route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run several times.
	Idempotent
	// Stream requests answer with server-sent events. They are non-idempotent
	// unless the route is resumable.
	Stream
)

// Config is one accepted configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Backends  []Backend
	Customers []Customer
	Limits    Limits
}

// Route sends the requests of a host and path prefix to one or more back ends.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request of the route may take.
	Timeout time.Duration
	// LatencyGoal is the time to the answer, or to the first event, within
	// which it is worth most to the caller.
	LatencyGoal time.Duration
	// GapGoal is the longest pause between events that callers notice.
	GapGoal time.Duration
	// CallerIdleTimeout is the silence after which callers leave a stream, also before its
	// first event; zero if they do not.
	CallerIdleTimeout time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	Split    []WeightedBackend
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target after the last event.
	Resumable bool
	// Regions are those where requests may run; empty for all.
	Regions []string
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// WeightedBackend is the part of a route's requests that a back end gets.
type WeightedBackend struct {
	Backend string
	Weight  int
}

// Backend is a model or a plain service.
type Backend struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections a target accepts from all callers.
	MaxConns int
	// WarmUp is how long a target is cold after its start, and WarmUpRate the
	// requests per second that it bears until then.
	WarmUp     time.Duration
	WarmUpRate float64
	// Experts is the shape of the rank groups, or nil.
	Experts *ExpertShape
}

// ExpertShape describes the experts of a model's rank groups.
type ExpertShape struct {
	Sets, Experts int
	// SlotsPerRank is the most experts of a set that a rank may hold, and MaxNewPerRank the
	// most that may be new to it in one change of the map.
	SlotsPerRank, MaxNewPerRank int
}

// Customer is an account with the keys of its callers.
type Customer struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's if it is set.
	Priority *int
	Regions  []string
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Target is one process that serves a back end, as its entry shows it.
type Target struct {
	ID         string
	Backend    string
	Addr       string
	DataCentre string
	Slots      int
	// Leaving targets get no new work.
	Leaving bool
	// WarmUpRemaining is how much longer the target is in its warm-up, counted from
	// the moment at which the list showed it.
	WarmUpRemaining time.Duration
	// Incarnation changes when a target starts again under the same id.
	Incarnation int64
}
