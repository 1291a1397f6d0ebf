package httpapi

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Limits of every HTTP listener.
const (
	MaxHeaderBytes    = 16 << 10
	MaxBodyBytes      = 1 << 20
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	// bodyTimeout bounds reading the whole body: 1 MB at 35 KB/s.
	bodyTimeout = 30 * time.Second
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
		if r.Body != http.NoBody {
			r.Body = &timedBody{ReadCloser: http.MaxBytesReader(w, r.Body, MaxBodyBytes), control: http.NewResponseController(w)}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody ends a body whose sender is too slow. The server itself clears the
// deadline at the end of the body.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
	started bool
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		_ = b.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	return b.ReadCloser.Read(p)
}

// limitedBody notes that the body passed the limit.
type limitedBody struct {
	io.ReadCloser
	state *RequestState
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var tooLarge *http.MaxBytesError
	if err != nil && errors.As(err, &tooLarge) {
		b.state.bodyTooLarge.Store(true)
	}
	return n, err
}
