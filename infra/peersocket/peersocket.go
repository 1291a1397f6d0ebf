package peersocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what the kernel knows of a connection.
type State struct {
	// Unread is set if bytes have arrived that this process has not read yet.
	Unread bool
	// Closed is set if the other end has closed or reset the connection, or if this
	// process has closed it.
	Closed bool
}

// Inspect asks the kernel for the state of a connection. The state is zero if the
// connection is of a kind that cannot be asked.
func Inspect(conn net.Conn) (s State) {
	if !control(conn, func(fd int) { s = readState(fd) }) {
		s.Closed = isSocket(conn)
	}
	return s
}

func isSocket(conn net.Conn) bool {
	_, ok := conn.(syscall.Conn)
	return ok
}

// control calls f with the file descriptor of a connection. It reports false if the
// connection has none, or is closed.
func control(conn net.Conn, f func(fd int)) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

func readState(fd int) State {
	var first [1]byte
	n, _, err := syscall.Recvfrom(fd, first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return State{Unread: true, Closed: hasHungUp(fd)}
	case err == nil:
		return State{Closed: true}
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return State{}
	default:
		return State{Closed: true}
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

// maxSinceReceived is the longest time that is believed.
const maxSinceReceived = time.Minute

// SinceReceived returns how long ago the latest bytes of a connection arrived, also those
// that this process has not read yet. It returns 0 if the kernel does not tell.
func SinceReceived(conn net.Conn) time.Duration {
	since := time.Duration(0)
	control(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if since > maxSinceReceived {
		return 0
	}
	return since
}

// tcpClose is the state of a connection in the kernel that has been reset, has timed out or
// was closed by both ends.
const tcpClose = 7

// IsReset reports whether a connection that this process has not closed was reset or has
// timed out, rather than ended by the other end in order. known is false if the kernel does
// not tell.
func IsReset(conn net.Conn) (reset, known bool) {
	control(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State != 0 {
			reset, known = info.State == tcpClose, true
		}
	})
	return reset, known
}
