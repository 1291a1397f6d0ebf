package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// defaultHeaderTimeout, idleTimeout and headerBytes hold until a configuration sets
	// limits.
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 90 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	// acceptRetryDelay is the pause after a connection could not be accepted, for
	// instance for want of descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// callerServer serves callers within limits that may change. An http.Server must
// not change while it serves, so each change begins another one, which gets the
// connections that are opened from then on.
type callerServer struct {
	handler http.Handler
	log     *slog.Logger

	mu      sync.Mutex
	limits  routing.Limits
	current *limitedServer
	// draining are the servers of former limits that may still have connections.
	draining []*limitedServer
}

// limitedServer serves the connections that are handed to it.
type limitedServer struct {
	http.Server
	listener  *handOffListener
	openConns atomic.Int64
}

func newCallerServer(h http.Handler, log *slog.Logger) *callerServer {
	s := &callerServer{handler: h, log: log}
	s.current = s.startServer(routing.Limits{})
	return s
}

// setLimits uses other limits for new connections.
func (s *callerServer) setLimits(l routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limits {
		return
	}
	former := s.current
	s.limits, s.current = l, s.startServer(l)
	_ = former.listener.Close()
	s.draining = slices.DeleteFunc(append(s.draining, former), func(v *limitedServer) bool { return v.openConns.Load() == 0 })
}

// startServer starts a server with the limits.
func (s *callerServer) startServer(l routing.Limits) *limitedServer {
	v := &limitedServer{listener: newHandOffListener()}
	v.Handler, v.ErrorLog = s.handler, slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)
	v.ReadHeaderTimeout, v.IdleTimeout, v.MaxHeaderBytes = defaultHeaderTimeout, defaultIdleTimeout, defaultMaxHeaderBytes
	if l.HeaderTimeout > 0 {
		v.ReadHeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		v.IdleTimeout = l.IdleTimeout
	}
	if l.MaxHeaderBytes > 0 {
		v.MaxHeaderBytes = l.MaxHeaderBytes
	}
	v.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			v.openConns.Add(-1)
		}
	}
	go func() {
		if err := v.Serve(v.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("server of callers ended", "error", err.Error())
		}
	}()
	return v
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.dispatch(conn)
	}
}

// dispatch gives a connection to the present server. The lock keeps that server from
// being replaced meanwhile, so that no connection is lost.
func (s *callerServer) dispatch(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.openConns.Add(1)
	if !s.current.listener.offer(conn) { // the process ends
		s.current.openConns.Add(-1)
		_ = conn.Close()
	}
}

// shutdown waits for the requests of all servers, or cuts them when ctx ends. The
// listener must be closed.
func (s *callerServer) shutdown(ctx context.Context) error {
	s.mu.Lock()
	servers := append(slices.Clone(s.draining), s.current)
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

// handOffListener is a listener whose connections were accepted elsewhere.
type handOffListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newHandOffListener() *handOffListener {
	return &handOffListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// offer hands over a connection, and reports whether the listener was still open.
func (h *handOffListener) offer(c net.Conn) bool {
	select {
	case h.conns <- c:
		return true
	case <-h.closed:
		return false
	}
}

// Accept implements net.Listener.
func (h *handOffListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handOffListener) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener. The connections have come through another one.
func (h *handOffListener) Addr() net.Addr { return &net.TCPAddr{} }
