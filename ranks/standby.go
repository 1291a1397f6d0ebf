package ranks

import (
	"context"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/lease"
)

const standbyPrefix = "skylarkstep/standbys/"

// standby holds a fencing number in reserve for an outage of the key-value
// store, in which no leases are granted. Without it, a coordinator that exits
// during the outage could not be replaced: no other process may use its number,
// and nobody gets a higher one. The number in reserve comes from a second
// lease, which another process holds. It is higher than the coordinator's
// number because the lease is acquired later.
type standby struct {
	o              CoordinatorOptions
	coordinatorKey string // key of the coordinator's lease
	holder         *lease.Holder
}

func newStandby(o CoordinatorOptions, group, coordinatorKey string) *standby {
	s := &standby{o: o, coordinatorKey: coordinatorKey}
	standbyKey := standbyPrefix + group
	var candidate candidacy
	s.holder = lease.New(lease.Options{
		KV: o.KV, Key: standbyKey, HolderID: o.HolderID, Times: coordinatorTimes, KeepDuringOutage: true, HolderDown: o.isHolderDown,
		IsCandidate: func() bool {
			return s.otherCoordinates() && candidate.competes(leaseVacant(context.Background(), o, standbyKey, s.holder), o.instances())
		},
		OnAcquired: func(n uint64) { o.Log.Info("standby taken", "group", group, "fencing", n) },
		OnLost: func(n uint64, reason string) {
			o.Log.Info("standby lost", "group", group, "fencing", n, "reason", reason)
		},
	})
	return s
}

// coordinatorLease returns the item of the coordinator's lease from the cached
// copy of the store.
func (s *standby) coordinatorLease(ctx context.Context) (infra.Item, bool) {
	it, exists, err := s.o.cachedItem(ctx, s.coordinatorKey)
	return it, exists && err == nil
}

// otherCoordinates reports whether another process coordinates the group.
func (s *standby) otherCoordinates() bool {
	it, ok := s.coordinatorLease(context.Background())
	return ok && string(it.Value) != s.o.HolderID
}

// mustTakeOver reports whether the number in reserve must be used now: the
// store does not answer and the coordinator is down. It resigns a number that
// has become useless because the coordinator has a higher number or is this
// process.
func (s *standby) mustTakeOver(ctx context.Context) bool {
	number, valid := s.holder.Token()
	if !valid {
		return false
	}
	it, ok := s.coordinatorLease(ctx)
	if ok && (lease.FencingNumber(it.ModRevision) > number || string(it.Value) == s.o.HolderID) {
		s.holder.Resign(number)
		return false
	}
	return ok && s.holder.RenewalsFailing() && s.o.isHolderDown(string(it.Value))
}
