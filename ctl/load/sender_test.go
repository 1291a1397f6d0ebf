package load

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startSender returns a sender to a server with the given handler.
func startSender(t *testing.T, h http.HandlerFunc) *sender {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	s := newSender([]string{srv.URL}, func(string) string { return "k" })
	s.start = time.Now()
	return s
}

// Guards against complete streams that count as interrupted because their flow
// does not set max_tokens. The sender asks for one token then.
func TestStreamOfFlowWithoutMaxTokens(t *testing.T) {
	for maxTokens, tokens := range map[int]int{0: 1, 1: 1, 3: 3} {
		s := startSender(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, strings.Repeat("event: token\ndata: {}\n\n", tokens), "event: done\ndata: {}\n\n")
		})
		o := s.send(t.Context(), arrival{flow: &Flow{Model: "m", MaxTokens: maxTokens}})
		require.Equal(t, resultComplete, o.result, "max_tokens %d: %s", maxTokens, o.errorKind)
	}
}

// Guards against retries of requests that fail whenever they are sent, which
// distort the load, and against missing retries of others.
func TestRetriesOfSender(t *testing.T) {
	const maxRetries = 2
	for status, sent := range map[int]int{
		http.StatusBadRequest: 1, http.StatusUnauthorized: 1, http.StatusNotFound: 1, http.StatusConflict: 1,
		http.StatusTooManyRequests: 1 + maxRetries, http.StatusBadGateway: 1 + maxRetries, http.StatusServiceUnavailable: 1 + maxRetries,
	} {
		for _, flow := range []Flow{{Model: "m"}, {Backend: "app", Operation: "book"}, {Backend: "app", Operation: "board", Idempotent: true}} {
			flow.MaxRetries = maxRetries
			var requests atomic.Int64
			s := startSender(t, func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				w.WriteHeader(status)
				_, _ = fmt.Fprint(w, `{"kind":"k","did_run":"not_run"}`)
			})
			s.send(t.Context(), arrival{flow: &flow})
			require.EqualValues(t, sent, requests.Load(), "status %d, %+v", status, flow)
		}
	}
}
