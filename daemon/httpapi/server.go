package httpapi

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra/peersocket"
)

// Limits of every HTTP listener.
const (
	MaxHeaderBytes    = 16 << 10
	MaxBodyBytes      = 1 << 20
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	// bodyTimeout limits reading the complete body: 1 MB at 35 KB/s.
	bodyTimeout = 30 * time.Second
)

// NewServer returns a server with the limits of every HTTP listener. It has no
// write timeout, since responses are streamed; writers set their own deadlines.
func NewServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           limitRequestBody(h),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext:       WithConn,
	}
}

type connKey struct{}

// WithConn adds the connection of a caller to the context of its requests.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CallerLeft reports whether the caller of a request has left: the server has found out,
// or the kernel knows already.
func CallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && peersocket.Inspect(conn).Closed
}

func limitRequestBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			r.Body = &deadlineBody{ReadCloser: http.MaxBytesReader(w, r.Body, MaxBodyBytes), controller: http.NewResponseController(w)}
		}
		next.ServeHTTP(w, r)
	})
}

// deadlineBody sets a read deadline at the first read of a request body, which
// fails the request if its sender is too slow. The server itself clears the
// deadline at the end of the body.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
	started    bool
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		_ = b.controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	return b.ReadCloser.Read(p)
}

// sizeTrackingBody records in the request state that the body exceeded the limit.
type sizeTrackingBody struct {
	io.ReadCloser
	state *RequestState
}

// Read implements io.Reader.
func (b *sizeTrackingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var tooLarge *http.MaxBytesError
	if err != nil && errors.As(err, &tooLarge) {
		b.state.bodyTooLarge.Store(true)
	}
	return n, err
}
