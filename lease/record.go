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
	// OnLost is called when the lease has expired or the store was restored, before
	// the key is written again; it may be nil.
	OnLost func()
}

// Run keeps the record until ctx ends and then removes it.
func (r Record) Run(ctx context.Context) {
	var l recordLease
	for ctx.Err() == nil {
		pause := r.RenewInterval
		if err := r.renewOrWrite(ctx, &l); err != nil {
			pause = min(retryInterval, r.RenewInterval)
		}
		ctxtime.Sleep(ctx, pause)
	}
	if l.id == (infra.LeaseID{}) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = r.KV.Revoke(ctx, l.id) // on failure the lease expires
}

// recordLease is the lease of a record.
type recordLease struct {
	id infra.LeaseID // zero if there is none
	// written is set once the key is known to be written under the lease.
	written bool
}

// renewOrWrite renews the lease, or writes the key under a new lease if there
// is none, it has expired, or the store was restored since it was granted. A write
// whose outcome is unknown is sent again under the same lease, since it may still
// take effect later: under another lease, the key would expire with the former one.
func (r Record) renewOrWrite(ctx context.Context, l *recordLease) error {
	if l.written {
		remaining, err := r.KV.KeepAlive(ctx, l.id)
		switch {
		case err != nil && !errors.Is(err, infra.ErrLeaseNotFound):
			return err
		case err == nil && remaining > 0:
			return nil
		}
		*l = recordLease{}
		if r.OnLost != nil {
			r.OnLost()
		}
	}
	if l.id == (infra.LeaseID{}) {
		id, err := r.KV.Grant(ctx, r.TTL)
		if err != nil {
			return err
		}
		l.id = id
	}
	_, err := r.KV.Commit(ctx, infra.Txn{Puts: []infra.Put{{Key: r.Key, Value: r.Value, Lease: l.id}}})
	if errors.Is(err, infra.ErrLeaseNotFound) {
		*l = recordLease{}
	}
	l.written = err == nil
	return err
}
