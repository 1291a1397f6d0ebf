package standin

import (
	"maps"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/infra/internal/gateway"
)

// Copy is the state of the key-value store at one moment.
type Copy struct {
	revision, nextLease int64
	items               map[string]gateway.KeyValue
	leases              map[int64]time.Duration // TTL by lease
}

// TakeCopy returns a copy of the store for Restore.
func (k *KV) TakeCopy() Copy {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := Copy{revision: k.revision, nextLease: k.nextLease, items: maps.Clone(k.items), leases: map[int64]time.Duration{}}
	for id, l := range k.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Era returns how often the store was restored.
func (k *KV) Era() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era
}

// Restore replaces the store by a copy and begins a new era. Everything written
// since is gone, leases too, and revisions and lease ids are given out again.
// The leases of the copy begin anew. All watches end.
func (k *KV) Restore(c Copy) {
	k.restoring.Lock()
	defer k.restoring.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.era++
	k.items, k.revision, k.nextLease = maps.Clone(c.items), c.revision, c.nextLease
	k.history = slices.DeleteFunc(k.history, func(h change) bool { return h.revision > c.revision })
	if k.compactedRevision > c.revision {
		k.compactedItems, k.compactedRevision = maps.Clone(c.items), c.revision
	}
	for _, l := range k.leases {
		l.timer.Stop()
	}
	k.leases = map[int64]*leaseState{}
	for id, ttl := range c.leases {
		k.startLease(id, ttl)
	}
	k.breakWatches()
}

// startLease starts a lease.
func (k *KV) startLease(id int64, ttl time.Duration) {
	k.leases[id] = &leaseState{
		ttl: ttl, deadline: time.Now().Add(ttl), timer: time.AfterFunc(ttl, func() { k.expire(id) }),
	}
}

// DropLeases removes the leases from a copy. Their keys stay and do not expire.
func (c *Copy) DropLeases() { c.leases = nil }
