package standin

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// maxHistory bounds the load reports kept for the lag.
const maxHistory = 4096

// waiter is a queued generation. Ready is closed when it has its slot.
type waiter struct {
	priority int
	tokens   int
	ready    chan struct{}
}

// limit is the concurrency at this moment. The caller holds m.mu.
func (m *Model) limit() int {
	if time.Now().Before(m.coldUntil) {
		return min(m.opts.WarmUpConcurrency, m.opts.Concurrency)
	}
	return m.opts.Concurrency
}

// acquire takes a slot, waiting in the queue if all are taken.
func (m *Model) acquire(ctx context.Context, g engine.Generation) error {
	m.mu.Lock()
	w, err := m.enqueue(g)
	m.mu.Unlock()
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(m.queue, w); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
		m.recordLoad()
		return errkind.From(ctx.Err()).WithDidRun(errkind.NotRun)
	}
	// The slot was granted meanwhile; the stream sees that ctx ended.
	return nil
}

// enqueue returns nil if a slot was free. The caller holds m.mu.
func (m *Model) enqueue(g engine.Generation) (*waiter, error) {
	now := time.Now()
	switch {
	case now.Before(m.failedUntil):
		return nil, errkind.New(errkind.BackendFailed, "engine fell over")
	case m.running < m.limit() && len(m.queue) == 0:
		m.start()
		return nil, nil
	case now.Before(m.coldUntil) && m.opts.OverloadFailureTime > 0:
		m.failedUntil = now.Add(m.opts.OverloadFailureTime)
		m.wakeStalled()
		return nil, errkind.New(errkind.BackendFailed, "engine fell over")
	case now.Before(m.coldUntil):
		return nil, errkind.New(errkind.Cold, "overwhelmed").WithRetryAfter(m.coldUntil.Sub(now))
	case len(m.queue) >= m.opts.QueueLimit:
		return nil, errkind.New(errkind.Overloaded, "queue is full").WithRetryAfter(time.Second)
	}
	w := &waiter{priority: g.Priority, tokens: max(0, g.MaxTokens-g.ResumeOffset), ready: make(chan struct{})}
	at := len(m.queue)
	for at > 0 && m.queue[at-1].priority < w.priority {
		at--
	}
	m.queue = slices.Insert(m.queue, at, w)
	m.recordLoad()
	return w, nil
}

func (m *Model) start() {
	m.running++
	m.counts.Started++
	m.recordLoad()
}

// release frees a slot and grants free slots to the queue.
func (m *Model) release(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var e emitError
	switch {
	case err == nil:
		m.counts.Completed++
	case errors.As(err, &e), errkind.KindOf(err) == errkind.Canceled, errkind.KindOf(err) == errkind.DeadlineExceeded:
		m.counts.Cancelled++
	default:
		m.counts.Failed++
	}
	m.running--
	for len(m.queue) > 0 && m.running < m.limit() {
		close(m.queue[0].ready)
		m.queue = m.queue[1:]
		m.start()
	}
	m.recordLoad()
}

// recordLoad keeps the load at this moment. The caller holds m.mu.
func (m *Model) recordLoad() {
	l := engine.Load{Running: m.running, Queued: len(m.queue), MadeAt: time.Now()}
	for _, w := range m.queue {
		l.QueuedTokens += w.tokens
	}
	if len(m.history) >= maxHistory {
		m.history = slices.Delete(m.history, 0, maxHistory/2)
	}
	m.history = append(m.history, l)
}

// SetLoadLag sets how old a load report is.
func (m *Model) SetLoadLag(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadLag = d
}

// load returns the newest load that is as old as the lag.
func (m *Model) load(ctx context.Context) (engine.Load, error) {
	if err := m.enter(ctx); err != nil {
		return engine.Load{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	made := time.Now().Add(-m.loadLag)
	for _, l := range slices.Backward(m.history) {
		if !l.MadeAt.After(made) {
			l.MadeAt = made
			return l, nil
		}
	}
	return engine.Load{MadeAt: made}, nil
}
