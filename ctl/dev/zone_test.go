package dev

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/timeline"
)

const zone = "burgos"

// Guards against a data centre that is taken out or brought back without some
// process applying the revision, with revisions applied in the wrong order, or
// without a restart of the warm-up ramps.
func TestZoneOutAndInSession(t *testing.T) {
	data, err := os.ReadFile("../../examples/cabina-norte.json")
	require.NoError(t, err)
	c, err := config.ParseConfig(data)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d, err := Start(ctx, Options{Config: c, AnyPorts: true})
	require.NoError(t, err)
	defer d.Close()
	require.NoError(t, d.WaitReady(ctx))
	for _, out := range []bool{true, false} {
		require.NoError(t, d.SetZone(ctx, zone, out))
		require.NoError(t, d.WaitReady(ctx))
	}
	events, err := d.Client().Timeline(ctx, timeline.Filter{Kinds: []timeline.Kind{
		timeline.RevisionAccepted, timeline.RevisionActive, timeline.RampRestarted,
	}})
	require.NoError(t, err)
	require.Empty(t, events.Unreachable)
	goldie.New(t).Assert(t, "zone_out_and_in", []byte(strings.Join(revisionSteps(events), "\n")+"\n"))
}

// revisionSteps lists the events of each revision. Processes apply a revision
// concurrently, so events of one kind are sorted by process. The kinds are in the
// order of the timeline.
func revisionSteps(line *timeline.Timeline) []string {
	type step struct {
		revision uint64
		kind     timeline.Kind
	}
	var steps []step
	processes := map[step][]string{}
	for i := range line.Events {
		e := &line.Events[i]
		s := step{e.Revision, e.Kind}
		if processes[s] == nil {
			steps = append(steps, s)
		}
		processes[s] = append(processes[s], e.Process)
	}
	// A ramp restart has revision 0; subtracting 1 wraps around and sorts it last.
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.revision-1, b.revision-1) })
	var lines []string
	for _, s := range steps {
		names := processes[s]
		slices.Sort(names)
		if s.kind == timeline.RevisionAccepted {
			names = []string{"(the entry that was asked)"}
		}
		lines = append(lines, fmt.Sprintf("revision %d %s:", s.revision, s.kind))
		for _, n := range slices.Compact(names) {
			lines = append(lines, "  "+n)
		}
	}
	return lines
}
