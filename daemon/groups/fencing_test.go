package groups

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Guards against applying the abort of a paused coordinator that arrives after
// its successor has counted the rank's confirmation. If the engine ignores
// fencing numbers, the target process must refuse the abort, or the ranks end up
// with different maps.
func TestStaleOrderAtEngineThatIgnoresFencing(t *testing.T) {
	f := newFixture(t, t.Context(), false)
	g := f.config.Inventory.Groups[0]
	deliver := func(c *expertmap.Coordinator, messages []expertmap.Message) {
		for len(messages) > 0 {
			var followUps []expertmap.Message
			for _, m := range messages {
				arguments, err := json.Marshal(m)
				require.NoError(t, err)
				r := f.targets[TargetOf(f.config, g, m.Rank)].HandleSwitch(&wirepb.Order{
					Scope: "group/g1", Fencing: m.Fencing, Kind: orderKind, Arguments: arguments,
				})
				var reply expertmap.Message
				require.NoError(t, json.Unmarshal(r.GetResult(), &reply))
				require.Equal(t, reply.Kind != expertmap.Refused, r.GetAccepted())
				followUps = append(followUps, c.Handle(reply)...)
			}
			messages = followUps
		}
	}
	superseded := expertmap.NewCoordinator(1, 4, BaseMap(g))
	deliver(superseded, superseded.Resend())
	for range 10 {
		f.group.Advance()
	}
	step := superseded.Status(0).Step + 30
	prepare := superseded.Propose(22, step)
	deliver(expertmap.NewCoordinator(99, 4, BaseMap(g)), prepare) // the confirmations are lost
	for range 10 {
		f.group.Advance()
	}
	aborts := superseded.AbortSwitch()
	require.Len(t, aborts, 4)

	next := expertmap.NewCoordinator(2, 4, BaseMap(g))
	queries := next.Resend()
	deliver(next, queries[:3])
	deliver(superseded, aborts[:1]) // delayed until rank 0 has replied to the successor
	deliver(next, queries[3:])

	require.Equal(t, expertmap.Superseded, superseded.Phase())
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
