package engine

import (
	"context"

	"github.com/skylarkstep/skylarkstep/expertmap"
)

// GroupProgress is the state of a rank group that its engine reports.
type GroupProgress struct {
	// Step is the last step that all ranks have entered. It becomes lower when a
	// new generation starts.
	Step       uint64 `json:"step"`
	MapVersion uint64 `json:"map_version"`
	// Skew is the slowest rank's time for the last step over the mean.
	Skew float64 `json:"skew"`
	// Rebalancing is true while a switch is pending or a rank loads weights.
	Rebalancing bool `json:"rebalancing"`
	// Idle is true while the group takes no steps because it has no work.
	Idle bool `json:"idle"`
}

// Group is the engine of a rank group. If several targets run the group, it is the
// engine of the ranks of one target.
type Group interface {
	// Switch sends a message of the switch protocol to a rank and returns its reply.
	Switch(ctx context.Context, m expertmap.Message) (expertmap.Message, error)
	Progress(ctx context.Context) (GroupProgress, error)
}
