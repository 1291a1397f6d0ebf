package ranks

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/lease"
)

// Guards against map versions that JSON readers round, so that two maps have the
// same version, and against versions of one term that reach into the next.
func TestMapVersionLimits(t *testing.T) {
	const maxExactInteger = 1<<53 - 1
	last, ok := mapVersion(maxMapFencing, versionsPerTerm-1)
	require.True(t, ok)
	require.LessOrEqual(t, last, uint64(maxExactInteger))
	_, ok = mapVersion(maxMapFencing+1, 1)
	require.False(t, ok, "no version is left")
	_, ok = mapVersion(5, versionsPerTerm)
	require.False(t, ok, "the version belongs to the next term")
	first, ok := mapVersion(6, 1)
	require.True(t, ok)
	last, ok = mapVersion(5, versionsPerTerm-1)
	require.True(t, ok)
	require.Greater(t, first, last)
	// 20,000 restores after 200 days of 100 changes a second.
	_, ok = mapVersion(lease.FencingNumber(infra.NewRevision(20_000, 200*86_400*100)), 1)
	require.True(t, ok)
}

// Guards against a standby that compares its number with the revision of the
// coordinator's key: in a restored store it would always resign.
func TestStandbyTakesOverAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStandby(t)
		first, valid := s.holder.Token()
		require.True(t, valid)
		older := s.kv.TakeCopy()
		s.kv.Restore(older)
		s.refreshCache(t.Context())
		time.Sleep(time.Minute)
		number, valid := s.holder.Token()
		require.True(t, valid)
		require.Greater(t, number, first)
		require.False(t, s.mustTakeOver(t.Context()), "the coordinator is alive")
		s.coordinatorDown.Store(true)
		s.kv.SetRefuse(true)
		time.Sleep(2 * time.Second)
		require.True(t, s.mustTakeOver(t.Context()))
	})
}

// Guards against a standby that keeps a number of before a restore although the
// coordinator's number of after it is higher.
func TestStandbyOfOlderEraResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStandby(t)
		for range 50 {
			s.setCoordinator(t, "a/1")
		}
		time.Sleep(time.Minute)
		older := s.kv.TakeCopy()
		s.setCoordinator(t, "a/1")
		s.kv.Restore(older)
		s.setCoordinator(t, "d/1")
		s.kv.SetRefuse(true)
		s.coordinatorDown.Store(true)
		time.Sleep(2 * time.Second)
		require.False(t, s.mustTakeOver(t.Context()))
	})
}

// Guards against a group without a coordinator after a restore: the key of its
// coordinator is in the copy, under a lease that does not exist any more.
func TestCoordinatorReplacesItsKeyInCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		o := CoordinatorOptions{
			Instance: "a", HolderID: "a/1", KV: kv.Direct(), Log: slog.New(slog.DiscardHandler),
			Items: func(ctx context.Context, prefix string) ([]infra.Item, error) {
				items, _, err := kv.Direct().List(ctx, prefix)
				return items, err
			},
		}
		h := newCoordinatorLease(t.Context(), o, "g", "c")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { h.Run(ctx); close(done) }()
		time.Sleep(5 * time.Second)
		first, valid := h.Token()
		require.True(t, valid)
		older := kv.TakeCopy()
		older.DropLeases()
		kv.Restore(older)
		time.Sleep(3 * time.Second)
		next, valid := h.Token()
		require.True(t, valid)
		require.Greater(t, next, first)
		cancel()
		<-done
	})
}

// Guards against a group that gets no coordinator since the name of another group
// begins with its own name.
func TestLeaseOfOtherGroupIsNotTakenForOwn(t *testing.T) {
	o := CoordinatorOptions{
		Instance: "a", HolderID: "a/1", Log: slog.New(slog.DiscardHandler),
		Items: func(context.Context, string) ([]infra.Item, error) {
			return []infra.Item{{Key: coordinatorKeyPrefix + "g10", Value: []byte("b/1"), ModRevision: 5}}, nil
		},
	}
	key := coordinatorKeyPrefix + "g1"
	h := newCoordinatorLease(t.Context(), o, "g1", key)
	require.True(t, leaseVacant(t.Context(), o, key, h))
	s := newStandby(o, "g1", key)
	require.False(t, s.otherCoordinates(), "nobody coordinates g1")
}
