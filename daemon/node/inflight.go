package node

import "sync"

// Inflight counts work in progress and can refuse new work. Begin and Close
// exclude each other, so that a planned stop can't miss work that starts at the
// same moment.
type Inflight struct {
	mu     sync.Mutex
	count  int
	closed bool
	idle   chan struct{}
}

// Begin counts one unit of work as in progress. It returns false after Close.
func (f *Inflight) Begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.count++
	return true
}

// End records that a unit of work has finished.
func (f *Inflight) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.closeIfIdle()
}

// Close refuses new work. The returned channel is closed when no work is in
// progress.
func (f *Inflight) Close() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	if f.idle == nil {
		f.idle = make(chan struct{})
		f.closeIfIdle()
	}
	return f.idle
}

// Closed reports whether new work is refused.
func (f *Inflight) Closed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// Count returns the number of units of work in progress.
func (f *Inflight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

func (f *Inflight) closeIfIdle() {
	if f.idle == nil || f.count > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}
