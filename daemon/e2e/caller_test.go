package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/caller"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/timeline"
)

// Guards against losing or duplicating a token in the client library when the
// entry that streams to it is killed, and against a client library whose requests
// the entries do not accept.
func TestClientResumesAfterEntryIsKilled(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	c := caller.New(caller.Options{Entries: []string{k.entryURL(0), k.entryURL(1)}, Key: customerKey})
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	const tokens = 300
	got := 0
	finish, err := c.Complete(ctx, caller.CompleteRequest{Model: "pintor", Prompt: "p", MaxTokens: tokens}, func(tok caller.Token) error {
		assert.Equal(t, caller.Token{Offset: got, Text: enginestandin.TokenText("p", got)}, tok)
		if got++; got == 20 {
			k.kill(k.servingEntry())
		}
		return nil
	})
	require.NoError(t, err)
	assert.Equal(t, caller.Finish{Reason: "length", Tokens: tokens}, finish)
	assert.Equal(t, tokens, got)

	reply, err := c.Call(ctx, caller.CallRequest{Backend: "cabina-app", Operation: "slot-board", Body: []byte(`{"id":"a"}`), Idempotent: true})
	require.NoError(t, err)
	assert.JSONEq(t, `{"id":"a"}`, string(reply.Body))
	reply, err = c.Call(ctx, caller.CallRequest{Backend: "cabina-app", Operation: "book", Body: []byte(`{"id":"b"}`), Deadline: 5 * time.Second})
	require.NoError(t, err)
	assert.Equal(t, 200, reply.Status)
}

// events returns the recorded events of an entry.
func (k *cluster) events(entry int) []timeline.Event {
	res, err := k.request(http.MethodGet, k.entryURL(entry)+"/v1/timeline?scope=process", operatorToken, nil, nil)
	require.NoError(k.t, err)
	var batches []timeline.Batch
	require.NoError(k.t, json.Unmarshal(res.body, &batches), "%s", res.body)
	require.Len(k.t, batches, 1)
	return batches[0].Events
}

// servingEntry returns the name of the entry that has started an attempt,
// according to the recorded events of the entries.
func (k *cluster) servingEntry() string {
	for i, e := range k.config.Inventory.Entries {
		for _, ev := range k.events(i) {
			if ev.Kind == timeline.AttemptStarted && ev.Process == e.Name {
				return e.Name
			}
		}
	}
	k.t.Error("no entry has started an attempt")
	return ""
}
