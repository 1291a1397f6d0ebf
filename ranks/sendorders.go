package ranks

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
)

const (
	// prepareRetryInterval is the time that a rank has for copying experts
	// before the prepare order is sent again.
	prepareRetryInterval = 1500 * time.Millisecond
	// refusedReplanDelay is the pause before a new plan after a rank has
	// refused a map.
	refusedReplanDelay = 500 * time.Millisecond
)

// sentPrepare is the last prepare order that a rank has accepted or may have
// accepted. Without an answer, at is the time of the first order of the version.
type sentPrepare struct {
	version  uint64
	at       time.Time
	answered bool
}

// withoutBusyPrepares returns the orders without the prepare orders that a rank
// is still carrying out.
func (c *coordinator) withoutBusyPrepares(orders []switchover.Order, now time.Time) []switchover.Order {
	var out []switchover.Order
	for _, o := range orders {
		s := c.lastPrepare[o.Rank]
		if o.Operation == switchover.Prepare && s.answered && s.version == o.Version && now.Sub(s.at) < prepareRetryInterval {
			continue
		}
		out = append(out, o)
	}
	return out
}

// sendOrders sends orders and reports whether all ranks have confirmed them.
func (c *coordinator) sendOrders(ctx context.Context, orders []switchover.Order) (confirmed bool) {
	confirmed = true
	duplicates := 1
	if time.Now().Before(c.lossyUntil) {
		duplicates = lossyDuplicates
	}
	results := c.links.sendOrders(ctx, orders, c.fencing, duplicates, c.token)
	settledAt := time.Now()
	for _, res := range results {
		o := res.order
		confirmed = confirmed && res.outcome == Done
		if res.outcome != NotSent {
			c.history.Record(o, res.outcome == Done, settledAt)
		}
		if res.outcome == NoReply {
			c.lossyUntil = time.Now().Add(lossyPeriod)
		}
		switch {
		case res.outcome == Done && o.Operation == switchover.Prepare:
			c.lastPrepare[o.Rank] = sentPrepare{version: o.Version, at: time.Now(), answered: true}
		case res.outcome == NoReply && o.Operation == switchover.Prepare:
			c.recordUnansweredPrepare(o, time.Now())
		case res.outcome == Refused && o.Operation == switchover.Prepare:
			c.handleRefusedPrepare(o, res.err, time.Now())
		case res.outcome == Fenced:
			c.supersededFencing = c.fencing
			c.log.Warn("order fenced", "rank", o.Rank, "operation", string(o.Operation), "fencing", c.fencing)
		}
		c.log.Info("order", "operation", string(o.Operation), "rank", o.Rank, "version", o.Version, "step", o.Step,
			"epoch", o.Epoch, "fencing", c.fencing, "outcome", outcomeNames[res.outcome])
	}
	return confirmed
}

// recordUnansweredPrepare records a prepare order that the rank may have
// accepted.
func (c *coordinator) recordUnansweredPrepare(o switchover.Order, now time.Time) {
	if c.lastPrepare[o.Rank].version != o.Version {
		c.lastPrepare[o.Rank] = sentPrepare{version: o.Version, at: now}
	}
}

// handleRefusedPrepare drops the plan unless an order of the same version was
// sent without an answer before. A rank refuses a version that it has had, so
// the refusal may mean that it is copying the experts. It then has as much time
// for that as if it had confirmed the order.
func (c *coordinator) handleRefusedPrepare(o switchover.Order, reason string, now time.Time) {
	s := c.lastPrepare[o.Rank]
	if s.version == o.Version && !s.answered && now.Sub(s.at) < prepareRetryInterval {
		s.answered = true
		c.lastPrepare[o.Rank] = s
		return
	}
	c.log.Warn("map refused", "rank", o.Rank, "version", o.Version, "error", reason)
	c.plan, c.mapKnown = switchover.Plan{}, false
	c.noPlanUntil = now.Add(refusedReplanDelay)
}
