package rankgroup

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/expertmap"
	"github.com/skylarkstep/skylarkstep/infra/standin/endless"
)

// Guards against an engine whose response never ends: a message must fail by its
// deadline, without using up the memory, and never count as not delivered.
func TestResponseWithoutEnd(t *testing.T) {
	const (
		callTimeout = 500 * time.Millisecond
		timeMargin  = 5 * time.Second // on a loaded machine
		maxHead     = 64 << 10
	)
	scripts := endless.Heads()
	maps.Copy(scripts, endless.Bodies("200 OK", "{}"))
	for name, script := range endless.Bodies("500 Failed", "") {
		scripts["500: "+name] = script
	}
	for name, script := range scripts {
		limit := int64(maxResponseBytes)
		if _, ok := endless.Heads()[name]; ok {
			limit = maxHead
		}
		t.Run(name, func(t *testing.T) {
			if script.Slow {
				t.Parallel()
			}
			server := endless.Start(t, script)
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			start := time.Now()
			var err error
			endless.RequireLimited(t, script, limit, func() { _, err = New(server.URL).Switch(ctx, expertmap.Message{}) })
			require.Error(t, err)
			require.Less(t, time.Since(start), callTimeout+timeMargin)
			require.Equal(t, errkind.Unknown, errkind.From(err).DidRun, "%v", err)
			server.RequireClosed(t)
			require.EqualValues(t, 1, server.Requests())
		})
	}
}

// Guards against a long response that is reported as malformed JSON, and against
// an error response whose body floods the log.
func TestLongResponse(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for status, want := range map[int]string{http.StatusOK: "exceeds 65536 bytes", http.StatusInternalServerError: "status 500"} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, long)
		}))
		_, err := New(srv.URL).Progress(t.Context())
		srv.Close()
		require.Equal(t, errkind.BackendFailed, errkind.KindOf(err))
		require.ErrorContains(t, err, want)
		require.Less(t, len(err.Error()), 1<<10)
	}
}

// Guards against a message of the switch protocol that is sent a second time, to
// another process, because the engine responded with a redirect.
func TestRedirectIsNotFollowed(t *testing.T) {
	var requests atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = io.WriteString(w, "{}")
	}))
	defer other.Close()
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		srv := httptest.NewServer(http.RedirectHandler(other.URL, status))
		_, err := New(srv.URL).Switch(t.Context(), expertmap.Message{})
		require.Equal(t, errkind.BackendFailed, errkind.KindOf(err), "%v", err)
		_, err = New(srv.URL).Progress(t.Context())
		require.Error(t, err)
		srv.Close()
	}
	require.Zero(t, requests.Load())
}
