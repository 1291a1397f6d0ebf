package infra_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/instancehttp"
	"github.com/skylarkstep/skylarkstep/infra/kvhttp"
	"github.com/skylarkstep/skylarkstep/infra/standin/malformed"
	"github.com/skylarkstep/skylarkstep/infra/weighthttp"
)

// Guards against a malformed response of the key-value store that counts as one: a write
// may have taken effect, and counted as not run.
func TestMalformedStoreResponse(t *testing.T) {
	calls := map[string]func(context.Context, infra.KV) error{
		"get":    func(ctx context.Context, kv infra.KV) error { _, _, err := kv.Get(ctx, "k"); return err },
		"list":   func(ctx context.Context, kv infra.KV) error { _, _, err := kv.List(ctx, "k"); return err },
		"watch":  func(ctx context.Context, kv infra.KV) error { _, err := kv.Watch(ctx, "k", 1); return err },
		"grant":  func(ctx context.Context, kv infra.KV) error { _, err := kv.Grant(ctx, time.Second); return err },
		"revoke": func(ctx context.Context, kv infra.KV) error { return kv.Revoke(ctx, infra.LeaseID{Number: 1}) },
		"commit": func(ctx context.Context, kv infra.KV) error {
			_, err := kv.Commit(ctx, putTxn("k", "v", 0))
			return err
		},
		"keep alive": func(ctx context.Context, kv infra.KV) error {
			_, err := kv.KeepAlive(ctx, infra.LeaseID{Number: 1})
			return err
		},
	}
	const body = `{"header":{"revision":"7"},"succeeded":true,"kvs":[{"key":"a2V5"}],"result":{"TTL":"1","created":true},"ID":"1"}`
	for name, response := range malformed.All("200 OK", "Content-Type: application/json\r\n", body) {
		for callName, call := range calls {
			t.Run(callName+"/"+name, func(t *testing.T) {
				t.Parallel()
				c := kvhttp.New(malformed.Start(t, response).URL)
				defer c.Close()
				err := call(t.Context(), c)
				require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err), "%v", err)
				if isWrite := callName == "commit" || callName == "grant" || callName == "revoke" || callName == "keep alive"; isWrite {
					requireUnknownOutcome(t, err)
				}
			})
		}
	}
}

// Guards against rows that are taken from a malformed response.
func TestMalformedInstanceList(t *testing.T) {
	for name, response := range malformed.All("200 OK", "", `[{"name":"i","addr":"127.0.0.1:1"}]`) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rows, err := instancehttp.New(malformed.Start(t, response).URL).Instances(t.Context())
			require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err), "%v", err)
			require.Empty(t, rows)
		})
	}
}

// Guards against weights that are taken from a malformed response.
func TestMalformedWeights(t *testing.T) {
	for name, response := range malformed.All("200 OK", "", "weights") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := weighthttp.New(malformed.Start(t, response).URL).Fetch(t.Context(), "o")
			require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err), "%v", err)
		})
	}
}

// Guards against an instance list, or weights, that are taken from another process because
// of a redirect.
func TestRedirectIsNotFollowed(t *testing.T) {
	var requests atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = io.WriteString(w, "[]")
	}))
	defer other.Close()
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
		server := httptest.NewServer(http.RedirectHandler(other.URL, status))
		_, err := instancehttp.New(server.URL).Instances(t.Context())
		require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err), "%v", err)
		_, err = weighthttp.New(server.URL).Fetch(t.Context(), "o")
		require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err), "%v", err)
		server.Close()
	}
	require.Zero(t, requests.Load())
}
