package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/platform"
	"github.com/skylarkstep/skylarkstep/timeline"
)

// headKey holds the accepted configuration.
const headKey = "skylarkstep/config/head"

const watchRetry = 500 * time.Millisecond

// watchConfig follows the head at the key-value service until ctx ends.
func (e *Entry) watchConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.followHead(ctx); err != nil && ctx.Err() == nil {
			e.node.Log.Warn("key-value service does not answer", "error", err)
		}
		select {
		case <-time.After(watchRetry + rand.N(watchRetry)):
		case <-ctx.Done():
		}
	}
}

func (e *Entry) followHead(ctx context.Context) error {
	item, revision, err := e.kv.Get(ctx, headKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil {
		e.offer(ctx, item.Value)
	}
	changes, err := e.kv.Watch(ctx, headKey, revision)
	if err != nil {
		return err
	}
	for events := range changes {
		for _, ev := range events {
			if !ev.Deleted {
				e.offer(ctx, ev.Item.Value)
			}
		}
	}
	return nil
}

func (e *Entry) offer(ctx context.Context, document []byte) {
	next, err := config.ParseConfig(document)
	if err != nil {
		e.node.Log.Error("configuration at the key-value service refused", "error", err)
		return
	}
	e.post(ctx, func(c *control) { c.install(next) })
}

// apply accepts a configuration on top of the base revision.
func (e *Entry) apply(ctx context.Context, base uint64, document []byte) (uint64, error) {
	next, err := config.ParseConfig(document)
	if err != nil {
		return 0, err
	}
	item, _, err := e.kv.Get(ctx, headKey)
	var current config.Config
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return 0, errkind.Wrap(err, errkind.StoreUnavailable, "read the head").WithDidRun(errkind.NotRun)
	default:
		parsed, err := config.ParseConfig(item.Value)
		if err != nil {
			return 0, err
		}
		current = *parsed
	}
	if current.Revision != base {
		return 0, errkind.New(errkind.RevisionConflict, "based on revision %d, but %d is accepted", base, current.Revision)
	}
	next.Revision = base + 1
	value, err := encode(next)
	if err != nil {
		return 0, err
	}
	res, err := e.kv.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: headKey, ModRevision: item.ModRevision}},
		Puts:       []platform.Put{{Key: headKey, Value: value}},
	})
	if err != nil {
		return 0, errkind.Wrap(err, errkind.StoreUnavailable, "write the head")
	}
	if !res.Succeeded {
		return 0, errkind.New(errkind.RevisionConflict, "another edit was accepted on revision %d", base)
	}
	e.node.Events.Record(timeline.Event{Kind: timeline.RevisionAccepted, Revision: next.Revision})
	e.post(ctx, func(c *control) { c.install(next) })
	return next.Revision, nil
}
