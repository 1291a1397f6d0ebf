package gateway

import (
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/wire"
)

const (
	// defaultHeaderTimeout, defaultIdleTimeout and defaultMaxHeaderBytes apply
	// until a configuration sets limits.
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 90 * time.Second
	defaultMaxHeaderBytes = 64 << 10
)

// callerServer serves callers within limits that may change. An http.Server
// must not be modified while it serves, so each change starts another one,
// which gets all connections that are opened from then on.
type callerServer struct {
	handler http.Handler
	log     *slog.Logger
	conns   callerConns

	mu      sync.Mutex
	limits  routing.Limits
	current *limitedServer
	// draining holds the servers of earlier limits that may still have
	// connections.
	draining []*limitedServer
}

// limitedServer serves the connections that are passed to its listener.
type limitedServer struct {
	http.Server
	listener  *handOffListener
	openConns atomic.Int64
}

func newCallerServer(h http.Handler, log *slog.Logger) *callerServer {
	s := &callerServer{handler: h, log: log, conns: callerConns{open: map[*callerConn]struct{}{}}}
	s.current = s.startServer(routing.Limits{})
	return s
}

// setLimits applies other limits to new connections.
func (s *callerServer) setLimits(l routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limits {
		return
	}
	previous := s.current
	s.limits, s.current = l, s.startServer(l)
	_ = previous.listener.Close()
	s.draining = slices.DeleteFunc(append(s.draining, previous), func(srv *limitedServer) bool { return srv.openConns.Load() == 0 })
}

// startServer starts a server with the limits.
func (s *callerServer) startServer(l routing.Limits) *limitedServer {
	srv := &limitedServer{listener: newHandOffListener()}
	srv.Handler, srv.ErrorLog = s.handler, slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)
	srv.ReadHeaderTimeout, srv.IdleTimeout, srv.MaxHeaderBytes = defaultHeaderTimeout, defaultIdleTimeout, defaultMaxHeaderBytes
	if l.HeaderTimeout > 0 {
		srv.ReadHeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		srv.IdleTimeout = l.IdleTimeout
	}
	if l.MaxHeaderBytes > 0 {
		srv.MaxHeaderBytes = l.MaxHeaderBytes
	}
	srv.ConnContext = withCallerConn
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		s.conns.recordState(conn, state)
		if state == http.StateClosed {
			srv.openConns.Add(-1)
		}
	}
	go func() {
		if err := srv.Serve(srv.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("server for callers failed", "error", err.Error())
		}
	}()
	return srv
}

// serve accepts connections until the listener is closed.
func (s *callerServer) serve(l net.Listener) error {
	for {
		conn, err := wire.Accept(l, s.log)
		if err != nil {
			return err
		}
		s.dispatch(conn)
	}
}

// dispatch passes a connection to the current server. The lock prevents the
// server from being replaced in the meantime, so that no connection is lost.
func (s *callerServer) dispatch(accepted net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := &callerConn{Conn: accepted, openedAt: time.Now()}
	s.conns.add(conn)
	s.current.openConns.Add(1)
	if !s.current.listener.offer(conn) { // the process exits
		s.conns.recordState(conn, http.StateClosed)
		s.current.openConns.Add(-1)
		_ = conn.Close()
	}
}

// close closes all connections of all servers.
func (s *callerServer) close() {
	s.mu.Lock()
	servers := append(slices.Clone(s.draining), s.current)
	s.mu.Unlock()
	for _, srv := range servers {
		_ = srv.Close()
	}
}

// handOffListener is a listener for connections that another listener has
// accepted.
type handOffListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newHandOffListener() *handOffListener {
	return &handOffListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// offer passes a connection to Accept. It reports false if the listener is
// closed.
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

// Addr implements net.Listener. It returns an empty address, because the
// connections arrive through another listener.
func (h *handOffListener) Addr() net.Addr { return &net.TCPAddr{} }
