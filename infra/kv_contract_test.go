package infra_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/kvhttp"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// testTimeout is long enough for a loopback call under the race detector and
// short enough to wait for in a test.
const testTimeout = 500 * time.Millisecond

type kvCase struct {
	name string
	run  func(t *testing.T, s *standin.KV, kv infra.KV)
}

func putTxn(key, value string, mod int64) infra.Txn {
	return infra.Txn{
		Conditions: []infra.Condition{{Key: key, ModRevision: mod}},
		Puts:       []infra.Put{{Key: key, Value: []byte(value)}},
	}
}

func mustPut(t *testing.T, kv infra.KV, key, value string, mod int64) int64 {
	t.Helper()
	r, err := kv.Commit(t.Context(), putTxn(key, value, mod))
	require.NoError(t, err)
	require.True(t, r.Succeeded)
	return r.Revision
}

// nextEvents returns the next batch of a watch, or nil if the channel is closed. It
// fails the test if neither happens within 5 s.
func nextEvents(t *testing.T, ch <-chan []infra.Event) []infra.Event {
	t.Helper()
	select {
	case e := <-ch:
		return e
	case <-time.After(5 * time.Second):
		require.Fail(t, "no event within 5 s")
		return nil
	}
}

func requireUnknownOutcome(t *testing.T, err error) {
	t.Helper()
	require.ErrorIs(t, err, infra.ErrUnknownOutcome)
	require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err))
	require.Equal(t, errkind.Unknown, errkind.From(err).DidRun)
}

var kvCases = []kvCase{
	// The second of two writes on the same base must fail, or it overwrites the first.
	{"compare and swap", func(t *testing.T, _ *standin.KV, kv infra.KV) {
		first := mustPut(t, kv, "a", "1", 0)
		r, err := kv.Commit(t.Context(), putTxn("a", "2", 0))
		require.NoError(t, err)
		require.False(t, r.Succeeded)
		second := mustPut(t, kv, "a", "3", first)
		item, rev, err := kv.Get(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, infra.Item{Key: "a", Value: []byte("3"), CreateRevision: first, ModRevision: second}, item)
		require.Equal(t, second, rev)
	}},
	// A prefix read must not miss a key, include a neighbour or change the order.
	{"list", func(t *testing.T, _ *standin.KV, kv infra.KV) {
		for _, k := range []string{"p/b", "p/a", "p0", "p/\xff"} {
			mustPut(t, kv, k, "v", 0)
		}
		for prefix, want := range map[string][]string{
			"p/": {"p/a", "p/b", "p/\xff"}, "p/\xff": {"p/\xff"}, "": {"p/a", "p/b", "p/\xff", "p0"}, "q": nil,
		} {
			items, _, err := kv.List(t.Context(), prefix)
			require.NoError(t, err)
			var keys []string
			for _, i := range items {
				keys = append(keys, i.Key)
			}
			require.Equal(t, want, keys, "prefix %q", prefix)
		}
	}},
	// A missing key must be distinguishable from a failed read.
	{"missing key", func(t *testing.T, s *standin.KV, kv infra.KV) {
		_, rev, err := kv.Get(t.Context(), "none")
		require.ErrorIs(t, err, infra.ErrNotFound)
		require.Equal(t, s.Revision(), rev)
	}},
	// A value over the limit must have an error of its own, or callers retry it as in
	// an outage.
	{"value limit", func(t *testing.T, _ *standin.KV, kv infra.KV) {
		mustPut(t, kv, "a", string(bytes.Repeat([]byte("x"), infra.MaxValueBytes)), 0)
		_, err := kv.Commit(t.Context(), putTxn("b", string(bytes.Repeat([]byte("x"), infra.MaxValueBytes+1)), 0))
		require.Equal(t, errkind.TooLarge, errkind.KindOf(err))
	}},
	// KeepAlive must show that a lease has expired, and its keys must be deleted.
	{"lapsed lease", func(t *testing.T, s *standin.KV, kv infra.KV) {
		id, err := kv.Grant(t.Context(), 8500*time.Millisecond)
		require.NoError(t, err)
		txn := putTxn("l", "v", 0)
		txn.Puts[0].Lease = id
		_, err = kv.Commit(t.Context(), txn)
		require.NoError(t, err)
		left, err := kv.KeepAlive(t.Context(), id)
		require.NoError(t, err)
		require.Equal(t, 9*time.Second, left, "a TTL is rounded up to whole seconds")
		s.ExpireLease(id)
		left, err = kv.KeepAlive(t.Context(), id)
		require.NoError(t, err)
		require.Zero(t, left)
		_, _, err = kv.Get(t.Context(), "l")
		require.ErrorIs(t, err, infra.ErrNotFound)
		_, err = kv.Commit(t.Context(), txn)
		require.ErrorIs(t, err, infra.ErrLeaseNotFound)
		require.ErrorIs(t, kv.Revoke(t.Context(), id), infra.ErrLeaseNotFound)
	}},
	// A change between a list and the watch must not be missed.
	{"watch", func(t *testing.T, s *standin.KV, kv infra.KV) {
		rev := mustPut(t, kv, "w/a", "1", 0)
		mustPut(t, kv, "w/b", "2", 0)
		ch, err := kv.Watch(t.Context(), "w/", rev)
		require.NoError(t, err)
		require.Equal(t, "w/b", nextEvents(t, ch)[0].Item.Key)
		mustPut(t, kv, "x", "outside the prefix", 0)
		_, err = kv.Commit(t.Context(), infra.Txn{Deletes: []string{"w/a"}})
		require.NoError(t, err)
		e := nextEvents(t, ch)[0]
		require.True(t, e.Deleted)
		require.Equal(t, "w/a", e.Item.Key)
		require.Equal(t, map[string]int{"txn": 4, "watch": 1}, s.Calls(), "a waiting watch counts as one call")
	}},
	// A watch that does not end on a broken connection would leave its user with stale
	// state.
	{"watch breaks", func(t *testing.T, s *standin.KV, kv infra.KV) {
		ch, err := kv.Watch(t.Context(), "w/", 0)
		require.NoError(t, err)
		s.BreakWatches()
		require.Nil(t, nextEvents(t, ch), "the channel must be closed")
	}},
	// A watch that skips compacted changes without an error would lose edits.
	{"watch compacted", func(t *testing.T, s *standin.KV, kv infra.KV) {
		rev := mustPut(t, kv, "w/a", "1", 0)
		s.Compact(mustPut(t, kv, "w/a", "2", rev))
		ch, err := kv.Watch(t.Context(), "w/", rev)
		require.NoError(t, err)
		require.ErrorIs(t, nextEvents(t, ch)[0].Err, infra.ErrCompacted)
		require.Nil(t, nextEvents(t, ch), "the channel must be closed")
	}},
	// A write that took effect must not be reported as failed or sent twice.
	{"lost reply", func(t *testing.T, s *standin.KV, kv infra.KV) {
		mustPut(t, kv, "warm", "the connection is reused", 0)
		before := s.Calls()["txn"]
		s.DropReplies(1)
		_, err := kv.Commit(t.Context(), putTxn("a", "1", 0))
		requireUnknownOutcome(t, err)
		require.Equal(t, before+1, s.Calls()["txn"])
		_, _, err = kv.Get(t.Context(), "a")
		require.NoError(t, err)
		s.DropReplies(3)
		_, err = kv.Grant(t.Context(), time.Minute)
		requireUnknownOutcome(t, err)
		_, err = kv.KeepAlive(t.Context(), infra.LeaseID{Number: 1})
		requireUnknownOutcome(t, err)
		requireUnknownOutcome(t, kv.Revoke(t.Context(), infra.LeaseID{Number: 1001}))
	}},
	// A stalled store must not block a caller beyond the request timeout. A write that
	// waits there may still take effect.
	{"stall", func(t *testing.T, s *standin.KV, kv infra.KV) {
		s.SetStall(true)
		_, err := kv.Commit(t.Context(), putTxn("a", "1", 0))
		requireUnknownOutcome(t, err)
		_, _, err = kv.Get(t.Context(), "a")
		require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err))
		_, err = kv.Watch(t.Context(), "a", 0)
		require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err))
		s.SetStall(false)
		mustPut(t, kv, "b", "1", 0)
	}},
	// A response of 503 to a write does not prove that it did not take effect.
	{"refuse", func(t *testing.T, s *standin.KV, kv infra.KV) {
		s.SetRefuse(true)
		_, _, err := kv.List(t.Context(), "")
		require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err))
		_, err = kv.Commit(t.Context(), putTxn("a", "1", 0))
		requireUnknownOutcome(t, err)
		_, err = kv.Watch(t.Context(), "", 0)
		require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err))
	}},
	// A latency below the timeout must not be taken for an outage.
	{"latency", func(t *testing.T, s *standin.KV, kv infra.KV) {
		s.SetLatency(20 * time.Millisecond)
		start := time.Now()
		mustPut(t, kv, "a", "1", 0)
		require.GreaterOrEqual(t, time.Since(start), 20*time.Millisecond)
	}},
	// A store restored from a backup must show a lower revision, so that the reader can
	// raise an alarm, and must not leave a watch waiting forever.
	{"rollback", func(t *testing.T, s *standin.KV, kv infra.KV) {
		old := mustPut(t, kv, "a", "1", 0)
		now := mustPut(t, kv, "a", "2", old)
		ch, err := kv.Watch(t.Context(), "a", now)
		require.NoError(t, err)
		require.NoError(t, s.Rollback(old))
		item, rev, err := kv.Get(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, old, rev)
		require.Equal(t, "1", string(item.Value))
		require.Nil(t, nextEvents(t, ch), "the channel must be closed")
	}},
}

// TestKVContract guards against different behaviour of the HTTP client and the
// in-process client of the stand-in. The comment of each case names its failure.
func TestKVContract(t *testing.T) {
	for _, c := range kvCases {
		t.Run("http/"+c.name, func(t *testing.T) {
			s := standin.NewKV()
			srv := httptest.NewServer(s)
			kv := kvhttp.New(srv.URL, kvhttp.WithTimeout(testTimeout))
			// Calls that injected faults still block must end before the server closes.
			t.Cleanup(func() { s.SetStall(false); s.BreakWatches(); kv.Close(); srv.Close() })
			c.run(t, s, kv)
		})
		t.Run("direct/"+c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewKV()
				c.run(t, s, s.Direct())
			})
		})
	}
}

// TestLeaseTime guards against leases of the stand-in that outlive their TTL or end
// despite a renewal, which would hide errors of lease holders.
func TestLeaseTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV().Direct()
		id, err := kv.Grant(t.Context(), 9*time.Second)
		require.NoError(t, err)
		for range 3 {
			time.Sleep(8 * time.Second)
			left, err := kv.KeepAlive(t.Context(), id)
			require.NoError(t, err)
			require.Equal(t, 9*time.Second, left)
		}
		time.Sleep(9*time.Second + time.Millisecond)
		left, err := kv.KeepAlive(t.Context(), id)
		require.NoError(t, err)
		require.Zero(t, left)
	})
}

// TestNoConnection guards against reporting an unknown outcome for a write that was
// never sent.
func TestNoConnection(t *testing.T) {
	srv := httptest.NewServer(standin.NewKV())
	kv := kvhttp.New(srv.URL)
	srv.Close()
	_, err := kv.Commit(context.Background(), putTxn("a", "1", 0))
	require.NotErrorIs(t, err, infra.ErrUnknownOutcome)
	require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err))
	require.Equal(t, errkind.NotRun, errkind.From(err).DidRun)
}
