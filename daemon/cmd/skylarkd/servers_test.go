package main

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an address lookup that is cut when the process exits.
func TestClosedServersFinishRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	arrived := make(chan struct{})
	closeAll, err := serveAll(slog.New(slog.DiscardHandler), map[string]http.Handler{
		addr: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(arrived)
			time.Sleep(serverCloseTimeout / 4)
			_, _ = io.WriteString(w, "addresses")
		}),
	})
	require.NoError(t, err)
	go func() {
		<-arrived
		closeAll()
	}()
	resp, err := http.Get("http://" + addr)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "addresses", string(body))
}
