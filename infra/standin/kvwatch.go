package standin

import (
	"context"

	"github.com/skylarkstep/skylarkstep/infra/internal/gateway"
)

// changesSince returns a message with the changes from the revision next on, or one
// that cancels the watch because they were compacted. The channel changed is closed
// at the next change, broken when all watches are ended.
func (k *KV) changesSince(w gateway.WatchCreate, next int64) (m gateway.WatchResult, changed, broken chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m.Header = k.header()
	if next <= k.compactedRevision {
		m.Canceled, m.CompactRevision, m.CancelReason = true, k.compactedRevision+1, gateway.TextCompacted
		return m, k.changeSignal, k.watchBreak
	}
	for _, c := range k.history {
		if c.revision >= next && inRange(c.event.Kv.Key, w.Key, w.RangeEnd) {
			m.Events = append(m.Events, c.event)
		}
	}
	return m, k.changeSignal, k.watchBreak
}

// watch calls send for each message until ctx ends, send fails, or the watch is
// ended or canceled. The first message confirms the watch.
func (k *KV) watch(ctx context.Context, w gateway.WatchCreate, send func(gateway.WatchResult) error) {
	k.mu.Lock()
	next, broken := w.StartRevision, k.watchBreak
	if next <= 0 {
		next = k.revision + 1
	}
	first := gateway.WatchResult{Header: k.header(), Created: true}
	k.mu.Unlock()
	if send(first) != nil {
		return
	}
	for {
		m, changed, currentBroken := k.changesSince(w, next)
		if currentBroken != broken {
			return
		}
		if len(m.Events) > 0 || m.Canceled {
			if k.waitStall(ctx) != nil || send(m) != nil || m.Canceled {
				return
			}
		}
		next = max(next, m.Header.Revision+1)
		select {
		case <-changed:
		case <-broken:
			return
		case <-ctx.Done():
			return
		}
	}
}
