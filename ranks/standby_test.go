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

// standbyTest is a group that "a/1" coordinates, and a standby of "b/1".
type standbyTest struct {
	kv    *standin.KV
	copy  atomic.Pointer[[]infra.Item]
	ended atomic.Bool // whether a/1 has ended
	*standby
}

func startStandby(t *testing.T) *standbyTest {
	s := &standbyTest{kv: standin.NewKV()}
	s.coordinate(t, "a/1")
	items := func(ctx context.Context, prefix string) (found []infra.Item, _ error) {
		s.refresh(ctx)
		for _, it := range *s.copy.Load() {
			if strings.HasPrefix(it.Key, prefix) {
				found = append(found, it)
			}
		}
		return found, nil
	}
	s.standby = newStandby(CoordinatorOptions{
		Instance: "b", HolderID: "b/1", KV: s.kv.Direct(), Items: items, Log: slog.New(slog.DiscardHandler),
		HolderDown: func(holder string) bool { return holder == "a/1" && s.ended.Load() },
	}, "g", "c")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.holder.Run(ctx); close(done) }()
	t.Cleanup(func() { s.kv.SetRefuse(false); cancel(); <-done })
	time.Sleep(time.Minute) // it competes at some looks only
	return s
}

// refresh brings the copy up to date, if the service answers.
func (s *standbyTest) refresh(ctx context.Context) {
	if items, _, err := s.kv.Direct().List(ctx, ""); err == nil {
		s.copy.Store(&items)
	}
}

// coordinate makes a process the coordinator.
func (s *standbyTest) coordinate(t *testing.T, holder string) uint64 {
	res, err := s.kv.Direct().Commit(t.Context(), infra.Txn{Puts: []infra.Put{{Key: "c", Value: []byte(holder)}}})
	require.NoError(t, err)
	s.refresh(t.Context())
	return uint64(res.Revision)
}

// Guards against a group that stays without a coordinator after a kill while the
// service is away, and against two coordinators while there is no need.
func TestStandbyTakesOverInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStandby(t)
		number, valid := s.holder.Token()
		require.True(t, valid)
		require.Greater(t, number, uint64((*s.copy.Load())[0].ModRevision), "ranks refuse lower numbers")
		require.False(t, s.takesOver(t.Context()), "the coordinator lives")
		s.ended.Store(true)
		require.False(t, s.takesOver(t.Context()), "the service gives leases")
		s.kv.SetRefuse(true)
		time.Sleep(2 * time.Second)
		require.True(t, s.takesOver(t.Context()))
		s.ended.Store(false)
		require.False(t, s.takesOver(t.Context()), "the coordinator lives")
	})
}

// Guards against a standby whose number is lower than that of a later coordinator.
func TestStandbyRenewsItsNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStandby(t)
		first, _ := s.holder.Token()
		later := s.coordinate(t, "d/1")
		require.Greater(t, later, first)
		require.False(t, s.takesOver(t.Context()))
		time.Sleep(time.Minute)
		second, valid := s.holder.Token()
		require.True(t, valid)
		require.Greater(t, second, later)
	})
}

// Guards against a coordinator that is its own standby: both would end together.
func TestCoordinatorIsNotItsStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStandby(t)
		s.coordinate(t, "b/1")
		main := lease.New(lease.Options{KV: s.kv.Direct(), Key: "main", HolderID: "b/1"})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { main.Run(ctx); close(done) }()
		time.Sleep(10 * time.Second)
		require.Equal(t, main, NewCoordinators(s.o).token(t.Context(), "g", main, s.standby))
		time.Sleep(time.Minute)
		_, valid := s.holder.Token()
		require.False(t, valid)
		cancel()
		<-done
	})
}
