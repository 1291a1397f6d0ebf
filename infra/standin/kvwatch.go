package standin

import (
	"context"

	"github.com/skylarkstep/skylarkstep/infra/internal/gateway"
)

// collect returns the changes since the revision next, or a message that ends
// the watch. wake is closed at the next change.
func (k *KV) collect(w gateway.WatchCreate, next int64) (m gateway.WatchResult, wake, broken chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m.Header = k.header()
	if next <= k.compacted {
		m.Canceled, m.CompactRevision, m.CancelReason = true, k.compacted+1, gateway.TextCompacted
		return m, k.changed, k.broken
	}
	for _, c := range k.history {
		if c.revision >= next && inRange(c.event.Kv.Key, w.Key, w.RangeEnd) {
			m.Events = append(m.Events, c.event)
		}
	}
	return m, k.changed, k.broken
}

// watch calls send for each message until ctx ends, send fails, or the watch
// is broken or canceled. The first message confirms the watch.
func (k *KV) watch(ctx context.Context, w gateway.WatchCreate, send func(gateway.WatchResult) error) {
	k.mu.Lock()
	next, broken := w.StartRevision, k.broken
	if next <= 0 {
		next = k.revision + 1
	}
	first := gateway.WatchResult{Header: k.header(), Created: true}
	k.mu.Unlock()
	if send(first) != nil {
		return
	}
	for {
		m, wake, nowBroken := k.collect(w, next)
		if nowBroken != broken {
			return
		}
		if len(m.Events) > 0 || m.Canceled {
			if k.waitStall(ctx) != nil || send(m) != nil || m.Canceled {
				return
			}
		}
		next = max(next, m.Header.Revision+1)
		select {
		case <-wake:
		case <-broken:
			return
		case <-ctx.Done():
			return
		}
	}
}
