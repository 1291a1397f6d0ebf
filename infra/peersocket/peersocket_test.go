package peersocket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra/standin/tcppair"
)

// Guards against an end of a connection that is not found, such as one behind bytes
// that were not read, and against one that is found although nobody has left.
func TestInspect(t *testing.T) {
	for name, c := range map[string]struct {
		change func(t *testing.T, ours, theirs *net.TCPConn)
		want   State
	}{
		"idle":               {func(*testing.T, *net.TCPConn, *net.TCPConn) {}, State{}},
		"unread":             {func(t *testing.T, _, theirs *net.TCPConn) { write(t, theirs) }, State{Unread: true}},
		"closed":             {func(t *testing.T, _, theirs *net.TCPConn) { require.NoError(t, theirs.Close()) }, State{Closed: true}},
		"closed for writing": {func(t *testing.T, _, theirs *net.TCPConn) { require.NoError(t, theirs.CloseWrite()) }, State{Closed: true}},
		"closed here":        {func(t *testing.T, ours, _ *net.TCPConn) { require.NoError(t, ours.Close()) }, State{Closed: true}},
		"reset": {func(t *testing.T, _, theirs *net.TCPConn) {
			require.NoError(t, theirs.SetLinger(0))
			require.NoError(t, theirs.Close())
		}, State{Closed: true}},
		"closed behind unread bytes": {func(t *testing.T, _, theirs *net.TCPConn) {
			write(t, theirs)
			require.NoError(t, theirs.Close())
		}, State{Unread: true, Closed: true}},
	} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := tcppair.Connect(t)
			c.change(t, ours, theirs)
			require.Eventually(t, func() bool { return Inspect(ours) == c.want }, time.Second, time.Millisecond, "%+v", Inspect(ours))
		})
	}
	pipe, other := net.Pipe()
	require.NoError(t, other.Close())
	require.Equal(t, State{}, Inspect(pipe), "a pipe cannot be asked")
	require.Zero(t, SinceReceived(pipe))
}

func write(t *testing.T, c net.Conn) {
	_, err := io.WriteString(c, "x")
	require.NoError(t, err)
}

// Guards against a wait that counts only from the read.
func TestSinceReceivedCountsUnreadBytes(t *testing.T) {
	ours, theirs := tcppair.Connect(t)
	write(t, theirs)
	time.Sleep(300 * time.Millisecond)
	require.GreaterOrEqual(t, SinceReceived(ours), 250*time.Millisecond)
	write(t, theirs)
	require.Eventually(t, func() bool { return SinceReceived(ours) < 100*time.Millisecond }, time.Second, time.Millisecond)
}
