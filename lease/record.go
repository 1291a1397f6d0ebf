package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
)

// Record is a key in the store that exists while its process runs.
type Record struct {
	KV    infra.KV
	Key   string
	Value []byte
	// TTL is the time after which the key of an exited process expires, and
	// RenewInterval the interval of renewals.
	TTL, RenewInterval time.Duration
}

// Run keeps the record until ctx ends and then removes it.
func (r Record) Run(ctx context.Context) {
	var id infra.LeaseID
	for ctx.Err() == nil {
		pause := r.RenewInterval
		if err := r.renewOrWrite(ctx, &id); err != nil {
			pause = min(retryInterval, r.RenewInterval)
		}
		ctxtime.Sleep(ctx, pause)
	}
	if id == (infra.LeaseID{}) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = r.KV.Revoke(ctx, id) // on failure the lease expires
}

// renewOrWrite renews the lease, or writes the key under a new lease if there
// is none or it has expired.
func (r Record) renewOrWrite(ctx context.Context, id *infra.LeaseID) error {
	if *id != (infra.LeaseID{}) {
		remaining, err := r.KV.KeepAlive(ctx, *id)
		switch {
		case err != nil && !errors.Is(err, infra.ErrLeaseNotFound):
			return err
		case err == nil && remaining > 0:
			return nil
		}
		*id = infra.LeaseID{} // the lease has expired
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
