package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// userTimeout ends a connection whose peer acknowledges nothing, such as a
	// target that has lost power.
	userTimeout = 3 * time.Second
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
	// defaultIdle is how long an idle connection is kept if the target does not
	// say, and idleMargin how much sooner than the target it is closed here.
	defaultIdle = 4 * time.Second
	idleMargin  = 500 * time.Millisecond
)

// conn is one connection. A reader waits for the next byte at all times, so
// that a connection that the target closes, or on which bytes arrive that
// nobody asked for, is noticed before the next request is sent on it.
type conn struct {
	net.Conn
	br        *bufio.Reader
	idleUntil time.Time
	arrived   chan error // the result of waiting for the first byte
}

func dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, Control: setUserTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	nc := &conn{Conn: c, br: bufio.NewReaderSize(c, readBuffer)}
	nc.await()
	return nc, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return failed
}

// await starts to wait for the next byte. It is called when no answer is due,
// or when the next one is.
func (c *conn) await() {
	c.arrived = make(chan error, 1)
	arrived := c.arrived
	go func() {
		_, err := c.br.Peek(1)
		arrived <- err
	}()
}

// usable reports whether a request may be sent on the idle connection.
func (c *conn) usable(now time.Time) bool {
	return len(c.arrived) == 0 && now.Before(c.idleUntil)
}

// keepFor returns how long the connection may stay idle after an answer; zero
// if it must be closed.
func keepFor(resp *http.Response) time.Duration {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}
