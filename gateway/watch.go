package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
)

const (
	// watchRetryDelay is the pause after the first watch that failed, and
	// maxWatchRetryDelay the limit to which the pause doubles.
	watchRetryDelay    = 50 * time.Millisecond
	maxWatchRetryDelay = time.Second
	// watchFailuresBeforeList is how many watches in a row may fail until all items are
	// listed again: the changes since the revision of the copy may be what a watch
	// cannot deliver.
	watchFailuresBeforeList = 3
)

// watch keeps the cached copy of the store up to date until ctx ends.
func (c *control) watch(ctx context.Context) {
	pause, failures := watchRetryDelay, 0
	for ctx.Err() == nil {
		c.followUntilNeeded(ctx)
		err := c.watchOnce(ctx, func() { pause, failures = watchRetryDelay, 0 })
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		if errors.Is(err, infra.ErrCompacted) {
			c.log.Warn("store history compacted, listing all items again", "reason", err.Error())
			if c.reloadMirror(ctx) {
				continue
			}
		} else {
			c.post(ctx, func() { c.recordStoreFailure(err, time.Now()) })
			if failures++; failures%watchFailuresBeforeList == 0 && c.reloadMirror(ctx) {
				continue
			}
		}
		ctxtime.Sleep(ctx, pause)
		pause = min(2*pause, maxWatchRetryDelay)
	}
}

// reloadMirror replaces the cached copy by a complete list of the items in the
// store. It reports whether the copy is newer than before: a list that is older
// than the copy changes nothing, and a watch from there would fail again.
func (c *control) reloadMirror(ctx context.Context) (advanced bool) {
	requestedAt := time.Now()
	items, revision, err := c.g.kv.List(ctx, "")
	if err != nil {
		c.post(ctx, func() { c.recordStoreFailure(err, time.Now()) })
		return false
	}
	advanced, _ = query(ctx, c, func() bool {
		now, before := time.Now(), c.mirror.Revision()
		c.recordStoreSuccess(requestedAt, now)
		c.updateCopy("list", now, func() []string { return c.mirror.Load(items, revision) })
		return c.mirror.Revision() > before
	})
	return advanced
}

var errWatchEnded = errors.New("the watch ended")

// watchOnce applies the changes of one watch until the watch fails, or until
// this instance need not watch any longer. It calls onSuccess for each batch.
func (c *control) watchOnce(ctx context.Context, onSuccess func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	after, _ := query(ctx, c, c.mirror.Revision)
	if after == 0 {
		_ = c.reloadMirror(ctx)
		if after, _ = query(ctx, c, c.mirror.Revision); after == 0 {
			return errors.New("no list of the store items yet")
		}
	}
	waitingSince := time.Now()
	events, err := c.g.kv.Watch(ctx, "", after)
	if err != nil {
		return err
	}
	for batch := range events {
		asOf := waitingSince
		if n := len(batch); n > 0 {
			if last := batch[n-1]; last.Err != nil {
				return last.Err
			} else if !last.AsOf.IsZero() {
				asOf = last.AsOf
			}
		}
		onSuccess()
		waitingSince = time.Now()
		keepWatching, _ := query(ctx, c, func() bool {
			c.recordStoreSuccess(asOf, time.Now())
			c.updateCopy("watch", time.Now(), func() []string { return c.mirror.Apply(batch) })
			return c.shouldWatch(time.Now())
		})
		if !keepWatching {
			return nil
		}
	}
	return errWatchEnded
}
