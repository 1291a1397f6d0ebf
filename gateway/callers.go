package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// headerTimeout, idleTimeout and headerBytes hold until a configuration sets
	// limits.
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
	headerBytes   = 64 << 10
	// acceptRetry is the pause after a connection could not be accepted, for
	// instance for want of descriptors.
	acceptRetry = 20 * time.Millisecond
)

// callerServer serves callers within limits that may change. An http.Server must
// not change while it serves, so each change begins another one, which gets the
// connections that are opened from then on.
type callerServer struct {
	handler http.Handler
	log     *slog.Logger

	mu      sync.Mutex
	limits  routing.Limits
	current *handOff
	servers []*http.Server
}

func newCallerServer(h http.Handler, log *slog.Logger) *callerServer {
	s := &callerServer{handler: h, log: log}
	s.begin(routing.Limits{})
	return s
}

// apply uses other limits for new connections.
func (s *callerServer) apply(l routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l != s.limits {
		s.begin(l)
	}
}

// begin starts a server with the limits. The caller holds the lock, or nobody else
// has the value.
func (s *callerServer) begin(l routing.Limits) {
	srv := &http.Server{
		Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	if l.HeaderTimeout > 0 {
		srv.ReadHeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		srv.IdleTimeout = l.IdleTimeout
	}
	if l.HeaderBytes > 0 {
		srv.MaxHeaderBytes = l.HeaderBytes
	}
	s.limits, s.current = l, newHandOff()
	s.servers = append(s.servers, srv)
	go func(from *handOff) {
		if err := srv.Serve(from); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("server of callers ended", "error", err.Error())
		}
	}(s.current)
}

// serve accepts connections until the listener is closed.
func (s *callerServer) serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return errors.WithStack(err)
		}
		if err != nil {
			s.log.Warn("connection not accepted", "error", err.Error())
			time.Sleep(acceptRetry)
			continue
		}
		s.mu.Lock()
		to := s.current
		s.mu.Unlock()
		to.give(conn)
	}
}

// shutdown waits for the requests of all servers, or cuts them when ctx ends. The
// listener must be closed.
func (s *callerServer) shutdown(ctx context.Context) error {
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	ended := make(chan error, len(servers))
	for _, srv := range servers {
		go func() { ended <- srv.Shutdown(ctx) }()
	}
	var first error
	for range servers {
		if err := <-ended; err != nil && first == nil {
			first = errors.WithStack(err)
		}
	}
	return first
}

// handOff is a listener whose connections were accepted elsewhere.
type handOff struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newHandOff() *handOff {
	return &handOff{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (h *handOff) give(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.closed:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (h *handOff) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handOff) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener. The connections have come through another one.
func (h *handOff) Addr() net.Addr { return &net.TCPAddr{} }
