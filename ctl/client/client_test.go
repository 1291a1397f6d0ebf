package client

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
	"github.com/skylarkstep/skylarkstep/infra/standin/endless"
)

// Guards against an entry whose response never ends: a command must end with an
// error, without using up the memory.
func TestResponseWithoutEnd(t *testing.T) {
	const (
		timeout    = 500 * time.Millisecond
		timeMargin = 5 * time.Second // on a loaded machine
	)
	scripts := endless.Heads()
	for _, name := range []string{"body, slowly", "chunks, slowly", "chunk size", "chunk extension", "trailers", "trailers, slowly"} {
		scripts[name] = endless.Bodies("200 OK", "{}")[name]
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			if script.Slow {
				t.Parallel()
			}
			server := endless.Start(t, script)
			c := New([]string{server.URL}, "token")
			c.HTTP.Timeout = timeout
			start := time.Now()
			var err error
			endless.RequireLimited(t, script, httpclient.MaxHeadBytes, func() {
				err = c.DoAny(t.Context(), Request{Method: http.MethodPut, Path: "/v1/config"}, &struct{}{})
			})
			require.Equal(t, errkind.TargetUnreachable, errkind.KindOf(err), "%v", err)
			require.Less(t, time.Since(start), timeout+timeMargin)
			server.RequireClosed(t)
		})
	}
}

// Guards against a long response that is cut off and then reported as malformed or
// taken for complete, and against an error text that floods the terminal.
func TestLongResponse(t *testing.T) {
	long := bytes.Repeat([]byte(" "), maxResponseBytes)
	for body, want := range map[string]string{"{}": "exceeds 67108864 bytes", "\x1b[2J": "exceeds"} {
		for _, status := range []int{http.StatusOK, http.StatusBadGateway} {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte(body))
				_, _ = w.Write(long)
			}))
			err := New([]string{srv.URL}, "token").DoAny(t.Context(), Request{Method: http.MethodGet, Path: "/"}, &struct{}{})
			srv.Close()
			require.ErrorContains(t, err, want)
		}
	}
	err := decodeError(http.StatusBadGateway, bytes.Repeat([]byte("\x1b[2J"), 1000))
	require.Less(t, len(err.Error()), 1<<10)
	require.NotContains(t, err.Error(), "\x1b")
}
