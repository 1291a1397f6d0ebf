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
	// pollInterval is how often a candidate looks whether the lease is free.
	pollInterval = time.Second
	// retryInterval is the pause after a call without an answer.
	retryInterval = 500 * time.Millisecond
	// releaseTimeout bounds the release at the end; the lease lapses anyway.
	releaseTimeout = 2 * time.Second
)

// Options describe a lease.
type Options struct {
	KV  infra.KV
	Key string
	// HolderID is unique to this process incarnation. It tells whose a key is
	// after a lost reply.
	HolderID string
	// IsCandidate reports whether this process may take the lease; nil always.
	IsCandidate func() bool
	// Times replace DefaultTimes if TTL is set.
	Times Times
	// HolderDown reports whether the holder is known to have ended, so that its lease
	// need not lapse first; nil never. Like Persist it is only for holders whose
	// orders are fenced, since it may err.
	HolderDown func(holder string) bool
	// KeepDuringOutage keeps the term while the service does not answer. It is only for
	// holders whose orders carry the number and whose receivers refuse lower
	// ones, since another may have taken the lease meanwhile.
	KeepDuringOutage bool
	// OnAcquired and Lost are called on each change; nil is allowed.
	OnAcquired func(number uint64)
	OnLost     func(number uint64, reason string)
}

// Holder competes for a lease and keeps it.
type Holder struct {
	o  Options
	mu sync.Mutex
	t  term
	id infra.LeaseID
	// unanswered is set while renewals get no answer.
	unanswered bool
	resign     chan uint64
}

var _ Token = (*Holder)(nil)

// New returns a holder that does not compete yet.
func New(o Options) *Holder {
	if o.Times.TTL == 0 {
		o.Times = DefaultTimes
	}
	return &Holder{o: o, resign: make(chan uint64, 1)}
}

// Token returns the fencing number and whether an order may be sent now. It
// reads the clock itself, so that a process that was paused past its lease
// finds out before it sends.
func (h *Holder) Token() (number uint64, valid bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.o.KeepDuringOutage && h.unanswered && h.t.number != 0 {
		return h.t.number, true
	}
	return h.t.number, h.t.valid(time.Now())
}

// RenewalsFailing reports whether this process holds the lease and the service does
// not answer its renewals.
func (h *Holder) RenewalsFailing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unanswered && h.t.number != 0
}

// Run competes for the lease until ctx ends, and releases it then.
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
		h.lose(h.keep(ctx))
	}
}

// acquire returns true when this process holds the key.
func (h *Holder) acquire(ctx context.Context) bool {
	former, _, err := h.o.KV.Get(ctx, h.o.Key)
	switch {
	case errors.Is(err, infra.ErrNotFound):
	case err != nil || h.o.HolderDown == nil || !h.o.HolderDown(string(former.Value)):
		return false
	}
	granted := time.Now()
	id, err := h.o.KV.Grant(ctx, h.o.Times.TTL)
	if err != nil {
		return false // a lease whose reply was lost holds no key and lapses
	}
	number, ok := h.take(ctx, id, former.ModRevision)
	if !ok {
		h.release(id)
		return false
	}
	now := time.Now()
	t := newTerm(number, granted, now, h.o.Times)
	if t.ended(now) {
		h.release(id)
		return false
	}
	h.mu.Lock()
	h.t, h.id = t, id
	h.mu.Unlock()
	if h.o.OnAcquired != nil {
		h.o.OnAcquired(number)
	}
	return true
}

// take writes the key if it does not exist, or is still that of the dead holder.
// The fencing number is the revision of that write. A lost reply is resolved by
// reading.
func (h *Holder) take(ctx context.Context, id infra.LeaseID, former int64) (uint64, bool) {
	res, err := h.o.KV.Commit(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: h.o.Key, ModRevision: former}},
		Puts:       []infra.Put{{Key: h.o.Key, Value: []byte(h.o.HolderID), Lease: id}},
	})
	if err == nil {
		return uint64(res.Revision), res.Succeeded
	}
	if !errors.Is(err, infra.ErrUnknownOutcome) {
		return 0, false
	}
	item, _, err := h.o.KV.Get(ctx, h.o.Key)
	if err != nil || string(item.Value) != h.o.HolderID || item.Lease != id {
		// The caller revokes the lease, so that a write still on its way fails.
		return 0, false
	}
	return uint64(item.ModRevision), true
}

// keep renews the lease until the term ends, and returns why it ended. A
// renewal is idempotent, so that one whose reply was lost is sent again.
func (h *Holder) keep(ctx context.Context) string {
	pause := h.o.Times.RenewInterval
	for {
		h.mu.Lock()
		left := time.Until(h.t.until)
		h.mu.Unlock()
		if !h.o.KeepDuringOutage {
			pause = min(pause, max(left, 0))
		}
		if h.pause(ctx, pause) {
			return "resigned"
		}
		if ctx.Err() != nil {
			return "released"
		}
		sent := time.Now()
		if h.ended(sent) && !h.o.KeepDuringOutage {
			return "not renewed in time"
		}
		remaining, err := h.o.KV.KeepAlive(ctx, h.id)
		switch {
		case errors.Is(err, infra.ErrLeaseNotFound) || err == nil && remaining <= 0:
			return "lapsed at the key-value service"
		case err != nil:
			pause = min(retryInterval, h.o.Times.RenewInterval)
			h.noteUnanswered()
		default:
			pause = h.o.Times.RenewInterval
			h.renewed(sent)
		}
	}
}

// Resign ends the term with a number, for instance since another holder has used a
// higher one. The next term has a new number.
func (h *Holder) Resign(number uint64) {
	select {
	case h.resign <- number:
	default: // one is on its way
	}
}

// pause waits, and reports whether the present term was resigned.
func (h *Holder) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case number := <-h.resign:
			h.mu.Lock()
			present := h.t.number == number
			h.mu.Unlock()
			if present {
				return true
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (h *Holder) noteUnanswered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unanswered = true
}

// renewed extends the term. A renewal that succeeds late shows that the lease
// was kept all the while; a holder that persists goes on with it.
func (h *Holder) renewed(sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unanswered = false
	if now := time.Now(); h.o.KeepDuringOutage && h.t.ended(now) {
		h.t.until = sent.Add(h.t.length)
		return
	}
	h.t = h.t.renewed(sent, time.Now())
}

func (h *Holder) ended(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.t.ended(now)
}

// lose ends the term before the lease is released.
func (h *Holder) lose(reason string) {
	h.mu.Lock()
	number, id := h.t.number, h.id
	h.t, h.id, h.unanswered = term{}, 0, false
	h.mu.Unlock()
	if h.o.OnLost != nil {
		h.o.OnLost(number, reason)
	}
	h.release(id)
}

// release revokes the lease. A revocation whose reply was lost is sent again;
// then the service no longer knows the lease.
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
