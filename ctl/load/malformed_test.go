package load

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra/standin/malformed"
)

// Guards against a malformed response that a load counts as complete.
func TestMalformedResponse(t *testing.T) {
	flow := &Flow{Backend: "app", Operation: "book", DeadlineMs: 2000}
	for name, response := range malformed.All("200 OK", "Content-Type: application/json\r\n", "{}") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSender([]string{malformed.Start(t, response).URL}, func(string) string { return "key" })
			s.start = time.Now()
			require.Equal(t, resultUnknown, s.send(t.Context(), arrival{flow: flow}).result)
		})
	}
}

// Guards against a redirect that a load counts as a complete response, or follows.
func TestRedirectIsNotComplete(t *testing.T) {
	var requests atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer other.Close()
	entry := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusFound))
	defer entry.Close()
	s := newSender([]string{entry.URL}, func(string) string { return "key" })
	s.start = time.Now()
	require.Equal(t, resultUnknown, s.send(t.Context(), arrival{flow: &Flow{Backend: "app", Operation: "book", DeadlineMs: 2000}}).result)
	require.Zero(t, requests.Load())
}
