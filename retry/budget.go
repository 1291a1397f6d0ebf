package retry

import (
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// Default values of the budgets.
const (
	DefaultRetryRatio = 0.1 // retries per first attempt
	// The burst allows an entry to move all requests of a failed target at once,
	// and a customer with little traffic to retry at all.
	DefaultEntryBurst    = 100
	DefaultCustomerBurst = 20
)

// Budget is a token bucket that first attempts fill and retries empty, so that
// retries can't multiply the load during an outage. A first attempt adds ratio
// tokens, up to burst; a retry takes one.
type Budget struct {
	ratio, burst, tokens float64
}

// NewBudget returns a full bucket that allows ratio retries per first attempt
// and burst retries at once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// RecordFirstAttempt adds the tokens of one first attempt.
func (b *Budget) RecordFirstAttempt() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Budgets holds the budget of an entry and those of its customers. A retry is
// taken from both, so that the failures of one customer don't use up the
// retries of all.
type Budgets struct {
	entry     *Budget
	customers map[string]*Budget
}

// NewBudgets returns full budgets with the default values.
func NewBudgets() *Budgets {
	return &Budgets{entry: NewBudget(DefaultRetryRatio, DefaultEntryBurst), customers: map[string]*Budget{}}
}

func (b *Budgets) customer(name string) *Budget {
	c := b.customers[name]
	if c == nil {
		c = NewBudget(DefaultRetryRatio, DefaultCustomerBurst)
		b.customers[name] = c
	}
	return c
}

// RecordFirstAttempt records a first attempt of the customer.
func (b *Budgets) RecordFirstAttempt(customer string) {
	b.entry.RecordFirstAttempt()
	b.customer(customer).RecordFirstAttempt()
}

// TakeRetry takes one retry of the customer from the budgets. It returns false
// if one of them is exhausted.
func (b *Budgets) TakeRetry(customer string) bool {
	c := b.customer(customer)
	if b.entry.tokens < 1 || c.tokens < 1 {
		return false
	}
	b.entry.tokens--
	c.tokens--
	return true
}

// Retryable reports whether an attempt that failed with err may be repeated at
// another target: another target may succeed, and the attempt did not run or
// the operation is idempotent.
func Retryable(err *errkind.Error, idempotent bool) bool {
	return err.Kind.Response().FailOver && (idempotent || err.DidRun == errkind.NotRun)
}

// BudgetExempt reports whether a retry after err needs no budget. The target
// that failed accepts no further work, or nothing was written to it because its
// session has ended. Such retries end as soon as the entry receives its new state,
// and moving its load to the other targets is their purpose.
func BudgetExempt(err *errkind.Error) bool {
	if err.DidRun != errkind.NotRun {
		return false
	}
	switch err.Kind {
	case errkind.Leaving, errkind.StaleIncarnation, errkind.TargetUnreachable:
		return true
	default:
		return false
	}
}

// Limits of the backoff.
const (
	baseDelay = 10 * time.Millisecond
	maxDelay  = 250 * time.Millisecond
)

// Backoff returns the delay before a retry, counted from zero. The maximum of
// the delay doubles with each retry, up to maxDelay. random, which is in [0,1),
// spreads the delay between half of the maximum and the maximum, so that
// requests that failed together are not retried together.
func Backoff(retry int, random float64) time.Duration {
	d := baseDelay
	for range retry {
		d = min(2*d, maxDelay)
	}
	return d/2 + time.Duration(random*float64(d/2))
}
