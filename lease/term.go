package lease

import "time"

// Default times of a lease. One lease per data centre renewed every 3 s gives 8
// writes/s at 24 data centres.
const (
	DefaultTTL           = 9 * time.Second
	DefaultRenewInterval = 3 * time.Second
	DefaultMargin        = 2 * time.Second
	DefaultStartDelay    = 2 * time.Second
)

// Times are the times of one lease.
type Times struct {
	// TTL is how long the lease runs without a renewal.
	TTL time.Duration
	// RenewInterval is the pause between renewals.
	RenewInterval time.Duration
	// Margin is how long before the end of the TTL a holder stops.
	Margin time.Duration
	// StartDelay is how long a new holder waits before its first order, so that an
	// order that the former holder sent at its last moment arrives before it.
	// It may be zero where all receivers check fencing numbers.
	StartDelay time.Duration
}

// DefaultTimes are used where the options set none.
var DefaultTimes = Times{TTL: DefaultTTL, RenewInterval: DefaultRenewInterval, Margin: DefaultMargin, StartDelay: DefaultStartDelay}

// Token is what code that sends orders needs. The number is valid only while
// valid is true, and must be asked for anew before each order.
type Token interface {
	Token() (number uint64, valid bool)
}

// term is one holder's time with the lease. It is a pure value.
type term struct {
	number uint64
	from   time.Time
	until  time.Time
	// length is how long the term lasts after a renewal was sent.
	length time.Duration
}

// newTerm starts a term. Granted is before the lease was asked for, since the
// TTL at the service may have begun at any moment after that.
func newTerm(number uint64, granted, taken time.Time, t Times) term {
	length := t.TTL - t.Margin
	return term{number: number, from: taken.Add(t.StartDelay), until: granted.Add(length), length: length}
}

// renewed extends the term; sent is before the renewal was sent. A term that
// has ended stays ended: another holder may have begun.
func (t term) renewed(sent, now time.Time) term {
	if until := sent.Add(t.length); now.Before(t.until) && until.After(t.until) {
		t.until = until
	}
	return t
}

// ended reports whether the holder must have stopped.
func (t term) ended(now time.Time) bool { return !now.Before(t.until) }

// valid reports whether an order may be sent.
func (t term) valid(now time.Time) bool {
	return t.number != 0 && !now.Before(t.from) && !t.ended(now)
}
