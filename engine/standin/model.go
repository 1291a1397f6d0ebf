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
	defaultConcurrency    = 8
	defaultQueueLimit     = 64
	defaultCacheEntries   = 32
	defaultResponseTokens = 256
	defaultWarmUp         = 10 * time.Second
)

// ModelOptions configures a Model. Zero fields that have a default are set to it.
type ModelOptions struct {
	TokenInterval   time.Duration
	FirstTokenDelay time.Duration
	// CachedFirstTokenDelay replaces FirstTokenDelay if the prompt's prefix is
	// cached. Zero means no difference.
	CachedFirstTokenDelay time.Duration
	// ResponseTokens is the length of a response that MaxTokens does not limit.
	ResponseTokens int
	Concurrency    int
	QueueLimit     int
	CacheEntries   int
	// CacheEventLag delays the cache events.
	CacheEventLag time.Duration
	// LoadLag is the age of the load that load reports show.
	LoadLag time.Duration
	// WarmingUp makes the engine start with a warm-up, which takes the time WarmUp.
	WarmingUp         bool
	WarmUpConcurrency int
	WarmUp            time.Duration
	// OverloadFailureTime is the time in which a warming engine fails every request
	// after it received more than WarmUpConcurrency at once. If it is zero, the
	// engine responds with 503 to the excess requests instead.
	OverloadFailureTime time.Duration
	// CheckFencing makes the engine refuse orders with a fencing number lower than
	// one already seen.
	CheckFencing bool
}

func (o *ModelOptions) setDefaults() {
	for _, d := range []struct {
		field *int
		value int
	}{
		{&o.ResponseTokens, defaultResponseTokens}, {&o.Concurrency, defaultConcurrency},
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

// ModelFaults are the injected faults of a Model. The zero value has none.
type ModelFaults struct {
	Latency time.Duration
	// StallAfter is the number of tokens after which a stream stalls for StallFor.
	// Zero means never. If StallFor is zero, the stream stalls until the request is
	// cancelled or the faults are replaced.
	StallAfter int
	StallFor   time.Duration
	// BreakAfter is the number of tokens after which a stream is interrupted. Zero
	// means never. With BreakCleanly, the HTTP body ends without an error.
	BreakAfter   int
	BreakCleanly bool
	// Refuse makes the engine refuse every request.
	Refuse bool
	// Unreachable takes effect only through Direct. Over HTTP, a test closes the
	// listener instead.
	Unreachable bool
}

// ModelCounts counts the generations that got a slot: all of them in Started, and
// those that ended by their outcome.
type ModelCounts struct {
	Started, Completed, Cancelled, Failed int
}

// Model is a model engine with deterministic responses.
type Model struct {
	opts ModelOptions
	mux  *http.ServeMux

	mu           sync.Mutex
	faults       ModelFaults
	stalledCheck chan struct{} // closed when stalled streams must check their faults again
	counts       ModelCounts
	running      int
	queue        []*queuedGeneration
	warmingUntil time.Time
	failingUntil time.Time
	loadLag      time.Duration
	history      []engine.Load
	cache        prefixCache
	orders       []engine.Order
	fencing      uint64
}

// NewModel returns a model engine with the given options.
func NewModel(opts ModelOptions) *Model {
	opts.setDefaults()
	m := &Model{
		opts: opts, loadLag: opts.LoadLag, stalledCheck: make(chan struct{}),
		cache: newPrefixCache(opts.CacheEntries, opts.CacheEventLag),
	}
	if opts.WarmingUp {
		m.RestartWarmUp()
	}
	m.recordLoad()
	m.mux = m.routes()
	return m
}

// SetFaults replaces the faults, also those of streams in progress.
func (m *Model) SetFaults(f ModelFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.notifyStalled()
}

// notifyStalled makes stalled streams check their faults again. The caller holds
// m.mu.
func (m *Model) notifyStalled() {
	close(m.stalledCheck)
	m.stalledCheck = make(chan struct{})
}

// RestartWarmUp starts the engine's warm-up again. Generations in progress continue.
func (m *Model) RestartWarmUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.warmingUntil = time.Now().Add(m.opts.WarmUp)
}

// Counts returns the counters.
func (m *Model) Counts() ModelCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// TokenText returns the token at an offset of the response to a prompt.
func TokenText(prompt string, offset int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d %s", offset, prompt)
	return fmt.Sprintf(" %06x", h.Sum32()&0xffffff)
}

// applyFaults applies the faults that all operations have.
func (m *Model) applyFaults(ctx context.Context) error {
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

// generate waits for a slot and streams the response.
func (m *Model) generate(ctx context.Context, g engine.Generation, emit func(engine.Token) error) (engine.Finish, error) {
	if err := m.applyFaults(ctx); err != nil {
		return engine.Finish{}, err
	}
	if err := m.acquireSlot(ctx, g); err != nil {
		return engine.Finish{}, err
	}
	finish, err := m.stream(ctx, g, emit)
	m.releaseSlot(err)
	return finish, err
}

// stream emits the tokens of a response.
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
		if err := m.applyStreamFaults(ctx, offset-g.ResumeOffset); err != nil {
			return engine.Finish{}, err
		}
		if err := emit(engine.Token{Offset: offset, Text: TokenText(g.Prompt, offset)}); err != nil {
			return engine.Finish{}, emitError{err}
		}
		wait = m.opts.TokenInterval
	}
	return engine.Finish{Reason: reason, Tokens: max(end, g.ResumeOffset)}, nil
}

// applyStreamFaults applies the faults of a stream that has sent n tokens.
func (m *Model) applyStreamFaults(ctx context.Context, n int) error {
	for {
		m.mu.Lock()
		f, failed, changed := m.faults, time.Now().Before(m.failingUntil), m.stalledCheck
		m.mu.Unlock()
		switch {
		case failed:
			return errkind.New(errkind.BackendFailed, "engine failed after an overload")
		case f.BreakAfter > 0 && n >= f.BreakAfter:
			return errkind.New(errkind.BackendFailed, "stream interrupted after %d tokens", n)
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

// sleep waits for d. It returns an error if ctx ends before.
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
