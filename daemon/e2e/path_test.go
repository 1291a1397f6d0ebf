package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a mismatch anywhere on the path of a request, from the caller
// through an entry and a target process to the engine and back, with entries and
// target processes run separately.
func TestRequestIsServedEndToEnd(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	for i := range k.config.Inventory.Entries {
		res, err := k.request(http.MethodPost, k.entryURL(i)+"/v1/completions", customerKey, nil,
			[]byte(`{"model":"pintor","prompt":"which booth is free?","max_tokens":12}`))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, res.status, "%s", res.body)
		assert.Equal(t, "text/event-stream", res.header.Get("Content-Type"))
		assert.Equal(t, 12, bytes.Count(res.body, []byte(`"offset":`)))
		assert.Contains(t, string(res.body), "event: done")

		res, err = k.request(http.MethodPost, k.entryURL(i)+"/v1/services/cabina-app/slot-board", customerKey, nil, []byte(`{"id":"a"}`))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, res.status, "%s", res.body)
	}
}

// Guards against an error response without its kind, request id or did_run field.
func TestErrorAnswersAreComplete(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	for _, tc := range []struct {
		name, path, key, contentType, body, kind string
		status                                   int
	}{
		{"unknown key", "/v1/completions", "nobody", "application/json", `{"model":"pintor","prompt":"x"}`, "unauthenticated", 401},
		{"unknown model", "/v1/completions", customerKey, "application/json", `{"model":"none","prompt":"x"}`, "unknown_model", 404},
		{"unknown back end", "/v1/services/none/x", customerKey, "application/json", `{}`, "unknown_back_end", 404},
		{"bad body", "/v1/completions", customerKey, "application/json", `{"model":`, "invalid_request", 400},
		{"missing field", "/v1/completions", customerKey, "application/json", `{"model":"pintor"}`, "invalid_request", 400},
		{"wrong content type", "/v1/completions", customerKey, "text/csv", `a,b`, "unsupported_media_type", 415},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := http.Header{"Content-Type": {tc.contentType}, "X-Request-Id": {"req-7"}}
			res, err := k.request(http.MethodPost, k.entryURL(0)+tc.path, tc.key, h, []byte(tc.body))
			require.NoError(t, err)
			assert.Equal(t, tc.status, res.status)
			var response struct {
				Kind      string
				RequestID string `json:"request_id"`
				DidRun    string `json:"did_run"`
			}
			require.NoError(t, json.Unmarshal(res.body, &response), "%s", res.body)
			assert.Equal(t, tc.kind, response.Kind)
			assert.Equal(t, "req-7", response.RequestID)
			assert.Equal(t, "not_run", response.DidRun)
		})
	}
}

// Guards against truncated, duplicate or missing tokens when the target process
// that serves a stream is killed. The stream must resume on another target after
// the last token that the caller has received.
func TestStreamResumesAfterTargetProcessIsKilled(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	body := []byte(`{"model":"pintor","prompt":"summarise the cure times","max_tokens":200}`)
	want, err := k.request(http.MethodPost, k.entryURL(0)+"/v1/completions", customerKey, nil, body)
	require.NoError(t, err)
	require.Equal(t, 200, bytes.Count(want.body, []byte(`"offset":`)))

	done := make(chan *httpResponse, 1)
	go func() {
		res, err := k.request(http.MethodPost, k.entryURL(0)+"/v1/completions", customerKey, nil, body)
		assert.NoError(t, err)
		done <- res
	}()
	require.Eventually(t, func() bool { return k.servingModel() != "" }, waitTimeout, time.Millisecond)
	k.kill(k.servingModel())
	assert.Equal(t, string(want.body), string((<-done).body))
}

// servingModel returns the target whose engine has a generation in progress.
func (k *cluster) servingModel() string {
	for name, m := range k.models {
		if c := m.Counts(); c.Started > c.Completed+c.Cancelled+c.Failed {
			return name
		}
	}
	return ""
}
