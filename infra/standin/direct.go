package standin

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/internal/gateway"
)

// directTimeout is the request timeout of the HTTP client.
const directTimeout = time.Second

// direct is a infra.KV without HTTP, for testing/synctest bubbles.
type direct struct{ kv *KV }

// Direct returns an in-process view that answers like an HTTP client of the
// stand-in, with the same faults. In a synctest bubble, create the KV inside
// the bubble.
func (k *KV) Direct() infra.KV { return direct{k} }

// call applies the fault switches around run.
func (d direct) call(ctx context.Context, kind string, run func() *gateway.Status) error {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	d.kv.count(kind)
	write := kind != "range" && kind != "watch"
	refused, err := d.kv.enter(ctx)
	switch {
	case refused && !write:
		return errkind.New(errkind.StoreUnavailable, "%s: refused by a fault switch", kind).WithDidRun(errkind.NotRun)
	case err != nil && !write:
		return errkind.Wrap(err, errkind.StoreUnavailable, "%s: no answer", kind)
	case refused || err != nil:
		return errkind.Wrap(infra.ErrUnknownOutcome, errkind.StoreUnavailable, "%s: no answer", kind)
	}
	s := run()
	if write && d.kv.dropReply() {
		return errkind.Wrap(infra.ErrUnknownOutcome, errkind.StoreUnavailable, "%s: reply lost", kind)
	}
	switch {
	case s == nil:
		return nil
	case strings.Contains(s.Message, gateway.TextLeaseNotFound):
		return errors.Wrap(infra.ErrLeaseNotFound, kind)
	case strings.Contains(s.Message, gateway.TextTooLarge):
		return errkind.New(errkind.TooLarge, "%s: %s", kind, s.Message)
	default:
		return errkind.New(errkind.StoreUnavailable, "%s: %s", kind, s.Message).WithDidRun(errkind.NotRun)
	}
}

func (d direct) read(ctx context.Context, q gateway.RangeRequest) ([]infra.Item, int64, error) {
	var a gateway.RangeResponse
	err := d.call(ctx, "range", func() *gateway.Status { a = d.kv.rangeOp(q); return nil })
	if err != nil {
		return nil, 0, err
	}
	items := a.Items()
	for i := range items {
		items[i].Value = bytes.Clone(items[i].Value)
	}
	return items, a.Header.Revision, nil
}

// Get implements infra.KV.
func (d direct) Get(ctx context.Context, key string) (infra.Item, int64, error) {
	items, revision, err := d.read(ctx, gateway.RangeRequest{Key: []byte(key)})
	if err != nil {
		return infra.Item{}, 0, err
	}
	if len(items) == 0 {
		return infra.Item{}, revision, errors.Wrapf(infra.ErrNotFound, "key %q", key)
	}
	return items[0], revision, nil
}

// List implements infra.KV.
func (d direct) List(ctx context.Context, prefix string) ([]infra.Item, int64, error) {
	key, end := gateway.Prefix(prefix)
	return d.read(ctx, gateway.RangeRequest{Key: key, RangeEnd: end})
}

// Commit implements infra.KV.
func (d direct) Commit(ctx context.Context, t infra.Txn) (infra.TxnResult, error) {
	var a gateway.TxnResponse
	err := d.call(ctx, "txn", func() (s *gateway.Status) { a, s = d.kv.txn(gateway.FromTxn(t)); return s })
	if err != nil {
		return infra.TxnResult{}, err
	}
	return infra.TxnResult{Succeeded: a.Succeeded, Revision: a.Header.Revision}, nil
}

// Grant implements infra.KV.
func (d direct) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	var a gateway.LeaseResponse
	err := d.call(ctx, "grant", func() (s *gateway.Status) {
		a, s = d.kv.grant(gateway.LeaseRequest{TTL: gateway.Seconds(ttl)})
		return s
	})
	if err != nil {
		return 0, err
	}
	return infra.LeaseID(a.ID), nil
}

// KeepAlive implements infra.KV.
func (d direct) KeepAlive(ctx context.Context, id infra.LeaseID) (time.Duration, error) {
	var a gateway.KeepAliveResponse
	err := d.call(ctx, "keepalive", func() *gateway.Status {
		a = d.kv.keepAlive(gateway.LeaseRequest{ID: int64(id)})
		return nil
	})
	if err != nil {
		return 0, err
	}
	return time.Duration(a.Result.TTL) * time.Second, nil
}

// Revoke implements infra.KV.
func (d direct) Revoke(ctx context.Context, id infra.LeaseID) error {
	return d.call(ctx, "revoke", func() (s *gateway.Status) {
		_, s = d.kv.revoke(gateway.LeaseRequest{ID: int64(id)})
		return s
	})
}

// Watch implements infra.KV.
func (d direct) Watch(ctx context.Context, prefix string, after int64) (<-chan []infra.Event, error) {
	if err := d.call(ctx, "watch", func() *gateway.Status { return nil }); err != nil {
		return nil, err
	}
	key, end := gateway.Prefix(prefix)
	out := make(chan []infra.Event)
	confirmed := make(chan struct{})
	go func() {
		defer close(out)
		d.kv.watch(ctx, gateway.WatchCreate{Key: key, RangeEnd: end, StartRevision: after + 1}, func(m gateway.WatchResult) error {
			if m.Created {
				close(confirmed)
				return nil
			}
			events := m.PlatformEvents()
			for i := range events {
				events[i].Item.Value = bytes.Clone(events[i].Item.Value)
			}
			if m.Canceled {
				err := errors.Wrapf(infra.ErrCompacted, "changes are kept from revision %d on", m.CompactRevision)
				events = []infra.Event{{Err: err}}
			}
			select {
			case out <- events:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	<-confirmed
	return out, nil
}
