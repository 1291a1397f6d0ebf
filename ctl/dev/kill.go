package dev

import (
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/config"
)

// trackingListener tracks the connections that it accepted, so that Kill can
// close them all and thereby simulate a crash.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newTrackingListener(ln net.Listener) *trackingListener {
	return &trackingListener{Listener: ln, conns: map[net.Conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return &trackedConn{Conn: c, listener: l}, nil
}

// closeAll closes the listener and every connection at once.
func (l *trackingListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

// trackedConn is a connection that removes itself from its listener when closed.
type trackedConn struct {
	net.Conn
	listener *trackingListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Kill simulates a crash of an entry or a target: it closes all connections at
// once, without a planned stop.
func (d *Deployment) Kill(name string) error {
	d.mu.Lock()
	p := d.processes[name]
	delete(d.processes, name)
	d.mu.Unlock()
	if p == nil {
		return errors.Errorf("no process is named %s", name)
	}
	for _, l := range p.listeners {
		l.closeAll()
	}
	p.cancel()
	return nil
}

// StartProcess starts an entry or a target of the inventory by name. It fails if
// it is running.
func (d *Deployment) StartProcess(name string) error {
	d.mu.Lock()
	running := d.processes[name] != nil
	d.mu.Unlock()
	if running {
		return errors.Errorf("%s is already running", name)
	}
	if t, ok := d.Config.Target(name); ok {
		return d.StartTarget(t)
	}
	e, err := d.entry(name)
	if err != nil {
		return err
	}
	return d.StartEntry(e)
}

func (d *Deployment) entry(name string) (config.Entry, error) {
	for _, e := range d.Config.Inventory.Entries {
		if e.Name == name {
			return e, nil
		}
	}
	return config.Entry{}, errors.Errorf("the inventory has no entry or target named %s", name)
}
