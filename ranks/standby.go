package ranks

import (
	"context"
	"math/rand/v2"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/lease"
)

const (
	standbyPrefix = "skylarkstep/standbys/"
	// standbyChance is how likely a process competes at a look. Not all should,
	// since each attempt costs calls.
	standbyChance = 0.3
)

// standby holds a fencing number in reserve for the time when the service gives no
// leases. The coordinator of a group that ends then could not be replaced: its
// number must not be used by another process, and nobody gets a higher one. The
// number comes from a second lease that another process holds. It is higher than the
// coordinator's, since it is taken later.
type standby struct {
	o      CoordinatorOptions
	key    string // of the coordinator's lease
	holder *lease.Holder
}

func newStandby(o CoordinatorOptions, group, coordinatorKey string) *standby {
	s := &standby{o: o, key: coordinatorKey}
	own := standbyPrefix + group
	s.holder = lease.New(lease.Options{
		KV: o.KV, Key: own, HolderID: o.HolderID, Times: coordinatorTimes, KeepDuringOutage: true, HolderDown: o.dead,
		IsCandidate: func() bool {
			return s.wanted() && rand.Float64() < standbyChance && vacant(context.Background(), o, own)
		},
		OnAcquired: func(n uint64) { o.Log.Info("standby taken", "group", group, "fencing", n) },
		OnLost: func(n uint64, reason string) {
			o.Log.Info("standby lost", "group", group, "fencing", n, "reason", reason)
		},
	})
	return s
}

// coordinator returns the item of the coordinator's lease in the copy of the service.
func (s *standby) coordinator(ctx context.Context) (infra.Item, bool) {
	items, err := s.o.Items(ctx, s.key)
	if err != nil || len(items) == 0 {
		return infra.Item{}, false
	}
	return items[0], true
}

// wanted reports whether another process coordinates the group.
func (s *standby) wanted() bool {
	it, ok := s.coordinator(context.Background())
	return ok && string(it.Value) != s.o.HolderID
}

// takesOver reports whether the number in reserve must be used now: the service
// does not answer and the coordinator has ended. A number that is of no use any more
// is given up.
func (s *standby) takesOver(ctx context.Context) bool {
	number, valid := s.holder.Token()
	if !valid {
		return false
	}
	it, ok := s.coordinator(ctx)
	if ok && (uint64(it.ModRevision) > number || string(it.Value) == s.o.HolderID) {
		s.holder.Resign(number)
		return false
	}
	return ok && s.holder.RenewalsFailing() && s.o.dead(string(it.Value))
}
