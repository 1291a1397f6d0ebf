package gateway

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// socketState is what the kernel knows of the connection of a caller. The server
// learns of it later, after a wait for processor time.
type socketState struct {
	// unread is set if bytes have arrived that the server has not read yet.
	unread bool
	// closed is set if the caller has closed or reset the connection.
	closed bool
}

// socketState asks the kernel for the state of the connection. It is zero if the
// connection is of a kind that cannot be asked.
func (c *callerConn) socketState() (s socketState) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return s
	}
	raw, err := conn.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { s = readSocketState(int(fd)) })
	}
	if err != nil {
		s.closed = true // this process has closed the connection
	}
	return s
}

func readSocketState(fd int) socketState {
	var first [1]byte
	n, _, err := syscall.Recvfrom(fd, first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return socketState{unread: true, closed: hasHungUp(fd)}
	case err == nil:
		return socketState{closed: true}
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return socketState{}
	default:
		return socketState{closed: true}
	}
}

// hasHungUp reports whether the end of a connection has arrived behind bytes that
// have not been read.
func hasHungUp(fd int) bool {
	const hungUp = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&hungUp != 0
}

// maxUnreadTime is the longest wait that is believed; no caller waits that long.
const maxUnreadTime = time.Minute

// waitedUnread returns how long ago the latest bytes of the caller arrived. For a
// request whose handler starts, this is how long it has waited to be read, at least.
// It returns 0 if the kernel does not tell.
func (c *callerConn) waitedUnread() time.Duration {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	waited := time.Duration(0)
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			waited = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if waited > maxUnreadTime {
		return 0
	}
	return waited
}

type callerConnKey struct{}

// withCallerConn adds the connection to the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConnOf returns the connection of a request, or nil if it did not arrive
// through a callerServer.
func callerConnOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return conn
}
