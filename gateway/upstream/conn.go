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

	"github.com/skylarkstep/skylarkstep/infra/tcpend"
)

const (
	// userTimeout closes a connection whose peer acknowledges no data, such as
	// a target that has lost power.
	userTimeout = 3 * time.Second
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the target
	// sends no timeout, and idleMargin how long before the timeout of the
	// target it is closed here.
	defaultIdleTimeout = 4 * time.Second
	idleMargin         = 500 * time.Millisecond
)

// conn is one connection. A goroutine waits for the first byte of the next
// response, also while the connection is idle. A connection that the target
// closes, or that delivers unrequested bytes, is therefore detected before the
// next request is sent on it.
type conn struct {
	*tcpend.Conn
	reader    *bufio.Reader
	idleUntil time.Time
	// headRemaining is how many bytes may still be read before the head of the
	// response is complete. It applies while readingHead is set.
	headRemaining int
	readingHead   bool
	// headLines looks at the bytes of the head that is being read.
	headLines headLines
	// reused is set once a request has got its response on the connection.
	reused    bool
	firstByte chan error // receives nil or an error once a byte arrives or reading fails
}

func dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, Control: setUserTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	nc := newConn(c)
	nc.idleUntil = time.Now().Add(defaultIdleTimeout)
	return nc, nil
}

func newConn(c net.Conn) *conn {
	nc := &conn{Conn: tcpend.Wrap(c)}
	nc.reader = bufio.NewReaderSize(headReader{nc}, readBufferSize)
	nc.awaitFirstByte()
	return nc
}

// abort closes a connection on which a request is in progress. It resets the connection:
// after an ordinary close, what has not arrived yet would still be delivered, and the
// request would run for nobody once the target reads again or the path to it is back.
func (c *conn) abort() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return optErr
}

// awaitFirstByte starts waiting for the next byte. It is called when the
// connection becomes idle, and before another response is read.
func (c *conn) awaitFirstByte() {
	c.readingHead, c.headRemaining = true, maxHeadBytes
	c.firstByte = make(chan error, 1)
	firstByte := c.firstByte
	go func() {
		_, err := c.reader.Peek(1)
		firstByte <- err
	}()
}

// usable reports whether a request may be sent on the idle connection.
func (c *conn) usable(now time.Time) bool {
	return len(c.firstByte) == 0 && now.Before(c.idleUntil)
}

// keepAliveTime returns how long the connection may stay idle after a response;
// zero if it must be closed.
func keepAliveTime(resp *http.Response) time.Duration {
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
	return defaultIdleTimeout
}
