package target

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
)

// Guards against reporting a group as stalled because it has no work or because
// this process was paused, and against missing a group that is stalled.
func TestGroupProgress(t *testing.T) {
	var p progress
	require.Nil(t, p.report("g1"), "no report before the first probe")
	p.addProbe(engine.GroupProgress{Step: 5}, nil, time.Hour)
	require.Zero(t, p.report("g1").GetLastStepAgeMs())
	for range 4 {
		p.addProbe(engine.GroupProgress{Step: 5}, nil, groupProbeInterval)
	}
	p.addProbe(engine.GroupProgress{}, errors.New("no reply"), groupOrderTimeout)
	require.Equal(t, uint64(3000), p.report("g1").GetLastStepAgeMs())
	require.Equal(t, uint64(5), p.report("g1").GetStep())
	p.addProbe(engine.GroupProgress{Step: 5, Idle: true}, nil, groupProbeInterval)
	require.Zero(t, p.report("g1").GetLastStepAgeMs())
	p.addProbe(engine.GroupProgress{Step: 1}, nil, groupProbeInterval)
	require.Zero(t, p.report("g1").GetLastStepAgeMs(), "a new generation may count lower steps")
}
