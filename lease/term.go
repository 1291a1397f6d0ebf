package lease

import "time"

// Default times of a lease. One lease per data centre, renewed every 3 s,
// causes 8 writes/s at 24 data centres.
const (
	DefaultTTL           = 9 * time.Second
	DefaultRenewInterval = 3 * time.Second
	DefaultMargin        = 2 * time.Second
	DefaultStartDelay    = 2 * time.Second
)

// Times are the time settings of a lease.
type Times struct {
	// TTL is the time after which the store expires a lease that is not
	// renewed.
	TTL time.Duration
	// RenewInterval is the interval of renewals.
	RenewInterval time.Duration
	// Margin is the time before the end of the TTL at which a holder stops.
	Margin time.Duration
	// StartDelay is the time that a new holder waits before its first order, so
	// that an order which the previous holder sent at its last moment arrives
	// before it. It may be zero if all receivers check fencing numbers.
	StartDelay time.Duration
}

// DefaultTimes are the times of a lease whose options set none.
var DefaultTimes = Times{TTL: DefaultTTL, RenewInterval: DefaultRenewInterval, Margin: DefaultMargin, StartDelay: DefaultStartDelay}

// Token provides the fencing number for orders. An order may be sent only if
// valid is true, and Token must be called again before each order.
type Token interface {
	Token() (number uint64, valid bool)
}

// term is the period in which one process holds the lease. Its methods read no
// clock.
type term struct {
	number     uint64
	validFrom  time.Time
	validUntil time.Time
	// duration is the time from the sending of a renewal to the end of the
	// term.
	duration time.Duration
}

// newTerm returns a term that starts at acquired. Its end is counted from
// requested, a moment before the lease was requested, since the TTL at the
// store may have begun at any moment after it.
func newTerm(number uint64, requested, acquired time.Time, times Times) term {
	duration := times.TTL - times.Margin
	return term{number: number, validFrom: acquired.Add(times.StartDelay), validUntil: requested.Add(duration), duration: duration}
}

// extended returns the term extended by a renewal; sent is a moment before the
// renewal was sent. A term that has expired stays expired because another
// holder may have begun its term.
func (t term) extended(sent, now time.Time) term {
	if until := sent.Add(t.duration); now.Before(t.validUntil) && until.After(t.validUntil) {
		t.validUntil = until
	}
	return t
}

// expired reports whether the term is over, so that the holder must have
// stopped.
func (t term) expired(now time.Time) bool { return !now.Before(t.validUntil) }

// valid reports whether an order may be sent at now.
func (t term) valid(now time.Time) bool {
	return t.number != 0 && !now.Before(t.validFrom) && !t.expired(now)
}
