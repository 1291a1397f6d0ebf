package ranks

import (
	"context"
	"log/slog"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
)

// recordingGroup is a group whose ranks take the whole test to copy experts. It
// records the map of each version.
type recordingGroup struct {
	*fakeGroup
	reused uint64 // a version that was given to a second map; 0 is none
}

func (g *recordingGroup) Order(ctx context.Context, addr string, o switchover.Order, fencing uint64) (Outcome, error) {
	g.mu.Lock()
	if earlier, ok := g.maps[o.Version]; ok && o.Operation == switchover.Prepare && !reflect.DeepEqual(earlier, o.Map) {
		g.reused = o.Version
	}
	g.mu.Unlock()
	outcome, err := g.fakeGroup.Order(ctx, addr, o, fencing)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.states[rankOf(addr)].PreparedVersion = 0
	return outcome, err
}

// versions returns how many maps the ranks have got, and a version that was given
// to two of them.
func (g *recordingGroup) versions() (maps int, reused uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.maps) - 1, g.reused
}

// moveLoad gives most of the load to another expert.
func (g *recordingGroup) moveLoad(expert int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range groupSets {
		for e := range expertsPerSet {
			g.expertLoad[s*expertsPerSet+e] = 10
		}
		g.expertLoad[s*expertsPerSet+expert] = 900
	}
}

// lateRenewals delays the replies to renewals: a store that is slow, or a process
// that was paused, so that its term ends by its own clock and then goes on.
type lateRenewals struct {
	infra.KV
	delay atomic.Int64
}

func (kv *lateRenewals) KeepAlive(ctx context.Context, id infra.LeaseID) (time.Duration, error) {
	remaining, err := kv.KV.KeepAlive(ctx, id)
	time.Sleep(time.Duration(kv.delay.Load()))
	return remaining, err
}

// Guards against ranks that switch to different maps of one version: a coordinator
// whose term goes on after a pause counted its maps from 0 again, while some ranks
// held the first map of the term (review/2).
func TestPauseRepeatsNoVersion(t *testing.T) {
	t.Parallel()
	g := &recordingGroup{fakeGroup: newFakeGroup(0)}
	inner := standin.NewKV().Direct()
	kv := &lateRenewals{KV: inner}
	shape := &routing.ExpertShape{Sets: groupSets, Experts: expertsPerSet, SlotsPerRank: 4, MaxNewPerRank: 3}
	put(t, inner, "config", routing.Config{Version: 1, Backends: []routing.Backend{{Name: "b", Experts: shape}}})
	passes, endPasses := context.WithCancel(t.Context())
	defer endPasses()
	go g.run(passes)
	startAgents(t.Context(), t, g, inner)
	p := startProcess(t, "c", g, kv, standinItems(inner))
	planned := func(n int) func() bool {
		return func() bool { maps, _ := g.versions(); return maps >= n }
	}
	require.Eventually(t, planned(1), 15*time.Second, 10*time.Millisecond)
	item, _, err := inner.Get(t.Context(), coordinatorKeyPrefix+"g")
	require.NoError(t, err)

	kv.delay.Store(int64(coordinatorTimes.TTL - coordinatorTimes.Margin))
	g.moveLoad(5)
	time.Sleep(2 * coordinatorTimes.TTL)
	kv.delay.Store(0)
	g.moveLoad(7)
	require.Eventually(t, func() bool {
		_, reused := g.versions()
		return reused != 0 || planned(2)()
	}, 10*time.Second, 10*time.Millisecond)
	_, reused := g.versions()
	require.Zero(t, reused, "a version was given to two maps")
	after, _, err := inner.Get(t.Context(), coordinatorKeyPrefix+"g")
	require.NoError(t, err)
	require.Equal(t, item.ModRevision, after.ModRevision, "the term must have gone on")
	p.stop()
}

// termsOf returns coordinators that have planned three maps under number 7.
func termsOf(group string) *Coordinators {
	c := NewCoordinators(CoordinatorOptions{Log: slog.New(slog.DiscardHandler), KV: standin.NewKV().Direct()})
	c.mapCounter(group).resume(7, 0)
	for range 3 {
		c.mapCounter(group).add()
	}
	return c
}

// Guards against a version that is given to a second map when a term comes back to
// a process that has planned maps in it: every new coordinator goes on counting.
func TestCountOfMapsGoesOn(t *testing.T) {
	for name, c := range map[string]struct {
		token lease.Token
		want  uint64
	}{
		"after a moment without token":          {fixedToken(7), 3},
		"taken over again, with an older count": {takenOverToken{Group: "g", Fencing: 7, Maps: 2}, 3},
		"taken over again, others have gone on": {takenOverToken{Group: "g", Fencing: 7, Maps: 9}, 9},
		"a new number":                          {fixedToken(8), 0},
		"a new number, taken over":              {takenOverToken{Group: "g", Fencing: 8, Maps: 4}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			coord := newCoordinator(slog.New(slog.DiscardHandler), directLinks(newFakeGroup(0)), &routing.ExpertShape{})
			coord.maps = termsOf("g").mapCounter("g")
			coord.token = c.token
			number, _ := c.token.Token()
			require.True(t, coord.enterTerm(number))
			planned, current := coord.maps.planned(number)
			require.True(t, current)
			require.Equal(t, c.want, planned)
		})
	}
}

// Guards against a number that is used again after a higher one, for which the
// count begins at 0: reserve, own lease, reserve again.
func TestLowerNumberIsNotUsedAgain(t *testing.T) {
	coord := newCoordinator(slog.New(slog.DiscardHandler), directLinks(newFakeGroup(0)), &routing.ExpertShape{})
	coord.token = fixedToken(7)
	require.True(t, coord.enterTerm(7))
	coord.maps.add()
	require.True(t, coord.enterTerm(9))
	require.False(t, coord.enterTerm(7))
	require.True(t, coord.isSuperseded(), "the number must be resigned")
}

// Guards against a term that is handed over with the count of when it came here:
// the next process would give versions of this one to other maps.
func TestTermIsHandedOverWithItsCount(t *testing.T) {
	for name, taken := range map[string]uint64{"an older count": 2, "the same count": 3} {
		t.Run(name, func(t *testing.T) {
			c := termsOf("g")
			var handedOver handOvers
			c.o.HandOver = handedOver.record
			require.True(t, c.TakeOver(Term{Group: "g", Fencing: 7, Maps: taken}))
			c.endTerm(t.Context(), "g", nil, true)
			require.Equal(t, []Term{{Group: "g", Fencing: 7, Maps: 3}}, handedOver.all())
		})
	}
	t.Run("two messages in the wrong order", func(t *testing.T) {
		c := NewCoordinators(CoordinatorOptions{Log: slog.New(slog.DiscardHandler)})
		require.True(t, c.TakeOver(Term{Group: "g", Fencing: 7, Maps: 9}))
		require.True(t, c.TakeOver(Term{Group: "g", Fencing: 7, Maps: 4}))
		term, _ := c.takenOverTerm("g")
		require.EqualValues(t, 9, term.Maps)
	})
}
