package httpapi

import (
	"log/slog"
	"net/http"
	"time"
)

// Limits of every HTTP listener.
const (
	MaxHeaderBytes    = 16 << 10
	MaxBodyBytes      = 1 << 20
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
)

// NewServer returns a server with the limits of the listeners. There is no
// write timeout, since answers are streamed; writers set their own deadlines.
func NewServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           limitBody(h),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next.ServeHTTP(w, r)
	})
}
