package target

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
)

// Guards against a group that is taken for stalled because it has no work or
// because this process itself was paused, and against one that is not.
func TestGroupProgress(t *testing.T) {
	var p progress
	require.Nil(t, p.report("g1"), "no report before the first probe")
	p.observe(engine.GroupProgress{Step: 5}, nil, time.Hour)
	require.Zero(t, p.report("g1").GetLastStepAgeMs())
	for range 4 {
		p.observe(engine.GroupProgress{Step: 5}, nil, groupProbeInterval)
	}
	p.observe(engine.GroupProgress{}, errors.New("no answer"), groupOrderTimeout)
	require.Equal(t, uint64(3000), p.report("g1").GetLastStepAgeMs())
	require.Equal(t, uint64(5), p.report("g1").GetStep())
	p.observe(engine.GroupProgress{Step: 5, Idle: true}, nil, groupProbeInterval)
	require.Zero(t, p.report("g1").GetLastStepAgeMs())
	p.observe(engine.GroupProgress{Step: 1}, nil, groupProbeInterval)
	require.Zero(t, p.report("g1").GetLastStepAgeMs(), "a new generation may count lower steps")
}
