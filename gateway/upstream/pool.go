package upstream

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// dialTimeout limits the opening of a connection. Targets are in the same
// region, so a longer wait means that the target is unreachable.
const dialTimeout = 500 * time.Millisecond

// ErrClosed reports that the pool was closed because its target was removed.
var ErrClosed = errors.New("the target was removed")

// ErrNotWanted reports that a request was not sent because nobody waits for its
// response any more.
var ErrNotWanted = errors.New("nobody waits for the response any more")

// Error reports that a request has no response.
type Error struct {
	Err error
	// Sent is set if bytes of the request may have reached the target, so that
	// the request may have run.
	Sent bool
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("sent %t: %v", e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is a request to a target.
type Request struct {
	Method string
	// Target is the request target (path and query) exactly as the caller sent
	// it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the caller sent a body, which may be empty.
	HasBody bool
	// Attribute tells whether a response belongs to this request. reused is set if an
	// earlier request was sent on the same connection. If Attribute is nil, every
	// response belongs to this request.
	Attribute func(status int, h http.Header, reused bool) Attribution
	// IsWanted is asked just before the request is written, which may be long after the
	// call if a connection had to be opened. If it reports false, the request is not
	// sent. If it is nil, the request is always sent.
	IsWanted func() bool
}

// Attribution tells to which request a response belongs.
type Attribution uint8

const (
	// Own means that the response belongs to the request that was sent last.
	Own Attribution = iota
	// Foreign means that it belongs to another request.
	Foreign
	// Unknown means that it may belong to this request or to an earlier one.
	Unknown
)

// Response is a response whose body has not been read yet. The user must call
// Finish or Close.
type Response struct {
	*http.Response
	conn *conn
	pool *Pool
	// written receives the result of writing the request.
	written     <-chan error
	cancelClose func() bool
	released    bool
}

// Pool holds the idle connections to one target.
type Pool struct {
	addr   string
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool without connections for the address.
func NewPool(addr string) *Pool { return &Pool{addr: addr} }

// Close closes the idle connections. Connections in use are closed when they
// become idle.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable(now) {
			p.mu.Unlock()
			return c, nil
		}
		_ = c.Close()
	}
	p.mu.Unlock()
	return dial(ctx, p.addr, dialTimeout)
}

// HasIdle reports whether there is an idle connection.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// Check opens a connection, which is kept for later requests. The error tells
// whether the target refuses connections.
func (p *Pool) Check(ctx context.Context) error {
	c, err := dial(ctx, p.addr, dialTimeout)
	if err != nil {
		return err
	}
	p.keep(c, defaultIdleTimeout)
	return nil
}

// release keeps a connection whose response was read to its end, unless the target
// has sent more than that.
func (p *Pool) release(c *conn, keep time.Duration) {
	if c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.reused = true
	_ = c.SetReadDeadline(time.Time{})
	c.awaitFirstByte()
	p.keep(c, keep)
}

// keep adds an idle connection, which already waits for its next byte.
func (p *Pool) keep(c *conn, keep time.Duration) {
	c.idleUntil = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// CloseExpired closes idle connections that may not be used any more.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.usable(now) {
			kept = append(kept, c)
		} else {
			_ = c.Close()
		}
	}
	p.idle = kept
}

// Do sends the request once and returns its response, of which only the headers
// have been read. When ctx ends, the connection is closed, which makes the
// target cancel its work. The error is an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if ctx.Err() != nil || r.IsWanted != nil && !r.IsWanted() {
		p.keep(c, time.Until(c.idleUntil))
		return nil, &Error{Err: ErrNotWanted}
	}
	cancelClose := context.AfterFunc(ctx, c.abort)
	resp, written, err := c.roundTrip(r) //nolint:bodyclose // Finish and Close end the connection
	if err != nil {
		cancelClose()
		c.abort()
		return nil, &Error{Err: err, Sent: true}
	}
	return &Response{Response: resp, conn: c, pool: p, written: written, cancelClose: cancelClose}, nil
}

// LimitReading makes reading the body fail once d has passed.
func (r *Response) LimitReading(d time.Duration) {
	_ = r.conn.SetReadDeadline(time.Now().Add(d))
}

// Finish must be called after the body was read to its end. It keeps the
// connection for further requests if the target allows this. After Finish,
// Close does nothing.
func (r *Response) Finish() {
	if r.released {
		return
	}
	r.released = true
	if !r.cancelClose() {
		return // ctx has ended, so the connection is already closed
	}
	keep := keepAliveTime(r.Response)
	if keep == 0 || len(r.written) == 0 || <-r.written != nil {
		_ = r.conn.Close()
		return
	}
	r.pool.release(r.conn, keep)
}

// Close closes the connection, which makes the target cancel its work.
func (r *Response) Close() {
	if r.released {
		return
	}
	r.released = true
	r.cancelClose()
	r.conn.abort()
}
