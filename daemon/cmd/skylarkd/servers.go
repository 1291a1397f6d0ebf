package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// serverCloseTimeout limits the wait for requests in progress when the servers for
// readiness, addresses and metrics are closed.
const serverCloseTimeout = 200 * time.Millisecond

// serveAll starts an HTTP server per address and returns a function that closes
// all of them once they have responded to the requests in progress. Handlers with an empty address are not served.
func serveAll(log *slog.Logger, handlers map[string]http.Handler) (closeAll func(), err error) {
	var servers []*http.Server
	closeAll = func() {
		ctx, cancel := context.WithTimeout(context.Background(), serverCloseTimeout)
		defer cancel()
		for _, s := range servers {
			_ = s.Shutdown(ctx)
			_ = s.Close()
		}
	}
	for addr, h := range handlers {
		if addr == "" {
			continue
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			closeAll()
			return nil, errors.Wrapf(err, "listen on %s", addr)
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
		servers = append(servers, s)
		go func() {
			if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				log.Error("listener failed", "addr", addr, "error", err.Error())
			}
		}()
	}
	return closeAll, nil
}
