package standin

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/internal/gateway"
)

// directCallTimeout is the request timeout of the HTTP client.
const directCallTimeout = time.Second

// directKV is an infra.KV that calls the stand-in without HTTP, for use in
// testing/synctest bubbles.
type directKV struct{ kv *KV }

// Direct returns an in-process client that behaves like an HTTP client of the
// stand-in, with the same faults. For use in a synctest bubble, the KV must be
// created inside the bubble.
func (k *KV) Direct() infra.KV { return directKV{k} }

// call counts a call and runs it with the injected faults.
func (d directKV) call(ctx context.Context, kind string, run func() *gateway.Status) error {
	ctx, cancel := context.WithTimeout(ctx, directCallTimeout)
	defer cancel()
	d.kv.countCall(kind)
	write := kind != "range" && kind != "watch"
	refused, err := d.kv.applyFaults(ctx)
	switch {
	case refused && !write:
		return errkind.New(errkind.StoreUnavailable, "%s: refused by a fault switch", kind).WithDidRun(errkind.NotRun)
	case err != nil && !write:
		return errkind.Wrap(err, errkind.StoreUnavailable, "%s: no response", kind)
	case refused || err != nil:
		return errkind.Wrap(infra.ErrUnknownOutcome, errkind.StoreUnavailable, "%s: no response", kind)
	}
	d.kv.restoring.RLock()
	status := run()
	d.kv.restoring.RUnlock()
	if write && d.kv.takeDroppedReply() {
		return errkind.Wrap(infra.ErrUnknownOutcome, errkind.StoreUnavailable, "%s: reply lost", kind)
	}
	switch {
	case status == nil:
		return nil
	case strings.Contains(status.Message, gateway.TextLeaseNotFound):
		return errors.Wrap(infra.ErrLeaseNotFound, kind)
	case strings.Contains(status.Message, gateway.TextTooLarge):
		return errkind.New(errkind.TooLarge, "%s: %s", kind, status.Message)
	default:
		return errkind.New(errkind.StoreUnavailable, "%s: %s", kind, status.Message).WithDidRun(errkind.NotRun)
	}
}

func (d directKV) readRange(ctx context.Context, q gateway.RangeRequest) ([]infra.Item, int64, error) {
	var reply gateway.RangeResponse
	err := d.call(ctx, "range", func() *gateway.Status { reply = d.kv.readRange(q); return nil })
	if err != nil {
		return nil, 0, err
	}
	items := reply.Items()
	for i := range items {
		items[i] = inEra(reply.Header.Era, items[i])
	}
	return items, headerRevision(reply.Header), nil
}

// inEra returns a copy of an item with the era in its revisions and its lease.
func inEra(era int64, it infra.Item) infra.Item {
	it.Value = bytes.Clone(it.Value)
	it.CreateRevision, it.ModRevision = infra.NewRevision(era, it.CreateRevision), infra.NewRevision(era, it.ModRevision)
	if it.Lease.Number != 0 {
		it.Lease.Era = era
	}
	return it
}

func headerRevision(h gateway.Header) int64 { return infra.NewRevision(h.Era, h.Revision) }

// Get implements infra.KV.
func (d directKV) Get(ctx context.Context, key string) (infra.Item, int64, error) {
	items, revision, err := d.readRange(ctx, gateway.RangeRequest{Key: []byte(key)})
	if err != nil {
		return infra.Item{}, 0, err
	}
	if len(items) == 0 {
		return infra.Item{}, revision, errors.Wrapf(infra.ErrNotFound, "key %q", key)
	}
	return items[0], revision, nil
}

// List implements infra.KV.
func (d directKV) List(ctx context.Context, prefix string) ([]infra.Item, int64, error) {
	key, end := gateway.Prefix(prefix)
	return d.readRange(ctx, gateway.RangeRequest{Key: key, RangeEnd: end})
}

// Commit implements infra.KV.
func (d directKV) Commit(ctx context.Context, t infra.Txn) (infra.TxnResult, error) {
	var reply gateway.TxnResponse
	err := d.call(ctx, "txn", func() (s *gateway.Status) {
		era := d.kv.Era()
		for _, p := range t.Puts {
			if p.Lease != (infra.LeaseID{}) && p.Lease.Era != era {
				return &gateway.Status{Code: gateway.CodeNotFound, Message: gateway.TextLeaseNotFound}
			}
		}
		for _, c := range t.Conditions {
			if c.ModRevision != 0 && infra.Era(c.ModRevision) != era {
				return nil // the condition does not hold
			}
		}
		reply, s = d.kv.txn(fromTxn(t))
		return s
	})
	if err != nil {
		return infra.TxnResult{}, err
	}
	return infra.TxnResult{Succeeded: reply.Succeeded, Revision: headerRevision(reply.Header)}, nil
}

// fromTxn converts a transaction of the current era to a request.
func fromTxn(t infra.Txn) gateway.TxnRequest {
	t.Conditions = slices.Clone(t.Conditions)
	for i := range t.Conditions {
		t.Conditions[i].ModRevision = infra.RevisionNumber(t.Conditions[i].ModRevision)
	}
	return gateway.FromTxn(t)
}

// Grant implements infra.KV.
func (d directKV) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	var reply gateway.LeaseResponse
	err := d.call(ctx, "grant", func() (s *gateway.Status) {
		reply, s = d.kv.grant(gateway.LeaseRequest{TTL: gateway.Seconds(ttl)})
		return s
	})
	if err != nil {
		return infra.LeaseID{}, err
	}
	return infra.LeaseID{Era: reply.Header.Era, Number: reply.ID}, nil
}

// KeepAlive implements infra.KV.
func (d directKV) KeepAlive(ctx context.Context, id infra.LeaseID) (time.Duration, error) {
	var reply gateway.KeepAliveResponse
	err := d.call(ctx, "keepalive", func() *gateway.Status {
		reply = gateway.KeepAliveResponse{Result: &gateway.LeaseResponse{}}
		if id.Era == d.kv.Era() {
			reply = d.kv.keepAlive(gateway.LeaseRequest{ID: id.Number})
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return time.Duration(reply.Result.TTL) * time.Second, nil
}

// Revoke implements infra.KV.
func (d directKV) Revoke(ctx context.Context, id infra.LeaseID) error {
	return d.call(ctx, "revoke", func() (s *gateway.Status) {
		if id.Era != d.kv.Era() {
			return &gateway.Status{Code: gateway.CodeNotFound, Message: gateway.TextLeaseNotFound}
		}
		_, s = d.kv.revoke(gateway.LeaseRequest{ID: id.Number})
		return s
	})
}

// Watch implements infra.KV.
func (d directKV) Watch(ctx context.Context, prefix string, after int64) (<-chan []infra.Event, error) {
	if err := d.call(ctx, "watch", func() *gateway.Status { return nil }); err != nil {
		return nil, err
	}
	key, end := gateway.Prefix(prefix)
	out := make(chan []infra.Event)
	confirmed := make(chan struct{})
	go func() {
		defer close(out)
		d.kv.watch(ctx, gateway.WatchCreate{Key: key, RangeEnd: end, StartRevision: infra.RevisionNumber(after) + 1}, func(m gateway.WatchResult) error {
			era := m.Header.Era
			if m.Created {
				close(confirmed)
				if after == 0 || era == infra.Era(after) {
					return nil
				}
			}
			events := m.InfraEvents()
			for i := range events {
				events[i].Item = inEra(era, events[i].Item)
			}
			switch {
			case m.Canceled:
				err := errors.Wrapf(infra.ErrCompacted, "changes are kept from revision %d on", m.CompactRevision)
				events = []infra.Event{{Err: err}}
			case after != 0 && era != infra.Era(after):
				events = []infra.Event{{Err: errors.Wrapf(infra.ErrCompacted, "the store is in era %d, not %d", era, infra.Era(after))}}
			}
			select {
			case out <- events:
				if last := len(events) - 1; last >= 0 && events[last].Err != nil {
					return events[last].Err
				}
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	<-confirmed
	return out, nil
}
