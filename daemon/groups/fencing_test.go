package groups

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Guards against a paused coordinator whose abort arrives after its successor
// has counted the rank's confirmation, at an engine that ignores fencing
// numbers: the target process must refuse it, or the ranks disagree.
func TestStaleOrderAtEngineThatIgnoresFencing(t *testing.T) {
	f := newFixture(t, t.Context(), false)
	g := f.config.Inventory.Groups[0]
	deliver := func(c *expertmap.Coordinator, messages []expertmap.Message) {
		for len(messages) > 0 {
			var next []expertmap.Message
			for _, m := range messages {
				arguments, err := json.Marshal(m)
				require.NoError(t, err)
				r := f.targets[TargetOf(f.config, g, m.Rank)].HandleSwitch(&wirepb.Order{
					Scope: "group/g1", Fencing: m.Fencing, Kind: orderKind, Arguments: arguments,
				})
				var answer expertmap.Message
				require.NoError(t, json.Unmarshal(r.GetResult(), &answer))
				require.Equal(t, answer.Kind != expertmap.Refused, r.GetAccepted())
				next = append(next, c.Handle(answer)...)
			}
			messages = next
		}
	}
	old := expertmap.NewCoordinator(1, 4, BaseMap(g))
	deliver(old, old.Resend())
	for range 10 {
		f.group.Advance()
	}
	step := old.Status(0).Step + 30
	prepare := old.Propose(22, step)
	deliver(expertmap.NewCoordinator(99, 4, BaseMap(g)), prepare) // the confirmations are lost
	for range 10 {
		f.group.Advance()
	}
	aborts := old.AbortSwitch()
	require.Len(t, aborts, 4)

	next := expertmap.NewCoordinator(2, 4, BaseMap(g))
	asks := next.Resend()
	deliver(next, asks[:3])
	deliver(old, aborts[:1]) // held back until rank 0 has answered the successor
	deliver(next, asks[3:])

	require.Equal(t, expertmap.Superseded, old.Phase())
	require.Equal(t, expertmap.Idle, next.Phase())
	for range 60 {
		f.group.Advance()
	}
	require.Zero(t, f.group.Disagreements())
	p, err := f.group.Progress(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(2), p.MapVersion)
	require.Greater(t, p.Step, step)
}
