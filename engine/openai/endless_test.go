package openai_test

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/openai"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/standin/endless"
)

const (
	// callTimeout is the deadline of the caller.
	callTimeout = 500 * time.Millisecond
	// timeMargin is what a call may take beyond it on a loaded machine.
	timeMargin = 5 * time.Second
	// maxHead and maxReport are the limits of the client in bytes.
	maxHead   = 64 << 10
	maxReport = 4 << 20
)

// Guards against an engine whose response never ends: a call must fail by its
// deadline, without using up the memory, and never count as not run.
func TestResponseWithoutEnd(t *testing.T) {
	calls := map[string]func(context.Context, *openai.Client) error{
		"load":         func(ctx context.Context, c *openai.Client) error { _, err := c.Load(ctx); return err },
		"cache events": func(ctx context.Context, c *openai.Client) error { _, err := c.CacheEvents(ctx, 1); return err },
		"order":        func(ctx context.Context, c *openai.Client) error { return c.Order(ctx, engine.Order{}) },
		"import":       func(ctx context.Context, c *openai.Client) error { return c.ImportCache(ctx, "r", nil) },
		"generate": func(ctx context.Context, c *openai.Client) error {
			_, _, err := generate(ctx, c, engine.Generation{MaxTokens: 5})
			return err
		},
	}
	scripts := endless.Heads()
	maps.Copy(scripts, endless.Bodies("200 OK", "{}"))
	for status, set := range map[string]map[string]endless.Script{"500: ": endless.Bodies("500 Failed", `{"error":`), "503: ": endless.Bodies("503 Full", "")} {
		for name, script := range set {
			scripts[status+name] = script
		}
	}
	for name, script := range scripts {
		limit := int64(maxReport)
		if _, ok := endless.Heads()[name]; ok {
			limit = maxHead
		}
		for callName, call := range calls {
			t.Run(callName+"/"+name, func(t *testing.T) {
				if script.Slow {
					t.Parallel()
				}
				server := endless.Start(t, script)
				c := openai.New(server.URL)
				defer c.Close()
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				start := time.Now()
				var err error
				endless.RequireLimited(t, script, limit, func() { err = call(ctx, c) })
				require.Error(t, err)
				require.Less(t, time.Since(start), callTimeout+timeMargin)
				if errkind.KindOf(err) != errkind.Overloaded { // the engine's own refusal
					require.NotEqual(t, errkind.NotRun, errkind.From(err).DidRun, "%v", err)
				}
				server.RequireClosed(t)
			})
		}
	}
}

// Guards against a stream without end that is buffered completely, or whose
// tokens are passed on beyond the limit of the request.
func TestStreamWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	const token = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	for name, script := range map[string]endless.Script{
		"line":           {Prefix: head + token + "data: ", Unit: endless.Garbage},
		"line, slowly":   {Prefix: head + token + "data: ", Unit: "G", Slow: true},
		"event":          {Prefix: head + token, Unit: "data: " + endless.Garbage + "\n"},
		"event, slowly":  {Prefix: head + token, Unit: "data: " + endless.Garbage + "\n", Slow: true},
		"comments":       {Prefix: head + token, Unit: ": wait\n\n"},
		"comment lines":  {Prefix: head + token, Unit: ": wait\n"},
		"empty events":   {Prefix: head + token, Unit: "data:\n\n"},
		"no JSON":        {Prefix: head + token, Unit: "data: " + endless.Garbage + "\n\n"},
		"no event":       {Prefix: head + token, Unit: endless.Garbage + "\n\n"},
		"no choice":      {Prefix: head + token, Unit: "data: {}\n\n"},
		"tokens":         {Prefix: head, Unit: token},
		"tokens, slowly": {Prefix: head, Unit: token, Slow: true},
		"after the end":  {Prefix: head + "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", Unit: endless.Garbage},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := endless.Start(t, script)
			c := openai.New(server.URL)
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			start := time.Now()
			tokens, _, err := generate(ctx, c, engine.Generation{MaxTokens: 5})
			require.Less(t, time.Since(start), callTimeout+timeMargin)
			require.LessOrEqual(t, len(tokens), 5)
			require.Equal(t, name == "after the end", err == nil, "%v", err)
			server.RequireClosed(t)
		})
	}
}

// Guards against a refusal whose body does not end, which held the call until its
// deadline.
func TestRefusalWithoutEnd(t *testing.T) {
	for name, script := range endless.Bodies("503 Full", "") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := endless.Start(t, script)
			c := openai.New(server.URL)
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), timeMargin)
			defer cancel()
			_, err := c.Load(ctx)
			require.NoError(t, ctx.Err())
			require.Equal(t, errkind.Overloaded, errkind.KindOf(err), "%v", err)
			require.Equal(t, errkind.NotRun, errkind.From(err).DidRun)
			server.RequireClosed(t)
		})
	}
}
