package balancer

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrNoTarget says that no target may take the request.
var ErrNoTarget = errors.New("no target may take the request")

// Counter counts what this entry has sent to a target and not yet seen
// finished. It is shared by all snapshots of the target.
type Counter struct {
	Requests atomic.Int64
	Tokens   atomic.Int64
	// Chosen, Finished and CostMicros are the statistics of package ucb.
	Chosen     atomic.Int64
	Finished   atomic.Int64
	CostMicros atomic.Int64
}

// Target is one candidate. A picker never changes it.
type Target struct {
	Name       string
	DataCentre string
	Group      string
	// Running, Queued and QueuedTokens are from the latest load report, which
	// was made ReportAge before the snapshot was built. HasReport is false for a
	// target that has not reported yet.
	Running      int
	Queued       int
	QueuedTokens int
	// RunningTokens are the expected tokens of running work that are not sent
	// yet, and UnitTime is the mean service time of one unit of work.
	RunningTokens int
	UnitTime      time.Duration
	Limit         int
	HasReport     bool
	ReportAge     time.Duration
	// OwnRequestsAtReport and SentTokens are what this entry had in progress at the
	// target when the report was made; the report contains them.
	OwnRequestsAtReport int64
	OwnTokensAtReport   int64
	// Own counts what this entry has in progress at the target.
	Own *Counter
	// Slow targets are used only when no other may take the request.
	Slow bool
}

// Snapshot is what a picker is built from. It is never changed afterwards.
type Snapshot struct {
	DataCentre string
	Targets    []Target
}

// Request is what a decision depends on. Random numbers come from the caller,
// so that a policy is a pure function.
type Request struct {
	// Allowed reports whether the customer may use a data centre; nil allows all.
	Allowed func(dataCentre string) bool
	// Avoid reports whether an earlier attempt failed at the target; nil avoids
	// none. An avoided target is never chosen.
	Avoid func(target string) bool
	// PrefixHash identifies the start of the prompt for prefix-cache affinity.
	PrefixHash uint64
	Tokens     int
	Random     uint64
}

// Picker chooses a target for each request. It is immutable and safe for
// concurrent use.
type Picker interface {
	// Pick returns the index of a target in the snapshot, or ErrNoTarget.
	Pick(r Request) (int, error)
}

// Builder makes pickers from snapshots.
type Builder interface {
	Name() string
	Build(s Snapshot) Picker
}
