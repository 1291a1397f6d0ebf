package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
)

const (
	// pollInterval is the interval at which a candidate checks whether the
	// lease is free.
	pollInterval = time.Second
	// retryInterval is the pause after a call that failed.
	retryInterval = 500 * time.Millisecond
	// releaseTimeout is the timeout for revoking the lease at the end; the
	// lease expires anyway.
	releaseTimeout = 2 * time.Second
)

// Options are the settings of a Holder.
type Options struct {
	KV  infra.KV
	Key string
	// HolderID is unique to this process incarnation. After a lost reply it
	// shows which process has written the key.
	HolderID string
	// IsCandidate reports whether this process may acquire the lease; nil means
	// always.
	IsCandidate func() bool
	// Times are used instead of DefaultTimes if TTL is set.
	Times Times
	// HolderDown reports whether a holder is known to be down, so that its
	// lease can be replaced before it expires; nil means never. It may be
	// wrong, so like KeepDuringOutage it is only for holders whose receivers
	// check fencing numbers.
	HolderDown func(holder string) bool
	// KeepDuringOutage keeps the term while the store does not answer renewals.
	// Another process may have acquired the lease meanwhile, so it is only for
	// holders whose orders carry the fencing number and whose receivers refuse
	// lower numbers.
	KeepDuringOutage bool
	// OnAcquired and OnLost are called when the lease is acquired or lost; they
	// may be nil.
	OnAcquired func(number uint64)
	OnLost     func(number uint64, reason string)
}

// Holder competes for a lease and renews it.
type Holder struct {
	o       Options
	mu      sync.Mutex
	term    term
	leaseID infra.LeaseID
	// lastNumber is the fencing number of the last term.
	lastNumber uint64
	// renewalsFailing is set while renewals get no answer.
	renewalsFailing bool
	resigned        chan uint64 // fencing numbers passed to Resign
}

var _ Token = (*Holder)(nil)

// New returns a holder; Run starts it.
func New(o Options) *Holder {
	if o.Times.TTL == 0 {
		o.Times = DefaultTimes
	}
	return &Holder{o: o, resigned: make(chan uint64, 1)}
}

// Token returns the fencing number and whether an order may be sent now. It
// reads the clock itself, so that a process that was paused past the end of its
// lease notices this before it sends.
func (h *Holder) Token() (number uint64, valid bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.o.KeepDuringOutage && h.renewalsFailing && h.term.number != 0 {
		return h.term.number, true
	}
	return h.term.number, h.term.valid(time.Now())
}

// RenewalsFailing reports whether this process holds the lease and the store
// does not answer its renewals.
func (h *Holder) RenewalsFailing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.renewalsFailing && h.term.number != 0
}

// Run competes for the lease until ctx ends and then releases it.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if h.o.IsCandidate != nil && !h.o.IsCandidate() {
			ctxtime.Sleep(ctx, pollInterval)
			continue
		}
		if !h.acquire(ctx) {
			ctxtime.Sleep(ctx, pollInterval/2+rand.N(pollInterval))
			continue
		}
		h.endTerm(h.renewUntilEnd(ctx))
	}
}

// acquire tries to acquire the lease and reports whether this process holds it.
func (h *Holder) acquire(ctx context.Context) bool {
	previous, _, err := h.o.KV.Get(ctx, h.o.Key)
	switch {
	case errors.Is(err, infra.ErrNotFound):
	case err != nil || !h.isReplaceable(previous):
		return false
	}
	requested := time.Now()
	id, err := h.o.KV.Grant(ctx, h.o.Times.TTL)
	if err != nil {
		return false // if only the reply was lost, the lease holds no key and expires
	}
	number, ok := h.writeKey(ctx, id, previous.ModRevision)
	if !ok {
		h.release(id)
		return false
	}
	now := time.Now()
	t := newTerm(number, requested, now, h.o.Times)
	if t.expired(now) {
		h.release(id)
		return false
	}
	h.mu.Lock()
	h.term, h.leaseID, h.lastNumber = t, id, number
	h.mu.Unlock()
	if h.o.OnAcquired != nil {
		h.o.OnAcquired(number)
	}
	return true
}

// isReplaceable reports whether the key of a holder may be replaced.
func (h *Holder) isReplaceable(it infra.Item) bool {
	return h.IsLeftover(it) || h.o.HolderDown != nil && h.o.HolderDown(string(it.Value))
}

// IsLeftover reports whether an item is a key that this process wrote, but not in
// its last term. Such a key comes from the copy to which the store was restored, or
// from a write with unknown outcome that took effect late. Its lease may belong to
// somebody else, or not exist any more, so the key may never expire.
func (h *Holder) IsLeftover(it infra.Item) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return string(it.Value) == h.o.HolderID && FencingNumber(it.ModRevision) != h.lastNumber
}

// writeKey writes the key if it does not exist or still has the previous revision.
// The fencing number comes from the revision of that write. If the reply is lost,
// the key is read to find out whether the write succeeded. After a restore of the
// store the key is not under the lease of this attempt, whatever its number.
func (h *Holder) writeKey(ctx context.Context, id infra.LeaseID, previousRevision int64) (uint64, bool) {
	res, err := h.o.KV.Commit(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: h.o.Key, ModRevision: previousRevision}},
		Puts:       []infra.Put{{Key: h.o.Key, Value: []byte(h.o.HolderID), Lease: id}},
	})
	if err == nil {
		return FencingNumber(res.Revision), res.Succeeded
	}
	if !errors.Is(err, infra.ErrUnknownOutcome) {
		return 0, false
	}
	item, _, err := h.o.KV.Get(ctx, h.o.Key)
	if err != nil || string(item.Value) != h.o.HolderID || item.Lease != id {
		// The caller revokes the lease, so that a write still in transit fails.
		return 0, false
	}
	return FencingNumber(item.ModRevision), true
}

// renewUntilEnd renews the lease until the term ends and returns the reason for
// its end. A renewal is idempotent, so one whose reply was lost is sent again.
func (h *Holder) renewUntilEnd(ctx context.Context) string {
	pause := h.o.Times.RenewInterval
	for {
		h.mu.Lock()
		untilEnd := time.Until(h.term.validUntil)
		h.mu.Unlock()
		if !h.o.KeepDuringOutage {
			pause = min(pause, max(untilEnd, 0))
		}
		if h.waitOrResign(ctx, pause) {
			return "resigned"
		}
		if ctx.Err() != nil {
			return "released"
		}
		sent := time.Now()
		if h.termExpired(sent) && !h.o.KeepDuringOutage {
			return "not renewed in time"
		}
		remaining, err := h.o.KV.KeepAlive(ctx, h.leaseID)
		switch {
		case errors.Is(err, infra.ErrLeaseNotFound) || err == nil && remaining <= 0:
			return "expired at the key-value store"
		case err != nil:
			pause = min(retryInterval, h.o.Times.RenewInterval)
			h.recordFailedRenewal()
		default:
			pause = h.o.Times.RenewInterval
			h.recordRenewal(sent)
		}
	}
}

// Resign ends the term with the given fencing number, for instance because
// another holder has used a higher one. The next term gets a new number.
func (h *Holder) Resign(number uint64) {
	select {
	case h.resigned <- number:
	default: // a resignation is pending already
	}
}

// waitOrResign waits for d or until ctx ends. It returns true as soon as the
// current term is resigned.
func (h *Holder) waitOrResign(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case number := <-h.resigned:
			h.mu.Lock()
			current := h.term.number == number
			h.mu.Unlock()
			if current {
				return true
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (h *Holder) recordFailedRenewal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewalsFailing = true
}

// recordRenewal extends the term. A renewal that succeeds after the term has
// expired shows that the store has kept the lease. With KeepDuringOutage the
// term then continues.
func (h *Holder) recordRenewal(sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewalsFailing = false
	if now := time.Now(); h.o.KeepDuringOutage && h.term.expired(now) {
		h.term.validUntil = sent.Add(h.term.duration)
		return
	}
	h.term = h.term.extended(sent, time.Now())
}

func (h *Holder) termExpired(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term.expired(now)
}

// endTerm ends the term and then releases the lease.
func (h *Holder) endTerm(reason string) {
	h.mu.Lock()
	number, id := h.term.number, h.leaseID
	h.term, h.leaseID, h.renewalsFailing = term{}, infra.LeaseID{}, false
	h.mu.Unlock()
	if h.o.OnLost != nil {
		h.o.OnLost(number, reason)
	}
	h.release(id)
}

// release revokes the lease. A revocation whose reply was lost is sent again;
// the store then reports that it does not know the lease.
func (h *Holder) release(id infra.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := h.o.KV.Revoke(ctx, id)
		if err == nil || errors.Is(err, infra.ErrLeaseNotFound) {
			return
		}
		ctxtime.Sleep(ctx, retryInterval)
	}
}
