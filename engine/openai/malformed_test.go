package openai_test

import (
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
	calls := map[string]func(*testing.T, *openai.Client) error{
		"load":         func(t *testing.T, c *openai.Client) error { _, err := c.Load(t.Context()); return err },
		"cache events": func(t *testing.T, c *openai.Client) error { _, err := c.CacheEvents(t.Context(), 1); return err },
		"order":        func(t *testing.T, c *openai.Client) error { return c.Order(t.Context(), engine.Order{}) },
		"generate": func(t *testing.T, c *openai.Client) error {
			tokens, _, err := generate(t.Context(), c, engine.Generation{MaxTokens: 5})
			require.Empty(t, tokens)
			return err
		},
	}
	for callName, call := range calls {
		body := "{}"
		if callName == "generate" {
			body = stream
		}
		for name, response := range malformed.All("200 OK", "Content-Type: text/event-stream\r\n", body) {
			t.Run(callName+"/"+name, func(t *testing.T) {
				t.Parallel()
				c := openai.New(malformed.Start(t, response).URL)
				defer c.Close()
				err := call(t, c)
				require.Equal(t, errkind.BackendFailed, errkind.KindOf(err), "%v", err)
				require.Equal(t, errkind.Unknown, errkind.From(err).DidRun, "%v", err)
			})
		}
	}
}
