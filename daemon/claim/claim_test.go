package claim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

func issueIDFor(target string) func() (atmostonce.ID, error) {
	return func() (atmostonce.ID, error) { return atmostonce.NewID("app", target, 7, time.Now()), nil }
}

func digest(s string) [32]byte { return atmostonce.Digest([]byte(s)) }

// Guards against two operation ids for one key under each fault of the store.
func TestClaimUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*standin.KV)
		heal  func(*standin.KV)
		fails bool
	}{
		{"none", func(*standin.KV) {}, func(*standin.KV) {}, false},
		{"lost reply of the lease", func(k *standin.KV) { k.DropReplies(1) }, func(*standin.KV) {}, false},
		{"lost replies of lease and claim", func(k *standin.KV) { k.DropReplies(2) }, func(*standin.KV) {}, false},
		{"down", func(k *standin.KV) { k.SetRefuse(true) }, func(k *standin.KV) { k.SetRefuse(false) }, true},
		{"stalled", func(k *standin.KV) { k.SetStall(true) }, func(k *standin.KV) { k.SetStall(false) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := standin.NewKV()
				a, b := New(kv.Direct()), New(kv.Direct())
				tc.fault(kv)
				start := time.Now()
				first, err := a.Claim(context.Background(), "taller", "k", digest("x"), issueIDFor("app-1"))
				assert.LessOrEqual(t, time.Since(start), 2*claimTimeout)
				require.Equal(t, tc.fails, err != nil)
				if tc.fails {
					assert.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err))
					assert.Equal(t, errkind.Unknown, errkind.From(err).DidRun)
					assert.Positive(t, errkind.From(err).RetryAfter)
				}
				tc.heal(kv)
				time.Sleep(2 * unavailableBackoff)
				second, err := b.Claim(context.Background(), "taller", "k", digest("x"), issueIDFor("app-2"))
				require.NoError(t, err)
				third, err := a.Claim(context.Background(), "taller", "k", digest("x"), issueIDFor("app-3"))
				require.NoError(t, err)
				assert.Equal(t, second, third)
				if !tc.fails {
					assert.Equal(t, first, second)
				}
			})
		})
	}
}

// Guards against a customer's key that reaches the operation of another
// customer, and against a key that returns the response of another request.
func TestKeyBelongsToCustomerAndRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(standin.NewKV().Direct())
		first, err := c.Claim(context.Background(), "taller", "k", digest("x"), issueIDFor("app-1"))
		require.NoError(t, err)
		other, err := c.Claim(context.Background(), "flota", "k", digest("x"), issueIDFor("app-1"))
		require.NoError(t, err)
		assert.NotEqual(t, first, other)
		_, err = c.Claim(context.Background(), "taller", "k", digest("y"), issueIDFor("app-1"))
		require.Error(t, err)
		assert.Equal(t, errkind.InvalidRequest, errkind.KindOf(err))
		assert.Equal(t, errkind.Unknown, errkind.From(err).DidRun)
	})
}

// Guards against claims that use up the writes of the store, and against a
// retry with a bound key that fails because the budget is exhausted.
func TestWriteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		c := New(kv.Direct())
		c.SetEntries(10)
		refused := 0
		for i := range 40 {
			_, err := c.Claim(context.Background(), "taller", fmt.Sprint(i), digest("x"), issueIDFor("app-1"))
			if err != nil {
				assert.Equal(t, errkind.Overloaded, errkind.KindOf(err))
				assert.Equal(t, errkind.Unknown, errkind.From(err).DidRun)
				refused++
			}
		}
		assert.Equal(t, 30, refused)
		assert.Equal(t, 10, kv.Calls()["txn"])
		_, err := c.Claim(context.Background(), "taller", "0", digest("x"), issueIDFor("app-1"))
		require.NoError(t, err)
	})
}

// Guards against a claim that expires before 24 hours, after which the key
// could run a second time, and against a lease per claim.
func TestClaimsShareALeaseAndLiveADay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		c := New(kv.Direct())
		for i := range 3 {
			_, err := c.Claim(context.Background(), "taller", fmt.Sprint(i), digest("x"), issueIDFor("app-1"))
			require.NoError(t, err)
			time.Sleep(29 * time.Minute)
		}
		assert.Equal(t, 1, kv.Calls()["grant"])
		last, err := c.Claim(context.Background(), "taller", "2", digest("x"), issueIDFor("app-2"))
		require.NoError(t, err)
		time.Sleep(claimLifetime - 30*time.Minute)
		again, err := c.Claim(context.Background(), "taller", "2", digest("x"), issueIDFor("app-3"))
		require.NoError(t, err)
		assert.Equal(t, last, again)
	})
}

// Guards against claims that keep failing after their lease has expired early,
// for example after a rollback of the store.
func TestLapsedLeaseIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		c := New(kv.Direct())
		_, err := c.Claim(context.Background(), "taller", "a", digest("x"), issueIDFor("app-1"))
		require.NoError(t, err)
		kv.ExpireLease(c.lease)
		_, err = c.Claim(context.Background(), "taller", "b", digest("x"), issueIDFor("app-1"))
		require.NoError(t, err)
	})
}

// Guards against an entry that takes a lost reply for success although another
// entry has already bound the key.
func TestLostReplyOfALostRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		a, b := New(kv.Direct()), New(kv.Direct())
		_, err := a.Claim(context.Background(), "taller", "other", digest("x"), issueIDFor("app-1"))
		require.NoError(t, err)
		first, err := b.Claim(context.Background(), "taller", "k", digest("x"), issueIDFor("app-2"))
		require.NoError(t, err)
		kv.DropReplies(1)
		second, err := a.Claim(context.Background(), "taller", "k", digest("x"), issueIDFor("app-1"))
		require.NoError(t, err)
		assert.Equal(t, first, second)
	})
}
