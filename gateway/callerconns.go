package gateway

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// newConnGrace is how long after its opening a connection counts as busy before
// its caller has sent anything.
const newConnGrace = 500 * time.Millisecond

// callerConn is a connection of a caller. It records whether a request is on the
// way: net/http counts a connection as idle until it has read the whole header,
// and closing it would lose the request.
type callerConn struct {
	net.Conn
	openedAt time.Time
	// used is set once the caller has sent something, and busy from the first
	// byte of a request to the end of its response.
	used, busy atomic.Bool
	request    atomic.Pointer[exchange] // in progress, or nil
}

// watchReadSize is the size in bytes of the read by which net/http waits for the end
// of a connection while a request is in progress. All other reads are larger.
const watchReadSize = 1

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.used.Store(true)
		c.busy.Store(true)
		if len(p) == watchReadSize {
			go c.awaitEnd()
		}
	}
	return n, err
}

// CloseWrite closes the writing side. Without it, net/http would reset the
// connection of a caller that is still uploading, and the caller would lose the
// response.
func (c *callerConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// mayCarryRequest reports whether the caller may be sending a request or
// receiving a response.
func (c *callerConn) mayCarryRequest(now time.Time) bool {
	if !c.used.Load() {
		return now.Sub(c.openedAt) < newConnGrace
	}
	return c.busy.Load()
}

// hasUnreadData reports whether bytes of the caller have arrived that the server has
// not read yet, because this process got too little processor time.
func (c *callerConn) hasUnreadData() bool {
	return c.socketState().Unread
}

// callerConns holds the open connections of callers.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func (s *callerConns) add(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
}

// recordState updates a connection when its state at the server changes.
func (s *callerConns) recordState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.busy.Store(true)
	case http.StateIdle:
		c.busy.Store(false)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}
}

// busyCount returns how many connections may carry a request.
func (s *callerConns) busyCount(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.open {
		if c.mayCarryRequest(now) {
			n++
		}
	}
	return n
}

// closeIdle closes the connections that carry no request and returns how many
// remain.
func (s *callerConns) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.open {
		if c.mayCarryRequest(now) || c.hasUnreadData() {
			n++
			continue
		}
		_ = c.Close()
	}
	return n
}
