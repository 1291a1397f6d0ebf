package caller

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
	"github.com/skylarkstep/skylarkstep/infra/standin/endless"
)

const (
	// callTimeout is the deadline of a request.
	callTimeout = 500 * time.Millisecond
	// timeMargin is what a request may take beyond it on a loaded machine.
	timeMargin = 5 * time.Second
)

// newEndlessClient returns a client whose only entry follows the script. It knows
// the address, so that its first request is the one under test.
func newEndlessClient(t *testing.T, script endless.Script) (*Client, *endless.Server) {
	server := endless.Start(t, script)
	c := New(Options{Entries: []string{server.URL}})
	t.Cleanup(c.Close)
	c.addresses.store([]string{server.URL}, time.Hour)
	c.operations.notBefore.Store(time.Now().Add(time.Hour).UnixNano())
	return c, server
}

// Guards against an entry whose response never ends: a request must fail by its
// deadline, without using up the memory, and a call that may run once must be
// sent once and never count as not run.
func TestResponseWithoutEnd(t *testing.T) {
	scripts := endless.Heads()
	maps.Copy(scripts, endless.Bodies("200 OK", "{}"))
	for name, script := range endless.Bodies("503 Full", `{"kind":`) {
		scripts["503: "+name] = script
	}
	calls := map[string]func(context.Context, *Client) error{
		"call": func(ctx context.Context, c *Client) error {
			_, err := c.Call(ctx, CallRequest{Backend: "b", Operation: "o", Deadline: callTimeout})
			return err
		},
		"complete": func(ctx context.Context, c *Client) error {
			_, err := c.Complete(ctx, CompleteRequest{Model: "m", Deadline: callTimeout}, func(Token) error { return nil })
			return err
		},
	}
	for name, script := range scripts {
		limit := int64(maxResponseBytes)
		if _, ok := endless.Heads()[name]; ok {
			limit = httpclient.MaxHeadBytes
		}
		for callName, call := range calls {
			t.Run(callName+"/"+name, func(t *testing.T) {
				if script.Slow {
					t.Parallel()
				}
				c, server := newEndlessClient(t, script)
				start := time.Now()
				var err error
				// A generation is tried in several rounds, and each round requests the
				// addresses.
				endless.RequireLimited(t, script, 2*maxRounds*max(limit, 1<<20), func() { err = call(t.Context(), c) })
				require.Error(t, err)
				require.Less(t, time.Since(start), callTimeout+timeMargin)
				server.RequireClosed(t)
				if callName == "call" {
					require.NotEqual(t, errkind.NotRun, didRun(err), "%v", err)
					require.EqualValues(t, 1, server.Requests())
				}
			})
		}
	}
}

// Guards against an address list that never ends: the client must go on with the
// addresses that it knows.
func TestAddressesWithoutEnd(t *testing.T) {
	scripts := endless.Heads()
	maps.Copy(scripts, endless.Bodies("200 OK", `{"addresses":[{"url":"http://127.0.0.1:1"}],"ttl_ms":1000}`))
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			if script.Slow {
				t.Parallel()
			}
			server := endless.Start(t, script)
			c := New(Options{Entries: []string{server.URL}})
			defer c.Close()
			start := time.Now()
			endless.RequireLimited(t, script, maxAddressResponseBytes, func() {
				require.Equal(t, []string{server.URL}, c.rankedAddresses(t.Context()))
			})
			require.Less(t, time.Since(start), addressTimeout+timeMargin)
			server.RequireClosed(t)
		})
	}
}

// Guards against a stream without end that is buffered completely, or whose
// tokens are passed on beyond the limit of the request.
func TestStreamWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, script := range map[string]endless.Script{
		"line":          {Prefix: head + tokens(0, 1) + "data: ", Unit: endless.Garbage},
		"line, slowly":  {Prefix: head + tokens(0, 1) + "data: ", Unit: "G", Slow: true},
		"event":         {Prefix: head + tokens(0, 1), Unit: "data: " + endless.Garbage + "\n"},
		"comments":      {Prefix: head + tokens(0, 1), Unit: ": wait\n\n", Slow: true},
		"comment lines": {Prefix: head + tokens(0, 1), Unit: ": wait\n"},
		"no JSON":       {Prefix: head + tokens(0, 1), Unit: "data: " + endless.Garbage + "\n\n"},
		"no event":      {Prefix: head + tokens(0, 1), Unit: endless.Garbage + "\n\n"},
		"old tokens":    {Prefix: head + tokens(0, 1), Unit: tokens(0, 1)},
		"tokens":        {Prefix: head + tokens(0, 50000), Unit: " "},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, server := newEndlessClient(t, script)
			received := 0
			start := time.Now()
			_, err := c.Complete(t.Context(), CompleteRequest{Model: "m", MaxTokens: 5, Deadline: callTimeout}, func(Token) error { received++; return nil })
			require.Error(t, err)
			require.Less(t, time.Since(start), callTimeout+timeMargin)
			require.LessOrEqual(t, received, 5)
			server.RequireClosed(t)
		})
	}
}

// Guards against a response over the limit that is cut off there and returned as
// complete.
func TestCallWithLongResponse(t *testing.T) {
	for _, size := range []int{maxResponseBytes, maxResponseBytes + 1} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		}))
		c := New(Options{})
		c.addresses.store([]string{srv.URL}, time.Hour)
		response, err := c.Call(t.Context(), CallRequest{Backend: "b", Operation: "o", Idempotent: true})
		c.Close()
		srv.Close()
		if size <= maxResponseBytes {
			require.NoError(t, err)
			require.Len(t, response.Body, size)
			continue
		}
		var interrupted *InterruptedError
		require.True(t, errors.As(err, &interrupted), "%v", err)
		require.Equal(t, errkind.Unknown, interrupted.DidRun)
	}
}
