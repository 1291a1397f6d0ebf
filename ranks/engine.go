package ranks

import (
	"context"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
)

// Outcome is what became of an order.
type Outcome uint8

// The outcomes. An order without an answer may still be carried out later.
const (
	NoReply Outcome = iota
	Done
	Refused
	Fenced
)

// Report is what a rank tells about itself.
type Report struct {
	Group string
	Rank  int
	Size  int
	// StartedAtMs is when the rank started, in milliseconds of the time of day.
	StartedAtMs int64
	// Slowdown is how many times longer than usual the rank works; 1 is usual.
	Slowdown float64
	State    switchover.State
	// Counts are the choices of each expert since the start, set after set, and
	// Placement the experts that the rank holds, by set, if they were asked for.
	Counts    []uint64
	Placement [][]int
}

// Engine calls a rank at an address.
type Engine interface {
	Report(ctx context.Context, addr string) (Report, error)
	Counts(ctx context.Context, addr string) ([]uint64, error)
	// Placement returns the version of the map in use and the rank's experts.
	Placement(ctx context.Context, addr string) (uint64, [][]int, error)
	Order(ctx context.Context, addr string, o switchover.Order, fencing uint64) (Outcome, error)
}

// ReportQuery says what a report must hold beside the state.
type ReportQuery struct {
	Counts, Placement bool
}

// ask reads a rank.
func ask(ctx context.Context, e Engine, addr string, q ReportQuery) (Report, error) {
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
