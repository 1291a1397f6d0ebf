package balancer

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrNoTarget is returned by Pick if no target may take the request.
var ErrNoTarget = errors.New("no target may take the request")

// Counter counts the requests and expected tokens that this entry has in progress
// at a target. All snapshots of the target share it.
type Counter struct {
	Requests atomic.Int64
	Tokens   atomic.Int64
	// Chosen, Finished and CostMicros are statistics for package ucb: the picks of
	// the target, the finished requests and the sum of their costs.
	Chosen     atomic.Int64
	Finished   atomic.Int64
	CostMicros atomic.Int64
}

// Target is a candidate of a pick. A picker never changes it.
type Target struct {
	Name       string
	DataCentre string
	Group      string
	// Running, Queued and QueuedTokens are from the latest load report, which was
	// made ReportAge before the snapshot was built. HasReport is false if no report
	// of the target has been received yet.
	Running      int
	Queued       int
	QueuedTokens int
	// RunningTokens is the number of expected tokens of running requests that are
	// not generated yet. UnitTime is the mean service time of a token or a call.
	RunningTokens int
	UnitTime      time.Duration
	// Limit is the reported concurrency limit. It is zero while the target starts
	// no work.
	Limit     int
	HasReport bool
	ReportAge time.Duration
	// OwnRequestsAtReport and OwnTokensAtReport are the part of the report that is
	// due to this entry: what it had in progress when the report was made.
	OwnRequestsAtReport int64
	OwnTokensAtReport   int64
	// Own counts what this entry has in progress at the target.
	Own *Counter
	// Slow targets are picked only if no other target can take the request.
	Slow bool
}

// Snapshot is the input from which a picker is built. It must not be changed
// afterwards. DataCentre is the data centre of the entry.
type Snapshot struct {
	DataCentre string
	Targets    []Target
}

// Request holds what a pick depends on besides the snapshot and the counters. The
// caller provides the random number, so that a policy needs no generator and an
// experiment can be repeated.
type Request struct {
	// Allowed reports whether the customer may use a data centre; nil allows all.
	Allowed func(dataCentre string) bool
	// Avoid reports whether an earlier attempt failed at the target. Such a target
	// is never picked. nil avoids none.
	Avoid func(target string) bool
	// PrefixHash identifies the start of the prompt for prefix-cache affinity.
	PrefixHash uint64
	Tokens     int
	Random     uint64
}

// Picker picks a target for each request. It is safe for concurrent use.
type Picker interface {
	// Pick returns the index of a target in the snapshot, or ErrNoTarget.
	Pick(r Request) (int, error)
}

// Builder makes pickers from snapshots.
type Builder interface {
	Name() string
	Build(s Snapshot) Picker
}
