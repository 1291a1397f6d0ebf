package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Guards against requests to a rank whose group waits for another rank. The
// report of one target counts for all targets of its group.
func TestStalledGroups(t *testing.T) {
	report := func(group string, age uint64) *connectedTarget {
		return &connectedTarget{lastHeartbeat: &wirepb.Heartbeat{Group: &wirepb.GroupReport{Group: group, LastStepAgeMs: age}}}
	}
	c := &control{connectedTargets: map[string]*connectedTarget{
		"a-1": report("a", 0), "a-2": report("a", groupStallMs), "b-1": report("b", groupStallMs-1),
		"plain": {lastHeartbeat: &wirepb.Heartbeat{}}, "new": {},
	}}
	require.Equal(t, map[string]bool{"a": true}, c.stalledGroups())
}
