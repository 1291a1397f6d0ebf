package main

import (
	"io"
	"net"
	"sync"
)

// proxy is the path to a runner. While it is cut, bytes and ends of connections are held
// up in both directions.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed *sync.Cond
	cut    bool
}

// newProxy returns a path to the target.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	p.healed = sync.NewCond(&p.mu)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
	p.healed.Broadcast()
}

// pass returns when the path is not cut.
func (p *proxy) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.healed.Wait()
	}
}

// serve carries one connection.
func (p *proxy) serve(front net.Conn) {
	p.pass()
	back, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = front.(*net.TCPConn).SetLinger(0) // refused, as far as a proxy can tell
		_ = front.Close()
		return
	}
	go p.copy(back, front)
	p.copy(front, back)
}

// copy carries the bytes of one direction, and its end: a reset as a reset, and an
// ordinary end as one.
func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.pass()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			_ = to.(*net.TCPConn).SetLinger(0)
		}
		_ = to.Close()
		return
	}
}
