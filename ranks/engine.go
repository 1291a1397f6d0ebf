package ranks

import (
	"context"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
)

// Outcome is the result of an order.
type Outcome uint8

// The outcomes of an order. After NoReply the rank may still carry the order
// out later. A NotSent order was not sent, since the term had ended. Agents send
// the numbers of the others to coordinators, so they must not change.
const (
	NoReply Outcome = iota
	Done
	Refused
	Fenced
	NotSent
)

var outcomeNames = [...]string{NoReply: "no answer", Done: "done", Refused: "refused", Fenced: "fenced", NotSent: "not sent"}

// Report is the state of one rank.
type Report struct {
	Group string
	Rank  int
	Size  int
	// StartedAtMs is the wall-clock start time of the rank, in milliseconds.
	StartedAtMs int64
	// Slowdown is the factor by which the rank is slower than normal; 1 is
	// normal.
	Slowdown float64
	// Running is the number of requests that the rank processes, and Waiting the
	// number that waits there.
	Running, Waiting int
	State            switchover.State
	// Counts are the activations of each expert since the start of the rank,
	// one set after another. Placement lists the experts that the rank holds,
	// by set. Both are empty unless the query selects them.
	Counts    []uint64
	Placement [][]int
}

// Engine sends queries and orders to the rank at an address.
type Engine interface {
	Report(ctx context.Context, addr string) (Report, error)
	Counts(ctx context.Context, addr string) ([]uint64, error)
	// Placement returns the version of the map in use and the experts of the
	// rank by set.
	Placement(ctx context.Context, addr string) (uint64, [][]int, error)
	Order(ctx context.Context, addr string, o switchover.Order, fencing uint64) (Outcome, error)
}

// ReportQuery selects the parts of a report besides the state.
type ReportQuery struct {
	Counts, Placement bool
}

// queryRank reads the report of a rank with the parts that q selects.
func queryRank(ctx context.Context, e Engine, addr string, q ReportQuery) (Report, error) {
	r, err := e.Report(ctx, addr)
	if err != nil {
		return r, err
	}
	if q.Counts {
		if r.Counts, err = e.Counts(ctx, addr); err != nil {
			return r, err
		}
	}
	if q.Placement {
		if _, r.Placement, err = e.Placement(ctx, addr); err != nil {
			return r, err
		}
	}
	return r, nil
}
