// Package early is a stand-in for an HTTP server that responds before it has read the body
// of a request.
package early

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// Start starts a server that calls respond once it has read the head of a request, and
// closes the connection when respond returns. It serves until the test ends.
func Start(t *testing.T, respond func(c *net.TCPConn, r *http.Request)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn), respond)
		}
	}()
	return l
}

func serve(c *net.TCPConn, respond func(*net.TCPConn, *http.Request)) {
	defer func() { _ = c.Close() }()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		respond(c, r)
	}
}

// Reset ends a connection with a reset. What the other end has not read may be lost.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
