package standin

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// Defaults of ModelOptions.
const (
	defaultConcurrency  = 8
	defaultQueueLimit   = 64
	defaultCacheEntries = 32
	defaultAnswerTokens = 256
	defaultWarmUp       = 10 * time.Second
)

// ModelOptions sets the behaviour of a Model. Zero fields take defaults.
type ModelOptions struct {
	TokenInterval   time.Duration
	FirstTokenDelay time.Duration
	// CachedFirstTokenDelay replaces FirstToken when the prefix cache has the prompt.
	// Zero means no difference.
	CachedFirstTokenDelay time.Duration
	// ResponseTokens is the length of an answer that MaxTokens doesn't cut.
	ResponseTokens int
	Concurrency    int
	QueueLimit     int
	CacheEntries   int
	// CacheEventLag delays the cache events.
	CacheEventLag time.Duration
	LoadLag       time.Duration
	// WarmingUp starts the engine cold. It is warm after WarmUp.
	WarmingUp         bool
	WarmUpConcurrency int
	WarmUp            time.Duration
	// OverloadFailureTime is how long a cold engine fails every request after it got more
	// than ColdConcurrency at once. With zero it answers 503 instead.
	OverloadFailureTime time.Duration
	// CheckFencing refuses orders with a fencing number lower than one seen.
	CheckFencing bool
}

func (o *ModelOptions) setDefaults() {
	for _, d := range []struct {
		field *int
		value int
	}{
		{&o.ResponseTokens, defaultAnswerTokens}, {&o.Concurrency, defaultConcurrency},
		{&o.QueueLimit, defaultQueueLimit}, {&o.CacheEntries, defaultCacheEntries}, {&o.WarmUpConcurrency, 1},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if o.CachedFirstTokenDelay == 0 {
		o.CachedFirstTokenDelay = o.FirstTokenDelay
	}
	if o.WarmUp == 0 {
		o.WarmUp = defaultWarmUp
	}
}

// ModelFaults are the faults of a Model. The zero value has none.
type ModelFaults struct {
	Latency time.Duration
	// StallAfter is the number of tokens after which a stream stops, zero for
	// never. With StallFor zero it stops until the request is cancelled or the
	// faults are replaced.
	StallAfter int
	StallFor   time.Duration
	// BreakAfter is the number of tokens after which a stream breaks, zero for
	// never. With BreakCleanly the HTTP body ends without an error.
	BreakAfter   int
	BreakCleanly bool
	// Refuse answers every request with a refusal.
	Refuse bool
	// Unreachable is seen only through Direct; over HTTP, a test closes the
	// listener.
	Unreachable bool
}

// ModelCounts counts generations that got a slot.
type ModelCounts struct {
	Started, Completed, Cancelled, Failed int
}

// Model is a model engine with deterministic answers.
type Model struct {
	opts ModelOptions
	mux  *http.ServeMux

	mu          sync.Mutex
	faults      ModelFaults
	changed     chan struct{} // closed when a stalled stream must look again
	counts      ModelCounts
	running     int
	queue       []*waiter
	coldUntil   time.Time
	failedUntil time.Time
	loadLag     time.Duration
	history     []engine.Load
	cache       prefixCache
	orders      []engine.Order
	fencing     uint64
}

// NewModel returns an engine.
func NewModel(opts ModelOptions) *Model {
	opts.setDefaults()
	m := &Model{
		opts: opts, loadLag: opts.LoadLag, changed: make(chan struct{}),
		cache: newPrefixCache(opts.CacheEntries, opts.CacheEventLag),
	}
	if opts.WarmingUp {
		m.RestartWarmUp()
	}
	m.recordLoad()
	m.mux = m.routes()
	return m
}

// SetFaults replaces the faults, also for streams in progress.
func (m *Model) SetFaults(f ModelFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.wakeStalled()
}

// wakeStalled lets stalled streams look again. The caller holds m.mu.
func (m *Model) wakeStalled() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// RestartWarmUp makes the engine cold. Generations in progress go on.
func (m *Model) RestartWarmUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldUntil = time.Now().Add(m.opts.WarmUp)
}

// Counts returns the counters.
func (m *Model) Counts() ModelCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// TokenText returns the token at an offset of the answer to a prompt.
func TokenText(prompt string, offset int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d %s", offset, prompt)
	return fmt.Sprintf(" %06x", h.Sum32()&0xffffff)
}

// enter applies the faults that every operation has.
func (m *Model) enter(ctx context.Context) error {
	m.mu.Lock()
	f := m.faults
	m.mu.Unlock()
	if err := sleep(ctx, f.Latency); err != nil {
		return err
	}
	if f.Refuse {
		return errkind.New(errkind.Overloaded, "engine refuses requests").WithRetryAfter(time.Second)
	}
	return nil
}

func (m *Model) generate(ctx context.Context, g engine.Generation, emit func(engine.Token) error) (engine.Finish, error) {
	if err := m.enter(ctx); err != nil {
		return engine.Finish{}, err
	}
	if err := m.acquire(ctx, g); err != nil {
		return engine.Finish{}, err
	}
	finish, err := m.stream(ctx, g, emit)
	m.release(err)
	return finish, err
}

func (m *Model) stream(ctx context.Context, g engine.Generation, emit func(engine.Token) error) (engine.Finish, error) {
	end, reason := m.opts.ResponseTokens, "stop"
	if g.MaxTokens > 0 && g.MaxTokens < end {
		end, reason = g.MaxTokens, "length"
	}
	wait := m.opts.FirstTokenDelay
	if m.cacheHit(g) {
		wait = m.opts.CachedFirstTokenDelay
	}
	for offset := g.ResumeOffset; offset < end; offset++ {
		if err := sleep(ctx, wait); err != nil {
			return engine.Finish{}, err
		}
		if err := m.checkStream(ctx, offset-g.ResumeOffset); err != nil {
			return engine.Finish{}, err
		}
		if err := emit(engine.Token{Offset: offset, Text: TokenText(g.Prompt, offset)}); err != nil {
			return engine.Finish{}, emitError{err}
		}
		wait = m.opts.TokenInterval
	}
	return engine.Finish{Reason: reason, Tokens: max(end, g.ResumeOffset)}, nil
}

// checkStream applies the faults of a stream that has sent n tokens.
func (m *Model) checkStream(ctx context.Context, n int) error {
	for {
		m.mu.Lock()
		f, failed, changed := m.faults, time.Now().Before(m.failedUntil), m.changed
		m.mu.Unlock()
		switch {
		case failed:
			return errkind.New(errkind.BackendFailed, "engine fell over")
		case f.BreakAfter > 0 && n >= f.BreakAfter:
			return errkind.New(errkind.BackendFailed, "stream broke after %d tokens", n)
		case f.StallAfter == 0 || n != f.StallAfter:
			return nil
		case f.StallFor > 0:
			return sleep(ctx, f.StallFor)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errkind.From(ctx.Err())
		}
	}
}

// emitError marks an error of the caller's emit function.
type emitError struct{ error }

func (e emitError) Unwrap() error { return e.error }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if ctx.Err() != nil {
		return errkind.From(ctx.Err())
	}
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errkind.From(ctx.Err())
	}
}
