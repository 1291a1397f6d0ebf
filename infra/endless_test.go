package infra_test

import (
	"context"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/instancehttp"
	"github.com/skylarkstep/skylarkstep/infra/kvhttp"
	"github.com/skylarkstep/skylarkstep/infra/standin/endless"
	"github.com/skylarkstep/skylarkstep/infra/weighthttp"
)

const (
	// timeMargin is what a call may take beyond its timeout on a loaded machine.
	timeMargin = 5 * time.Second
	// maxTestResponse is the limit of the clients under test, and maxHeadBytes the
	// one of heads, in bytes.
	maxTestResponse = 1 << 20
	maxHeadBytes    = 64 << 10
)

// requireEnds calls f for each script. The call must return an error of the given
// kind in time, close its connection and allocate little memory.
func requireEnds(t *testing.T, scripts map[string]endless.Script, f func(ctx context.Context, url string) error) {
	for name, script := range scripts {
		limit := int64(maxTestResponse)
		if _, ok := endless.Heads()[name]; ok {
			limit = maxHeadBytes
		}
		t.Run(name, func(t *testing.T) {
			if script.Slow {
				t.Parallel()
			}
			server := endless.Start(t, script)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var err error
			start := time.Now()
			endless.RequireLimited(t, script, limit, func() { err = f(ctx, server.URL) })
			require.Error(t, err)
			require.Less(t, time.Since(start), testTimeout+timeMargin)
			server.RequireClosed(t)
		})
	}
}

// Guards against a key-value store whose responses never end: a call must fail
// within its timeout and without using up the memory, and a write must count as
// one whose outcome is unknown.
func TestStoreResponseWithoutEnd(t *testing.T) {
	scripts := endless.Heads()
	maps.Copy(scripts, endless.Bodies("200 OK", `{"header":{"revision":"7"},"succeeded":true,"kvs":[{"key":"a2V5"}],"result":{"TTL":"1"}}`))
	for name, script := range endless.Bodies("503 Unavailable", `{"message":"`) {
		scripts["503: "+name] = script
	}
	for name, call := range map[string]func(context.Context, infra.KV) error{
		"get":   func(ctx context.Context, kv infra.KV) error { _, _, err := kv.Get(ctx, "k"); return err },
		"list":  func(ctx context.Context, kv infra.KV) error { _, _, err := kv.List(ctx, "k"); return err },
		"grant": func(ctx context.Context, kv infra.KV) error { _, err := kv.Grant(ctx, time.Second); return err },
		"keep alive": func(ctx context.Context, kv infra.KV) error {
			_, err := kv.KeepAlive(ctx, infra.LeaseID{Number: 1})
			return err
		},
		"revoke": func(ctx context.Context, kv infra.KV) error { return kv.Revoke(ctx, infra.LeaseID{Number: 1}) },
		"commit": func(ctx context.Context, kv infra.KV) error {
			_, err := kv.Commit(ctx, putTxn("k", "v", 0))
			if err != nil {
				requireUnknownOutcome(t, err)
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			set := maps.Clone(scripts)
			if name == "keep alive" {
				// Its response is a stream, of which the first message counts.
				maps.DeleteFunc(set, func(name string, _ endless.Script) bool { return strings.HasPrefix(name, "body") })
			}
			requireEnds(t, set, func(ctx context.Context, url string) error {
				c := kvhttp.New(url, kvhttp.WithTimeout(testTimeout), kvhttp.WithMaxResponse(maxTestResponse))
				defer c.Close()
				return call(ctx, c)
			})
		})
	}
}

// Guards against a watch whose messages never end: it must end, or the process
// would use up its memory.
func TestWatchWithoutEnd(t *testing.T) {
	const confirmed = `{"result":{"created":true}}` + "\n"
	open := func(ctx context.Context, url string) (<-chan []infra.Event, error) {
		return kvhttp.New(url, kvhttp.WithTimeout(testTimeout), kvhttp.WithMaxResponse(maxTestResponse)).Watch(ctx, "k", 1)
	}
	scripts := endless.Heads()
	maps.Copy(scripts, endless.Bodies("200 OK", ""))
	t.Run("not confirmed", func(t *testing.T) {
		requireEnds(t, scripts, func(ctx context.Context, url string) error { _, err := open(ctx, url); return err })
	})
	for name, unit := range map[string]string{"message": "[", "string": `{"result":"` + endless.Garbage, "no JSON": endless.Garbage, "blanks": " "} {
		t.Run(name, func(t *testing.T) {
			server := endless.Start(t, endless.Script{Prefix: "HTTP/1.1 200 OK\r\n\r\n" + confirmed, Unit: unit})
			events, err := open(t.Context(), server.URL)
			require.NoError(t, err)
			select {
			case _, ok := <-events:
				require.False(t, ok)
			case <-time.After(timeMargin):
				require.Fail(t, "the watch has not ended")
			}
			server.RequireClosed(t)
		})
	}
}

// Guards against an instance list that never ends.
func TestInstanceListWithoutEnd(t *testing.T) {
	scripts := endless.Heads()
	maps.Copy(scripts, endless.Bodies("200 OK", `[{"name":"i","addr":"a"}]`))
	for name, script := range endless.Bodies("500 Failed", "") {
		scripts["500: "+name] = script
	}
	requireEnds(t, scripts, func(ctx context.Context, url string) error {
		rows, err := instancehttp.New(url, instancehttp.WithTimeout(testTimeout), instancehttp.WithMaxResponse(maxTestResponse)).Instances(ctx)
		require.Empty(t, rows)
		return err
	})
}

// Guards against weights that never end: the fetch must end by the deadline of
// its caller, and its head within the timeout.
func TestWeightsWithoutEnd(t *testing.T) {
	fetch := func(url string, timeout time.Duration) func(context.Context, string) error {
		return func(ctx context.Context, _ string) error {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			_, err := weighthttp.New(url, weighthttp.WithHeaderTimeout(testTimeout)).Fetch(ctx, "o")
			require.Equal(t, errkind.StoreUnavailable, errkind.KindOf(err), "%v", err)
			return err
		}
	}
	t.Run("heads", func(t *testing.T) {
		requireEnds(t, endless.Heads(), func(ctx context.Context, url string) error { return fetch(url, time.Hour)(ctx, url) })
	})
	t.Run("bodies", func(t *testing.T) {
		requireEnds(t, endless.Bodies("200 OK", ""), func(ctx context.Context, url string) error { return fetch(url, testTimeout)(ctx, url) })
	})
}
