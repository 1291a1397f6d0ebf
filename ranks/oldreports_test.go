package ranks

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
)

// reportLag is how old the reports of a laggingGroup are.
const reportLag = 100 * time.Millisecond

// pastState is the state of all ranks at a time.
type pastState struct {
	at     time.Time
	states []switchover.State
}

// laggingGroup is a group whose ranks report to another machine what was true
// reportLag ago. From the second arm order for the same version on, it loses those
// to rank 0.
type laggingGroup struct {
	*fakeGroup
	pastMu sync.Mutex
	past   []pastState
	armed  bool // whether rank 0 has been armed
}

// runPasses makes forward passes and keeps what the ranks report later.
func (g *laggingGroup) runPasses(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		g.forwardPass()
		g.mu.Unlock()
		for range 10 {
			g.remember(time.Now())
			time.Sleep(2 * time.Millisecond)
		}
	}
}

func (g *laggingGroup) remember(now time.Time) {
	g.mu.Lock()
	states := append([]switchover.State(nil), g.states...)
	g.mu.Unlock()
	g.pastMu.Lock()
	defer g.pastMu.Unlock()
	g.past = append(g.past, pastState{now, states})
	for len(g.past) > 1 && now.Sub(g.past[1].at) >= reportLag {
		g.past = g.past[1:]
	}
}

func (g *laggingGroup) Report(_ context.Context, addr string) (Report, error) {
	g.pastMu.Lock()
	defer g.pastMu.Unlock()
	r := rankOf(addr)
	return Report{Group: "g", Rank: r, Size: len(g.states), StartedAtMs: 1, Slowdown: 1, State: g.past[0].states[r]}, nil
}

func (g *laggingGroup) Order(ctx context.Context, addr string, o switchover.Order, fencing uint64) (Outcome, error) {
	if rankOf(addr) == 0 && o.Operation == switchover.Arm {
		g.pastMu.Lock()
		lost := g.armed
		g.armed = true
		g.pastMu.Unlock()
		if lost {
			return NoReply, errors.New("no answer")
		}
	}
	return g.fakeGroup.Order(ctx, addr, o, fencing)
}

// Guards against a rank that switches its map alone: a coordinator whose sessions
// have ended, after a pause say, decides from reports of before its own orders, arms
// the ranks for a second step, and one rank gets only the first order (review/1).
func TestOldReportsArmForNoSecondStep(t *testing.T) {
	for _, ranks := range []int{2, 12, 129} {
		t.Run(fmt.Sprintf("%d ranks", ranks), func(t *testing.T) {
			t.Parallel()
			g := &laggingGroup{fakeGroup: newFakeGroupOf(ranks, 0)}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			g.remember(time.Now())
			go g.runPasses(ctx)
			coord := newCoordinator(slog.New(slog.DiscardHandler), directLinks(g.fakeGroup), testShape())
			coord.links.engine = g
			coord.links.maxReportAge = 2 * reportLag
			coord.token = fixedToken(7)
			require.True(t, coord.enterTerm(7))
			version, _ := mapVersion(7, 1)
			coord.currentMap, coord.mapKnown = g.maps[0], true
			coord.lossyUntil = time.Now().Add(time.Minute) // holds a step that is later than the reports are old
			coord.plan = switchover.Plan{Version: version, Map: g.maps[0], HoldRank: 1}
			require.Eventually(t, func() bool {
				coord.runRound(t.Context())
				return g.mapVersion() == version
			}, 10*time.Second, 5*time.Millisecond, "the switch must end with agents away")
			g.mu.Lock()
			defer g.mu.Unlock()
			require.False(t, g.mixedMaps, "a step has begun with two maps")
		})
	}
}

// Guards against a step that begins while one rank is armed: an agent that acts in
// place of the coordinator has reports of before the copies were complete, takes the
// hold for a leftover and releases it.
func TestAgentWithOldReportsReleasesNothing(t *testing.T) {
	g := &laggingGroup{fakeGroup: newFakeGroup(0)}
	for i := range g.states {
		g.states[i].Held, g.states[i].HeldStep = i == 1, 1
	}
	g.remember(time.Now())
	for i := range g.states {
		g.states[i].PreparedVersion, g.highestPrepared[i], g.highestFencing[i] = 7, 7, 5
	}
	g.maps[7] = g.maps[0]
	g.states[2].ArmedVersion, g.states[2].ArmedStep = 7, 1
	l := directLinks(g.fakeGroup)
	l.engine = g
	for start := time.Now(); time.Since(start) < 5*reportLag && g.mapVersion() == 0; time.Sleep(reportLag / 10) {
		finishSwitch(t.Context(), l, 5)
		g.mu.Lock()
		g.forwardPass()
		g.mu.Unlock()
		g.remember(time.Now())
	}
	require.False(t, g.mixedMaps, "a step has begun with two maps")
	require.EqualValues(t, 7, g.mapVersion(), "the switch must end once the reports are as of later")
}
