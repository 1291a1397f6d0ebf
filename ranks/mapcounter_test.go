package ranks

import (
	"bytes"
	"context"
	"log/slog"
	"reflect"
	"strings"
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

// pausedTerm is a process that coordinates a group. Its first map is planned.
type pausedTerm struct {
	group *recordingGroup
	kv    *lateRenewals
	log   bytes.Buffer // complete after stop
	stop  func()
}

func startPausedTerm(t *testing.T) *pausedTerm {
	p := &pausedTerm{group: &recordingGroup{fakeGroup: newFakeGroup(0)}}
	inner := standin.NewKV().Direct()
	p.kv = &lateRenewals{KV: inner}
	putConfig(t, inner)
	ctx, cancel := context.WithCancel(t.Context())
	go p.group.run(ctx)
	startAgents(t.Context(), t, p.group, inner)
	done := make(chan struct{})
	go func() {
		NewCoordinators(CoordinatorOptions{
			Instance: "c", HolderID: "c/1", KV: p.kv, Records: testRecords{}, Engine: p.group, Items: standinItems(inner),
			Log: slog.New(slog.NewJSONHandler(&p.log, nil)),
		}).Run(ctx)
		close(done)
	}()
	p.stop = func() { cancel(); <-done }
	t.Cleanup(p.stop)
	p.awaitMaps(t, 1)
	return p
}

// awaitMaps waits until the ranks have got a number of maps, or a version has been
// given to two.
func (p *pausedTerm) awaitMaps(t *testing.T, n int) {
	require.Eventually(t, func() bool {
		maps, reused := p.group.versions()
		return maps >= n || reused != 0
	}, 15*time.Second, 10*time.Millisecond)
}

// pause lets the term end by the process's own clock, and then go on.
func (p *pausedTerm) pause() {
	p.kv.delay.Store(int64(coordinatorTimes.TTL - coordinatorTimes.Margin))
	time.Sleep(2 * coordinatorTimes.TTL)
	p.kv.delay.Store(0)
}

// Guards against ranks that switch to different maps of one version: a coordinator
// whose term goes on after a pause counted its maps from 0 again, while some ranks
// held the first map of the term (review/2).
func TestPauseRepeatsNoVersion(t *testing.T) {
	t.Parallel()
	p := startPausedTerm(t)
	p.group.moveLoad(5)
	p.pause()
	p.group.moveLoad(7)
	p.awaitMaps(t, 2)
	_, reused := p.group.versions()
	require.Zero(t, reused, "a version was given to two maps")
	p.stop()
	require.Contains(t, p.log.String(), "coordination suspended", "the term must have ended by the process's clock")
	require.Equal(t, 1, strings.Count(p.log.String(), "lease taken"), "the term must have gone on")
}

// Guards against a coordinator that begins again without the history of its orders,
// in the same term: reports of before them may still arrive.
func TestPauseKeepsHistory(t *testing.T) {
	t.Parallel()
	p := startPausedTerm(t)
	p.pause()
	time.Sleep(coordinatorTimes.TTL) // the token is back
	p.stop()
	require.Contains(t, p.log.String(), "coordination suspended")
	require.Equal(t, 1, strings.Count(p.log.String(), `"coordinating"`), "a second coordinator has begun in the term")
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
