package tcpend

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra/peersocket"
)

// ErrReset reports that a connection was reset although its reader found an ordinary end.
// It is an ECONNRESET.
var ErrReset = errors.WithMessage(syscall.ECONNRESET, "the connection ended during a write")

// writeEndTimeout limits the wait for a write in progress, once the end of the connection
// was read and the kernel does not tell how it came. A write that gets the error of the
// connection ends at once.
const writeEndTimeout = 500 * time.Millisecond

// Conn is a connection whose reader learns of a reset.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// writing is closed at the end of the write in progress; nil if there is none.
	writing chan struct{}
	failed  bool // whether a write has failed
}

// Wrap returns a connection whose reader learns of a reset. Writes must not be concurrent.
func Wrap(c net.Conn) *Conn { return &Conn{Conn: c} }

// DialFunc opens a connection, as the DialContext of a dialer does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns a function that opens connections with another one and wraps them.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return Wrap(c), nil
	}
}

// Read implements net.Conn. At the end of a connection that was reset it returns ErrReset
// instead of io.EOF.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.wasReset() { //nolint:errorlint // as readers of a net.Conn find it
		return n, ErrReset
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	end := c.beginWrite()
	n, err := c.Conn.Write(p)
	end(err)
	return n, err
}

// WriteBuffers writes several buffers with one call of the kernel, if it can.
func (c *Conn) WriteBuffers(b net.Buffers) error {
	end := c.beginWrite()
	_, err := b.WriteTo(c.Conn)
	end(err)
	return err
}

func (c *Conn) beginWrite() (end func(error)) {
	done := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = done
	return func(err error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.failed = c.failed || err != nil
		c.writing = nil
		close(done)
	}
}

// wasReset reports whether the connection whose end was read has been reset.
func (c *Conn) wasReset() bool {
	if reset, known := peersocket.IsReset(c.Conn); known {
		return reset
	}
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		select {
		case <-writing:
		case <-time.After(writeEndTimeout):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// SetLinger sets what happens to unsent bytes when the connection is closed, as
// net.TCPConn does. It has no effect on other connections.
func (c *Conn) SetLinger(sec int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(sec)
	}
	return nil
}
