package standin

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// maxHistory limits the load reports that are kept to report a past load.
const maxHistory = 4096

// queuedGeneration is a generation that waits for a slot. granted is closed when it
// has one.
type queuedGeneration struct {
	priority int
	tokens   int
	granted  chan struct{}
}

// concurrency returns the current concurrency limit. The caller holds m.mu.
func (m *Model) concurrency() int {
	if time.Now().Before(m.warmingUntil) {
		return min(m.opts.WarmUpConcurrency, m.opts.Concurrency)
	}
	return m.opts.Concurrency
}

// acquireSlot acquires a slot. If all slots are in use, it waits in the queue until
// ctx ends.
func (m *Model) acquireSlot(ctx context.Context, g engine.Generation) error {
	m.mu.Lock()
	queued, err := m.enqueue(g)
	m.mu.Unlock()
	if err != nil || queued == nil {
		return err
	}
	select {
	case <-queued.granted:
		return nil
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(m.queue, queued); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
		m.recordLoad()
		return errkind.From(ctx.Err()).WithDidRun(errkind.NotRun)
	}
	// The slot was granted in the meantime. The stream will return the error of ctx.
	return nil
}

// enqueue adds a generation to the queue, or starts it and returns nil if a slot is
// free. The caller holds m.mu.
func (m *Model) enqueue(g engine.Generation) (*queuedGeneration, error) {
	now := time.Now()
	switch {
	case now.Before(m.failingUntil):
		return nil, errkind.New(errkind.BackendFailed, "engine failed after an overload")
	case m.running < m.concurrency() && len(m.queue) == 0:
		m.startGeneration()
		return nil, nil
	case now.Before(m.warmingUntil) && m.opts.OverloadFailureTime > 0:
		m.failingUntil = now.Add(m.opts.OverloadFailureTime)
		m.notifyStalled()
		return nil, errkind.New(errkind.BackendFailed, "engine failed after an overload")
	case now.Before(m.warmingUntil):
		return nil, errkind.New(errkind.Cold, "overwhelmed").WithRetryAfter(m.warmingUntil.Sub(now))
	case len(m.queue) >= m.opts.QueueLimit:
		return nil, errkind.New(errkind.Overloaded, "queue is full").WithRetryAfter(time.Second)
	}
	queued := &queuedGeneration{priority: g.Priority, tokens: max(0, g.MaxTokens-g.ResumeOffset), granted: make(chan struct{})}
	at := len(m.queue)
	for at > 0 && m.queue[at-1].priority < queued.priority {
		at--
	}
	m.queue = slices.Insert(m.queue, at, queued)
	m.recordLoad()
	return queued, nil
}

// startGeneration counts a generation that has a slot. The caller holds m.mu.
func (m *Model) startGeneration() {
	m.running++
	m.counts.Started++
	m.recordLoad()
}

// releaseSlot counts a generation that ended with err, frees its slot and grants
// free slots to queued generations.
func (m *Model) releaseSlot(err error) {
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
	for len(m.queue) > 0 && m.running < m.concurrency() {
		close(m.queue[0].granted)
		m.queue = m.queue[1:]
		m.startGeneration()
	}
	m.recordLoad()
}

// recordLoad adds the current load to the history. The caller holds m.mu.
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

// SetLoadLag sets the age of the load that load reports show.
func (m *Model) SetLoadLag(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadLag = d
}

// load returns the load as it was at now minus the load lag.
func (m *Model) load(ctx context.Context) (engine.Load, error) {
	if err := m.applyFaults(ctx); err != nil {
		return engine.Load{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	madeAt := time.Now().Add(-m.loadLag)
	for _, l := range slices.Backward(m.history) {
		if !l.MadeAt.After(madeAt) {
			l.MadeAt = madeAt
			return l, nil
		}
	}
	return engine.Load{MadeAt: madeAt}, nil
}
