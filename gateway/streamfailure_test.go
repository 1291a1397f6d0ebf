package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an error response to a stream that is replaced by an error of
// the gateway because its connection was closed before the body was read.
func TestStreamReturnsErrorResponse(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 500 Failed\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\n", r.Header.Get("X-Id"))
		time.Sleep(30 * time.Millisecond)
		_, _ = w.Write([]byte("sorry"))
	})
	cfg := config()
	cfg.Routes[3].MaxAttempts = 1
	g := newDeployment(t, cfg, fake).start("g1")
	resp := g.request(t.Context(), http.MethodPost, "/chat/1", "")
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusInternalServerError, resp.status, resp.body)
	require.Equal(t, "sorry", resp.body)
	require.Equal(t, "s", resp.header.Get("X-Seal"))
}
