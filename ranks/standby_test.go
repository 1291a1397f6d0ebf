package ranks

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/lease"
)

// standbyTest is a group that "a/1" coordinates and for which "b/1" holds the
// standby.
type standbyTest struct {
	kv              *standin.KV
	cachedItems     atomic.Pointer[[]infra.Item]
	coordinatorDown atomic.Bool // whether a/1 is down
	*standby
}

func startStandby(t *testing.T) *standbyTest {
	s := &standbyTest{kv: standin.NewKV()}
	s.setCoordinator(t, "a/1")
	items := func(ctx context.Context, prefix string) (found []infra.Item, _ error) {
		s.refreshCache(ctx)
		for _, it := range *s.cachedItems.Load() {
			if strings.HasPrefix(it.Key, prefix) {
				found = append(found, it)
			}
		}
		return found, nil
	}
	s.standby = newStandby(CoordinatorOptions{
		Instance: "b", HolderID: "b/1", KV: s.kv.Direct(), Items: items, Log: slog.New(slog.DiscardHandler),
		HolderDown: func(holder string) bool { return holder == "a/1" && s.coordinatorDown.Load() },
	}, "g", "c")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.holder.Run(ctx); close(done) }()
	t.Cleanup(func() { s.kv.SetRefuse(false); cancel(); <-done })
	time.Sleep(time.Minute) // the standby competes at random checks only
	return s
}

// refreshCache updates the cached copy of the store if the store answers.
func (s *standbyTest) refreshCache(ctx context.Context) {
	if items, _, err := s.kv.Direct().List(ctx, ""); err == nil {
		s.cachedItems.Store(&items)
	}
}

// setCoordinator writes a process as the coordinator of the group and returns
// its fencing number.
func (s *standbyTest) setCoordinator(t *testing.T, holder string) uint64 {
	res, err := s.kv.Direct().Commit(t.Context(), infra.Txn{Puts: []infra.Put{{Key: "c", Value: []byte(holder)}}})
	require.NoError(t, err)
	s.refreshCache(t.Context())
	return uint64(res.Revision)
}

// Guards against a group that stays without a coordinator because it was killed
// while the key-value store is unavailable, and against a second coordinator
// while the first one is alive or the store grants leases.
func TestStandbyTakesOverInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStandby(t)
		number, valid := s.holder.Token()
		require.True(t, valid)
		require.Greater(t, number, uint64((*s.cachedItems.Load())[0].ModRevision), "ranks refuse lower numbers")
		require.False(t, s.mustTakeOver(t.Context()), "the coordinator is alive")
		s.coordinatorDown.Store(true)
		require.False(t, s.mustTakeOver(t.Context()), "the store grants leases")
		s.kv.SetRefuse(true)
		time.Sleep(2 * time.Second)
		require.True(t, s.mustTakeOver(t.Context()))
		s.coordinatorDown.Store(false)
		require.False(t, s.mustTakeOver(t.Context()), "the coordinator is alive")
	})
}

// Guards against a standby whose number is lower than that of a later
// coordinator.
func TestStandbyRenewsItsNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStandby(t)
		first, _ := s.holder.Token()
		later := s.setCoordinator(t, "d/1")
		require.Greater(t, later, first)
		require.False(t, s.mustTakeOver(t.Context()))
		time.Sleep(time.Minute)
		second, valid := s.holder.Token()
		require.True(t, valid)
		require.Greater(t, second, later)
	})
}

// Guards against a process that is coordinator and standby at once: both roles
// would end together.
func TestCoordinatorIsNotItsStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStandby(t)
		s.setCoordinator(t, "b/1")
		main := lease.New(lease.Options{KV: s.kv.Direct(), Key: "main", HolderID: "b/1"})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { main.Run(ctx); close(done) }()
		time.Sleep(10 * time.Second)
		require.Equal(t, main, NewCoordinators(s.o).activeToken(t.Context(), "g", main, s.standby))
		time.Sleep(time.Minute)
		_, valid := s.holder.Token()
		require.False(t, valid)
		cancel()
		<-done
	})
}
