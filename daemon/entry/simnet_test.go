package entry

import (
	"io"
	"net"
	"sync"
	"time"
)

// wirePair is an in-memory connection. Bytes arrive after a delay and stay
// queued while the receiving process is paused. Writes never block, as with the
// buffers of a socket, so that testing/synctest can advance the time.
type wirePair struct {
	near, far *simConn
}

func newWirePair(delay func() time.Duration, gate *processGate) *wirePair {
	a, b := newPipe(delay, gate), newPipe(delay, gate)
	closed := make(chan struct{})
	var once sync.Once
	closeOnce := func() { once.Do(func() { close(closed) }) }
	return &wirePair{
		near: &simConn{in: a, out: b, closed: closed, closeOnce: closeOnce},
		far:  &simConn{in: b, out: a, closed: closed, closeOnce: closeOnce},
	}
}

func (p *wirePair) disconnect() { p.near.closeOnce() }

// processGate blocks the reads of a process while the process is paused.
type processGate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newProcessGate() *processGate {
	g := &processGate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *processGate) pause() { g.mu.Lock(); g.open = make(chan struct{}); g.mu.Unlock() }
func (g *processGate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

func (g *processGate) wait() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

type chunk struct {
	data []byte
	at   time.Time
}

// pipe is one direction of a connection. Bytes written at the same instant
// arrive together: yamux holds a lock while it waits for the rest of a frame,
// which would keep testing/synctest from advancing the time.
type pipe struct {
	delay func() time.Duration
	gate  *processGate

	mu          sync.Mutex
	chunks      []chunk
	lastWriteAt time.Time
	arrived     chan struct{}
}

func newPipe(delay func() time.Duration, g *processGate) *pipe {
	return &pipe{delay: delay, gate: g, arrived: make(chan struct{}, 1)}
}

func (p *pipe) write(data []byte) {
	delay := time.Millisecond + p.delay()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	at := now.Add(delay)
	if n := len(p.chunks); n > 0 && (now.Equal(p.lastWriteAt) || at.Before(p.chunks[n-1].at)) {
		at = p.chunks[n-1].at
	}
	p.chunks = append(p.chunks, chunk{append([]byte(nil), data...), at})
	p.lastWriteAt = now
	p.notifyReader()
}

// notifyReader makes the reader check for new bytes.
func (p *pipe) notifyReader() {
	select {
	case p.arrived <- struct{}{}:
	default:
	}
}

// readArrived returns the bytes that have arrived, or the time until the next
// ones arrive.
func (p *pipe) readArrived() (data []byte, wait time.Duration, empty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.chunks) > 0 && !p.chunks[0].at.After(time.Now()) {
		data = append(data, p.chunks[0].data...)
		p.chunks = p.chunks[1:]
	}
	if len(data) > 0 || len(p.chunks) == 0 {
		return data, 0, len(data) == 0
	}
	return nil, time.Until(p.chunks[0].at), false
}

type simConn struct {
	in, out   *pipe
	closed    chan struct{}
	closeOnce func()
	unread    []byte
}

func (c *simConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		select {
		case <-c.in.gate.wait():
		case <-c.closed:
			return 0, io.EOF
		}
		data, wait, empty := c.in.readArrived()
		c.unread = data
		if wait > 0 {
			time.AfterFunc(wait, c.in.notifyReader)
		}
		if wait > 0 || empty {
			select {
			case <-c.in.arrived:
			case <-c.closed:
				return 0, io.EOF
			}
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *simConn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, io.ErrClosedPipe
	default:
	}
	c.out.write(p)
	return len(p), nil
}

func (c *simConn) Close() error                     { c.closeOnce(); return nil }
func (c *simConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *simConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *simConn) SetDeadline(time.Time) error      { return nil }
func (c *simConn) SetReadDeadline(time.Time) error  { return nil }
func (c *simConn) SetWriteDeadline(time.Time) error { return nil }

// simListener accepts the far ends of pairs.
type simListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newSimListener() *simListener {
	return &simListener{conns: make(chan net.Conn, 16), done: make(chan struct{})}
}

func (l *simListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *simListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *simListener) Addr() net.Addr { return &net.TCPAddr{} }
