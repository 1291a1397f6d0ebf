package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
)

// Record is a key that exists while its process lives.
type Record struct {
	KV    infra.KV
	Key   string
	Value []byte
	// TTL is how long the key outlives the process, and RenewInterval the pause between
	// renewals.
	TTL, RenewInterval time.Duration
}

// Run keeps the record until ctx ends, and removes it then.
func (r Record) Run(ctx context.Context) {
	var id infra.LeaseID
	for ctx.Err() == nil {
		pause := r.RenewInterval
		if err := r.keep(ctx, &id); err != nil {
			pause = min(retryInterval, r.RenewInterval)
		}
		ctxtime.Sleep(ctx, pause)
	}
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = r.KV.Revoke(ctx, id) // the lease lapses anyway
}

// keep renews the lease, or writes the key under a new one.
func (r Record) keep(ctx context.Context, id *infra.LeaseID) error {
	if *id != 0 {
		left, err := r.KV.KeepAlive(ctx, *id)
		switch {
		case err != nil && !errors.Is(err, infra.ErrLeaseNotFound):
			return err
		case err == nil && left > 0:
			return nil
		}
		*id = 0 // the lease has lapsed
	}
	granted, err := r.KV.Grant(ctx, r.TTL)
	if err != nil {
		return err
	}
	if _, err := r.KV.Commit(ctx, infra.Txn{Puts: []infra.Put{{Key: r.Key, Value: r.Value, Lease: granted}}}); err != nil {
		return err
	}
	*id = granted
	return nil
}
