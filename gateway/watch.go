package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
)

const (
	// watchRetryDelay is the pause after a watch that failed, and watchRetryMost the
	// longest one.
	watchRetryDelay    = 50 * time.Millisecond
	maxWatchRetryDelay = time.Second
)

// watch keeps the copy up to date from the service until ctx ends.
func (c *control) watch(ctx context.Context) {
	pause := watchRetryDelay
	for ctx.Err() == nil {
		c.followUntilNeeded(ctx)
		err := c.watchOnce(ctx, func() { pause = watchRetryDelay })
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		if errors.Is(err, infra.ErrCompacted) {
			c.log.Warn("history of the service lost, listing again")
			c.reloadMirror(ctx)
			continue
		}
		c.post(ctx, func() { c.recordStoreFailure(err, time.Now()) })
		ctxtime.Sleep(ctx, pause)
		pause = min(2*pause, maxWatchRetryDelay)
	}
}

// reloadMirror replaces the copy by what the service holds.
func (c *control) reloadMirror(ctx context.Context) {
	asked := time.Now()
	items, revision, err := c.g.kv.List(ctx, "")
	if err != nil {
		c.post(ctx, func() { c.recordStoreFailure(err, time.Now()) })
		ctxtime.Sleep(ctx, watchRetryDelay)
		return
	}
	c.call(ctx, func() {
		now := time.Now()
		c.recordStoreSuccess(asked, now)
		c.applyChanges(c.mirror.Load(items, revision), "list", now)
	})
}

var errWatchEnded = errors.New("the watch ended")

func (c *control) watchOnce(ctx context.Context, ok func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	after, _ := query(ctx, c, c.mirror.Revision)
	if after == 0 {
		c.reloadMirror(ctx)
		if after, _ = query(ctx, c, c.mirror.Revision); after == 0 {
			return errors.New("no list of the service yet")
		}
	}
	began := time.Now()
	events, err := c.g.kv.Watch(ctx, "", after)
	if err != nil {
		return err
	}
	for batch := range events {
		asOf := began
		if n := len(batch); n > 0 {
			if last := batch[n-1]; last.Err != nil {
				return last.Err
			} else if !last.AsOf.IsZero() {
				asOf = last.AsOf
			}
		}
		ok()
		began = time.Now()
		goOn, _ := query(ctx, c, func() bool {
			c.recordStoreSuccess(asOf, time.Now())
			c.applyChanges(c.mirror.Apply(batch), "watch", time.Now())
			return c.shouldWatch(time.Now())
		})
		if !goOn {
			return nil
		}
	}
	return errWatchEnded
}
