package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/timeline"
)

const (
	// headPollInterval is the time between two reads of the head by a watcher. A
	// watch without events does not show whether it is still connected.
	headPollInterval = time.Second
	// minWatchRetry is the pause before the head is watched again. With each
	// consecutive failure of the store, the mean pause doubles, up to
	// maxWatchRetry.
	minWatchRetry = 500 * time.Millisecond
	// maxWatchRetry spreads reconnections over five seconds after an outage.
	maxWatchRetry = 5 * time.Second
)

// watchConfig follows the head of the configuration while this entry is a
// watcher, until ctx is cancelled. Every entry is a watcher at the start.
func (e *Entry) watchConfig(ctx context.Context) {
	retry := minWatchRetry
	for ctx.Err() == nil {
		pause := minWatchRetry
		if !e.watchesStore.Load() {
			e.post(ctx, func(c *control) { c.setStoreReachable(false) })
		} else {
			err := e.followHead(ctx)
			if err != nil && ctx.Err() == nil {
				e.post(ctx, func(c *control) { c.setStoreReachable(false) })
				e.node.Log.Warn("key-value service does not answer", "error", err)
				pause = retry/2 + rand.N(retry)
				retry = min(2*retry, maxWatchRetry)
			} else {
				retry = minWatchRetry
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// followHead reads, watches and polls the head. It returns an error when the
// key-value store fails, and nil when the watch ends or this entry is no longer
// a watcher.
func (e *Entry) followHead(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	readAt := time.Now()
	st, err := e.store.Head(ctx)
	if err != nil {
		return err
	}
	if err := e.applyHead(ctx, st.Head, readAt); err != nil {
		return err
	}
	changes, err := e.kv.Watch(ctx, configsync.HeadKey, st.StoreRevision)
	if err != nil {
		return err
	}
	poll := time.NewTicker(headPollInterval)
	defer poll.Stop()
	for e.watchesStore.Load() {
		select {
		case events, ok := <-changes:
			if !ok {
				return nil
			}
			for _, ev := range events {
				if ev.Deleted || ev.Err != nil {
					continue
				}
				h, err := configsync.ParseHead(ev.Item.Value)
				if err != nil {
					return err
				}
				if err := e.applyHead(ctx, h, time.Time{}); err != nil {
					return err
				}
			}
		case <-poll.C:
			polledAt := time.Now()
			st, err := e.store.Head(ctx)
			if err != nil {
				return err
			}
			if err := e.applyHead(ctx, st.Head, polledAt); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyHead makes the accepted revision active. readAt is a moment before the
// head was read, or zero for a watch event, which may have been delayed.
func (e *Entry) applyHead(ctx context.Context, h *configsync.Head, readAt time.Time) error {
	needsLoad := make(chan bool, 1)
	e.post(ctx, func(c *control) { needsLoad <- c.observeHead(h, readAt) })
	select {
	case missing := <-needsLoad:
		if !missing {
			return nil
		}
	case <-ctx.Done():
		return nil
	}
	readAt = time.Now()
	st, err := e.store.Load(ctx)
	if err != nil {
		return err
	}
	if st.Head != nil && len(st.Head.Deltas) > 0 {
		e.node.Clock.Observe(timeline.Timestamp(st.Head.Deltas[len(st.Head.Deltas)-1].HLC))
	}
	e.post(ctx, func(c *control) {
		changed, err := c.replica.ApplySnapshot(st.Revision(), st.Tree)
		if err != nil {
			e.node.Log.Error("configuration at the key-value service refused", "error", err)
			return
		}
		if changed {
			c.propagateConfig()
		}
		c.observeHead(st.Head, readAt)
	})
	return nil
}

// observeHead applies the deltas of the head if its revision is higher than the
// active one. It returns true when the whole tree must be loaded instead.
func (c *control) observeHead(h *configsync.Head, readAt time.Time) (needsLoad bool) {
	if h == nil {
		c.confirmRevision(c.replica.Revision() == 0, 0, readAt)
		return false
	}
	if n := len(h.Deltas); n > 0 {
		c.entry.node.Clock.Observe(timeline.Timestamp(h.Deltas[n-1].HLC))
	}
	if h.Revision > c.replica.Revision() {
		changed, gap, err := c.replica.ApplyDeltas(h.Deltas)
		if err != nil {
			c.entry.node.Log.Warn("deltas in the head do not apply", "error", err)
		}
		if changed {
			c.propagateConfig()
		}
		if gap || c.replica.Revision() < h.Revision {
			return true
		}
	}
	c.confirmRevision(h.Revision == c.replica.Revision() && h.Digest == c.replica.Digest(), h.Revision, readAt)
	return false
}

// confirmRevision confirms the active revision, or raises an alarm when the
// store has an older or different configuration, as after a restore from a
// backup. Such a store counts as unreachable: the configuration stays as it is,
// and traffic continues.
func (c *control) confirmRevision(confirmed bool, storeRevision uint64, readAt time.Time) {
	if readAt.IsZero() && !confirmed {
		return // an old watch event; the next read decides
	}
	switch {
	case confirmed && readAt.After(c.confirmedAt):
		c.confirmedAt = readAt
		c.revisionAlarmed = false
	case !confirmed && !c.revisionAlarmed:
		c.revisionAlarmed = true
		c.entry.node.Log.Error("key-value service shows another configuration than the one in force; keeping the one in force",
			"shown", storeRevision, "in_force", c.replica.Revision())
		c.entry.node.Events.Record(timeline.Event{Kind: timeline.RevisionAlarm, Revision: storeRevision})
	}
	c.setStoreReachable(confirmed)
}

// setStoreReachable records whether this entry reaches the key-value store. A
// change is sent to the other entries at once, since the rule for isolated
// processes depends on it. It is sent after the next snapshot: a heartbeat that
// reports the store as reachable together with the staleness from before the
// change would make its receivers count as isolated until the next heartbeat.
func (c *control) setStoreReachable(ok bool) {
	if c.entry.storeReachable.Swap(ok) != ok {
		c.storeReachableChanged, c.publishNow = true, true
	}
}
