package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the opening of a connection. Targets are in the same
	// region, so a longer wait means that the target is gone.
	dialTimeout = 500 * time.Millisecond
	// inlineBody is the size in bytes up to which a request is written before
	// its answer is awaited. Longer ones are written meanwhile, since a target
	// may answer before it has read them.
	inlineBody = 8 << 10
	// maxStray bounds the answers to other requests that are skipped on one
	// connection.
	maxStray = 3
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
)

// ErrClosed says that the pool was closed because its target is gone.
var ErrClosed = errors.New("target is gone")

// Error is a request without an answer.
type Error struct {
	Err error
	// Sent says that bytes of the request may have reached the target, so that
	// it may have run.
	Sent bool
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("sent %t: %v", e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is what is sent to a target.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the caller sent a body, which may be empty.
	HasBody bool
	// Matches reports whether an answer belongs to this request.
	Matches func(status int, h http.Header) bool
}

// Response is an answer whose body has not been read yet. Close must be called.
type Response struct {
	*http.Response
	conn *conn
	pool *Pool
	// written gets the result of writing the request.
	written <-chan error
	stop    func() bool
	done    bool
}

// Pool holds the connections to one target.
type Pool struct {
	addr   string
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(addr string) *Pool { return &Pool{addr: addr} }

// Close closes the idle connections and keeps no more.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

func (p *Pool) take(ctx context.Context) (*conn, error) {
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

func (p *Pool) put(c *conn, keep time.Duration) {
	c.idleUntil = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	c.await()
	p.idle = append(p.idle, c)
}

// Sweep closes idle connections that may not be used any more.
func (p *Pool) Sweep(now time.Time) {
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

// Do sends the request once and returns the head of its answer. When ctx ends,
// the connection is closed, which makes the target stop its work. The error is
// an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, written, err := c.roundTrip(r) //nolint:bodyclose // Finish and Close end the connection
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &Error{Err: err, Sent: true}
	}
	return &Response{Response: resp, conn: c, pool: p, written: written, stop: stop}, nil
}

func (c *conn) roundTrip(r *Request) (*http.Response, <-chan error, error) {
	data := encode(r)
	written := make(chan error, 1)
	write := func() {
		_, err := (&net.Buffers{data, r.Body}).WriteTo(c.Conn)
		written <- err
	}
	if len(r.Body) <= inlineBody {
		write()
	} else {
		go write()
	}
	for range maxStray {
		if err := <-c.arrived; err != nil {
			return nil, nil, errors.Wrap(err, "wait for the answer")
		}
		resp, err := readResponse(c, r.Method)
		if err != nil {
			return nil, nil, err
		}
		if r.Matches == nil || r.Matches(resp.StatusCode, resp.Header) {
			return resp, written, nil
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxStrayBytes); !errors.Is(err, io.EOF) {
			return nil, nil, errors.New("an answer to another request is not complete")
		}
		if resp.Close {
			return nil, nil, errors.New("the connection ends with an answer to another request")
		}
		c.await()
	}
	return nil, nil, errors.New("too many answers to other requests")
}

func readResponse(c *conn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// encode writes the head of a request. Header fields that concern only one
// connection must have been removed.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Finish is called after the body was read to its end; the connection is kept
// if the target allows it. After Finish, Close does nothing.
func (r *Response) Finish() {
	if r.done {
		return
	}
	r.done = true
	if !r.stop() {
		return // ctx ended and has closed the connection
	}
	keep := keepFor(r.Response)
	if keep == 0 || len(r.written) == 0 || <-r.written != nil {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.conn, keep)
}

// Close ends the connection, which makes the target stop its work.
func (r *Response) Close() {
	if r.done {
		return
	}
	r.done = true
	r.stop()
	_ = r.conn.Close()
}
