package openai_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/openai"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/standin/malformed"
)

// Guards against a malformed response of an engine whose body is passed on, or that
// counts as a refusal.
func TestMalformedResponse(t *testing.T) {
	const stream = "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
	calls := map[string]func(context.Context, *openai.Client) error{
		"load":         func(ctx context.Context, c *openai.Client) error { _, err := c.Load(ctx); return err },
		"cache events": func(ctx context.Context, c *openai.Client) error { _, err := c.CacheEvents(ctx, 1); return err },
		"order":        func(ctx context.Context, c *openai.Client) error { return c.Order(ctx, engine.Order{}) },
		"generate": func(ctx context.Context, c *openai.Client) error {
			tokens, _, err := generate(ctx, c, engine.Generation{MaxTokens: 5})
			require.Empty(t, tokens)
			return err
		},
	}
	for callName, call := range calls {
		body := "{}"
		if callName == "generate" {
			body = stream
		}
		for name, response := range malformed.Statuses("Content-Type: text/event-stream\r\n", body) {
			t.Run(callName+"/"+name, func(t *testing.T) {
				t.Parallel()
				c := openai.New(malformed.Start(t, response).URL)
				defer c.Close()
				err := call(t.Context(), c)
				require.Equal(t, errkind.BackendFailed, errkind.KindOf(err), "%v", err)
				require.Equal(t, errkind.Unknown, errkind.From(err).DidRun, "%v", err)
			})
		}
	}
}
