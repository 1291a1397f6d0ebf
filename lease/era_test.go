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
				r := Record{KV: kv.Direct(), Key: "k", Value: []byte("v"), TTL: 4 * time.Second, RenewInterval: time.Second}
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
