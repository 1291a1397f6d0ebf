package lease

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// Guards against a record that stays missing after a restore of the store, or that
// stays under a lease of before, which may have been granted to somebody else since.
func TestRecordIsWrittenAgainAfterRestore(t *testing.T) {
	for name, inCopy := range map[string]bool{"not in the copy": false, "in the copy": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := standin.NewKV()
				older := kv.TakeCopy()
				ctx, cancel := context.WithCancel(t.Context())
				lost := 0
				r := Record{KV: kv.Direct(), Key: "k", Value: []byte("v"), TTL: 4 * time.Second, RenewInterval: time.Second, OnLost: func() { lost++ }}
				done := make(chan struct{})
				go func() { r.Run(ctx); close(done) }()
				time.Sleep(1500 * time.Millisecond)
				former, _, err := kv.Direct().Get(t.Context(), "k")
				require.NoError(t, err)
				if inCopy {
					older = kv.TakeCopy()
				}
				kv.Restore(older)
				other, err := kv.Direct().Grant(t.Context(), time.Minute)
				require.NoError(t, err)
				require.Equal(t, !inCopy, other.Number == former.Lease.Number, "the lease id is given out again")
				time.Sleep(1100 * time.Millisecond)
				it, _, err := kv.Direct().Get(t.Context(), "k")
				require.NoError(t, err)
				require.NotEqual(t, former.Lease.Number, it.Lease.Number)
				time.Sleep(10 * time.Second)
				_, _, err = kv.Direct().Get(t.Context(), "k")
				require.NoError(t, err)
				cancel()
				<-done
				require.Equal(t, 1, lost, "the loss is reported once")
				remaining, err := kv.Direct().KeepAlive(t.Context(), other)
				require.NoError(t, err)
				require.NotZero(t, remaining, "the lease of somebody else was ended")
			})
		})
	}
}

// lateKV loses the reply to the first commit, which takes effect late.
type lateKV struct {
	infra.KV
	delay   time.Duration
	delayed atomic.Bool
}

func (k *lateKV) Commit(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	if !k.delayed.CompareAndSwap(false, true) {
		return k.KV.Commit(ctx, txn)
	}
	time.AfterFunc(k.delay, func() { _, _ = k.KV.Commit(context.Background(), txn) })
	return infra.TxnResult{}, errors.WithStack(infra.ErrUnknownOutcome)
}

// Guards against a record that a late write attaches to a lease which is not
// renewed, so that it expires and is never written again.
func TestRecordSurvivesLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		ctx, cancel := context.WithCancel(t.Context())
		r := Record{KV: &lateKV{KV: kv.Direct(), delay: 2 * time.Second}, Key: "k", Value: []byte("v"), TTL: 4 * time.Second, RenewInterval: time.Second}
		done := make(chan struct{})
		go func() { r.Run(ctx); close(done) }()
		time.Sleep(20 * time.Second)
		_, _, err := kv.Direct().Get(t.Context(), "k")
		require.NoError(t, err)
		cancel()
		<-done
	})
}

var shortTimes = Times{TTL: 3 * time.Second, RenewInterval: time.Second, Margin: time.Second}

// Guards against a holder that keeps its lease, or its number, across a restore of
// the store, and against one that its own key in the copy keeps from a new lease.
func TestHolderGetsNewNumberAfterRestore(t *testing.T) {
	for name, c := range map[string]struct{ inCopy, endLeases bool }{
		"lease lost": {}, "lease in the copy": {inCopy: true}, "key without its lease in the copy": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := standin.NewKV()
				older := kv.TakeCopy()
				h, stop := startHolder(Options{KV: kv.Direct(), Key: "k", HolderID: "a", Times: shortTimes, KeepDuringOutage: true})
				defer stop()
				time.Sleep(10 * time.Millisecond)
				first, valid := h.Token()
				require.True(t, valid)
				if c.inCopy {
					older = kv.TakeCopy()
				}
				if c.endLeases {
					older.DropLeases()
				}
				for range 100 {
					_, err := kv.Direct().Commit(t.Context(), infra.Txn{Puts: []infra.Put{{Key: "other"}}})
					require.NoError(t, err)
				}
				kv.Restore(older)
				time.Sleep(2500 * time.Millisecond)
				next, valid := h.Token()
				require.True(t, valid)
				require.Greater(t, next, first)
				it, _, err := kv.Direct().Get(t.Context(), "k")
				require.NoError(t, err)
				require.EqualValues(t, 1, it.Lease.Era)
			})
		})
	}
}

// Guards against two coordinators with equal fencing numbers: one that has held the
// lease since before a restore, and one that acquired it afterwards at the same
// revision.
func TestNumbersAreNotRepeatedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		older := kv.TakeCopy()
		seen := map[uint64]bool{}
		var highest uint64
		for range 5 {
			h, stop := startHolder(Options{KV: kv.Direct(), Key: "k", HolderID: "a", Times: shortTimes, KeepDuringOutage: true})
			time.Sleep(10 * time.Millisecond)
			number, valid := h.Token()
			require.True(t, valid)
			require.False(t, seen[number])
			require.Greater(t, number, highest)
			seen[number], highest = true, number
			kv.Restore(older)
			stop()
		}
	})
}

// restoringKV restores the store before a commit or after it, and loses the reply.
type restoringKV struct {
	infra.KV
	kv     *standin.KV
	older  standin.Copy
	before bool
	done   atomic.Bool
}

func (k *restoringKV) Commit(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	if !k.done.CompareAndSwap(false, true) {
		return k.KV.Commit(ctx, txn)
	}
	if !k.before {
		if _, err := k.KV.Commit(ctx, txn); err != nil {
			return infra.TxnResult{}, err
		}
	}
	k.kv.Restore(k.older)
	if _, err := k.Grant(ctx, time.Minute); err != nil { // the id of the holder's lease
		return infra.TxnResult{}, err
	}
	if k.before {
		_, _ = k.KV.Commit(ctx, txn)
	}
	return infra.TxnResult{}, errors.WithStack(infra.ErrUnknownOutcome)
}

// Guards against a holder that believes in a write whose reply was lost in a
// restore, although the write or its lease is gone.
func TestLostReplyInRestore(t *testing.T) {
	for name, before := range map[string]bool{"restored before the write": true, "restored after the write": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := standin.NewKV()
				faulty := &restoringKV{KV: kv.Direct(), kv: kv, older: kv.TakeCopy(), before: before}
				h, stop := startHolder(Options{KV: faulty, Key: "k", HolderID: "a", Times: shortTimes})
				defer stop()
				time.Sleep(10 * time.Millisecond)
				_, valid := h.Token()
				require.False(t, valid)
				time.Sleep(5 * time.Second)
				number, valid := h.Token()
				require.True(t, valid)
				it, _, err := kv.Direct().Get(t.Context(), "k")
				require.NoError(t, err)
				require.Equal(t, FencingNumber(it.ModRevision), number)
			})
		})
	}
}
