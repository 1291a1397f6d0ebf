// Package tcppair opens TCP connections whose both ends a test holds.
package tcppair

import (
	"net"
	"testing"
)

// Connect returns both ends of a connection, which is open until the test ends.
func Connect(t *testing.T) (ours, theirs *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}
