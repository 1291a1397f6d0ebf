package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stop that closes a connection whose request has arrived and was
// not read yet: the caller would get a reset instead of a response.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	accepted, err := l.Accept()
	require.NoError(t, err)
	conn := &callerConn{Conn: accepted, openedAt: time.Now()}
	conns := &callerConns{open: map[*callerConn]struct{}{}}
	conns.add(conn)
	late := time.Now().Add(2 * newConnGrace)
	_, err = caller.Write([]byte("GET / HTTP/1.1\r\n"))
	require.NoError(t, err)
	require.Eventually(t, conn.hasUnreadData, time.Second, time.Millisecond)
	require.Equal(t, 1, conns.closeIdle(late))
	_, err = conn.Read(make([]byte, 100))
	require.NoError(t, err, "the connection was closed")
	require.False(t, conn.hasUnreadData())
	conn.busy.Store(false)
	require.Zero(t, conns.closeIdle(late))
}
