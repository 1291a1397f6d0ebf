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

// Guards against a data centre whose leaving or return is not seen by some
// process, is seen in the wrong order, or does not restart the warm-up ramps.
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
	line, err := d.Client().Timeline(ctx, timeline.Filter{Kinds: []timeline.Kind{
		timeline.RevisionAccepted, timeline.RevisionActive, timeline.RampRestarted,
	}})
	require.NoError(t, err)
	require.Empty(t, line.Unreachable)
	goldie.New(t).Assert(t, "zone_out_and_in", []byte(strings.Join(session(line), "\n")+"\n"))
}

// session lists the steps of each revision. Processes take a revision at the
// same time in any order, so steps of one kind are sorted by process; the order
// of the kinds is that of the time line.
func session(line *timeline.Timeline) []string {
	type step struct {
		revision uint64
		kind     timeline.Kind
	}
	var order []step
	processes := map[step][]string{}
	for i := range line.Events {
		e := &line.Events[i]
		s := step{e.Revision, e.Kind}
		if processes[s] == nil {
			order = append(order, s)
		}
		processes[s] = append(processes[s], e.Process)
	}
	// A restart of a ramp belongs to no revision; it stays behind them.
	slices.SortStableFunc(order, func(a, b step) int { return cmp.Compare(a.revision-1, b.revision-1) })
	var lines []string
	for _, s := range order {
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
