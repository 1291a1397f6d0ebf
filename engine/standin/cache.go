package standin

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
)

const (
	// prefixBytes is the length of the prompt prefixes in the cache.
	prefixBytes = 64
	maxEvents   = 1024
)

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// storedCache is the KV cache of one request.
type storedCache struct {
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
}

// prefixCache holds the most recently used prompt prefixes and the KV caches of
// requests. It is guarded by Model.mu.
type prefixCache struct {
	size         int
	eventLag     time.Duration
	prefixes     []string // least recently used first
	stored       []storedCache
	events       []timedEvent
	sequence     uint64
	eventsToSkip int
}

func newPrefixCache(size int, lag time.Duration) prefixCache {
	return prefixCache{size: size, eventLag: lag}
}

// touch makes the prompt's prefix the most recently used one and reports whether it
// was already cached.
func (c *prefixCache) touch(prompt string) bool {
	prefix := prompt[:min(len(prompt), prefixBytes)]
	i := slices.Index(c.prefixes, prefix)
	if i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
	} else {
		c.addEvent(prefix, false)
	}
	c.prefixes = append(c.prefixes, prefix)
	if len(c.prefixes) > c.size {
		c.addEvent(c.prefixes[0], true)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	return i >= 0
}

// addEvent records a cache event, unless it is to be skipped.
func (c *prefixCache) addEvent(prefix string, evicted bool) {
	c.sequence++
	if c.eventsToSkip > 0 {
		c.eventsToSkip--
		return
	}
	if len(c.events) >= maxEvents {
		c.events = slices.Delete(c.events, 0, 1)
	}
	e := engine.CacheEvent{Sequence: c.sequence, Prefix: prefix, Evicted: evicted}
	c.events = append(c.events, timedEvent{e, time.Now()})
}

// store keeps the KV cache of a request and evicts the oldest one if there are too
// many.
func (c *prefixCache) store(s storedCache) {
	c.stored = slices.DeleteFunc(c.stored, func(o storedCache) bool { return o.RequestID == s.RequestID })
	c.stored = append(c.stored, s)
	if len(c.stored) > c.size {
		c.stored = slices.Delete(c.stored, 0, 1)
	}
}

// cacheHit stores the KV cache of the request and reports whether its prefix was
// cached before.
func (m *Model) cacheHit(g engine.Generation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g.RequestID != "" {
		m.cache.store(storedCache{RequestID: g.RequestID, Prompt: g.Prompt})
	}
	return m.cache.touch(g.Prompt)
}

// SkipCacheEvents drops the next n cache events, which leaves a gap in the sequence.
func (m *Model) SkipCacheEvents(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cache.eventsToSkip = n
}

func (m *Model) cacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	if err := m.applyFaults(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	visibleUntil := time.Now().Add(-m.cache.eventLag)
	var events []engine.CacheEvent
	for _, e := range m.cache.events {
		if e.Sequence > after && !e.at.After(visibleUntil) {
			events = append(events, e.CacheEvent)
		}
	}
	return events, nil
}

func (m *Model) exportCache(ctx context.Context, requestID string) ([]byte, error) {
	if err := m.applyFaults(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.cache.stored {
		if s.RequestID == requestID {
			return json.Marshal(s)
		}
	}
	return nil, errkind.New(errkind.InvalidRequest, "no cache of request %q", requestID)
}

func (m *Model) importCache(ctx context.Context, requestID string, cache []byte) error {
	if err := m.applyFaults(ctx); err != nil {
		return err
	}
	var s storedCache
	if err := json.Unmarshal(cache, &s); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "decoding the cache of request %q", requestID)
	}
	s.RequestID = requestID
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cache.store(s)
	m.cache.touch(s.Prompt)
	return nil
}

// Orders returns the accepted orders in the sequence of their arrival.
func (m *Model) Orders() []engine.Order {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.orders)
}

func (m *Model) order(ctx context.Context, o engine.Order) error {
	if err := m.applyFaults(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.opts.CheckFencing && o.Fencing < m.fencing {
		return errkind.New(errkind.Fenced, "fencing number %d is lower than %d", o.Fencing, m.fencing)
	}
	m.fencing = max(m.fencing, o.Fencing)
	m.orders = append(m.orders, o)
	return nil
}
