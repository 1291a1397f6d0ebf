package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a goal for pauses that belongs to another back end, to a route without
// weight or to calls, and against the looser one of two.
func TestGapGoalOfBackend(t *testing.T) {
	to := func(backend string, weight int) []WeightedBackend { return []WeightedBackend{{backend, weight}} }
	table := NewTable(&Config{Routes: []Route{
		{Kind: Stream, GapGoal: 150 * time.Millisecond, Split: to("a", 1)},
		{Kind: Stream, GapGoal: 120 * time.Millisecond, Split: to("a", 1)},
		{Kind: Stream, GapGoal: 50 * time.Millisecond, Split: to("a", 0)},
		{Kind: Idempotent, GapGoal: 10 * time.Millisecond, Split: to("a", 1)},
		{Kind: Stream, Split: to("b", 1)},
	}})
	require.Equal(t, 120*time.Millisecond, table.GapGoal("a"))
	require.Zero(t, table.GapGoal("b"))
	require.Zero(t, table.GapGoal("unknown"))
}
