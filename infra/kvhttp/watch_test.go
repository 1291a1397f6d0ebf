package kvhttp

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
)

// TestWireFormat guards against a mistake in the message types, which the contract
// tests can't find because the client and the stand-in share them. The texts here
// are those of etcd's gateway.
func TestWireFormat(t *testing.T) {
	var path, body string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		path, body = r.URL.Path, string(b)
		_, _ = io.WriteString(w, `{"header":{"cluster_id":"14841639068965178418","revision":"7","raft_term":"2"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"7"}}}]}`)
	}))
	defer srv.Close()
	r, err := New(srv.URL).Commit(t.Context(), infra.Txn{
		Conditions: []infra.Condition{{Key: "foo"}},
		Puts:       []infra.Put{{Key: "foo", Value: []byte("bar"), Lease: infra.LeaseID{Number: 9}}},
		Deletes:    []string{"old"},
	})
	require.NoError(t, err)
	require.Equal(t, infra.TxnResult{Succeeded: true, Revision: 7}, r)
	require.Equal(t, "/v3/kv/txn", path)
	require.JSONEq(t, `{"compare":[{"result":"EQUAL","target":"MOD","key":"Zm9v","mod_revision":"0"}],
		"success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"9"}},{"request_delete_range":{"key":"b2xk"}}]}`, body)
}

// TestResponseLimit guards against a response that fills the client's memory, and
// against a write whose response is too large being reported as failed.
func TestResponseLimit(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"header":{"revision":"7"},"x":"`+strings.Repeat("x", 5000)+`"}`)
	}))
	defer srv.Close()
	c := New(srv.URL, WithMaxResponse(1000))
	_, _, err := c.List(t.Context(), "")
	require.ErrorContains(t, err, "size limit")
	require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err))
	_, err = c.Commit(t.Context(), infra.Txn{})
	require.ErrorIs(t, err, infra.ErrUnknownOutcome)
}

// TestRedirectedWrite guards against net/http sending a second request for a
// write: the same one after 307, a GET after 302.
func TestRedirectedWrite(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect} {
		calls := 0
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			http.Redirect(w, r, "/again", status)
		}))
		_, err := New(srv.URL).Commit(t.Context(), infra.Txn{})
		srv.Close()
		require.Error(t, err)
		require.Equal(t, 1, calls)
	}
}

// FuzzWatchStream guards against a malformed stream that makes the decoder panic,
// never ends, exceeds the limit, or yields an event without a key or revision.
func FuzzWatchStream(f *testing.F) {
	f.Add([]byte(`{"result":{"header":{"revision":"5"},"created":true}}` + "\n" +
		`{"result":{"events":[{"kv":{"key":"Zm9v","mod_revision":"6","value":"YmFy"}},{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"7"}}]}}`))
	f.Add([]byte(`{"result":{"canceled":true,"compact_revision":"9"}}`))
	f.Add([]byte(`{"error":{"code":14,"message":"unavailable"}}`))
	f.Add([]byte(`{"result":{"events":[{"kv":{"key":"!","mod_revision":6}}]}}`))
	f.Add([]byte(`{"result":{"events":[{"type":"DELETE","kv":{}}]}}`))
	f.Add([]byte(`{"result":{"events":[{"kv":{"key":"Zm9v"}}]}}`))
	f.Add([]byte(`{"result":{"events":[{"kv":{"mod_revision":"6"}}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 256
		s := newWatchStream(strings.NewReader(string(data)), limit)
		for range len(data) + 1 {
			m, err := s.next()
			if err != nil {
				return
			}
			size := 0
			for _, e := range m.InfraEvents() {
				require.NotEmpty(t, e.Item.Key)
				require.Positive(t, e.Item.ModRevision)
				size += len(e.Item.Value)
			}
			require.LessOrEqual(t, size, 2*limit)
		}
		require.Fail(t, "the stream did not end")
	})
}
