package ranks

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
)

const (
	// rankOrderTimeout is the timeout of one order to a rank, which replies
	// within a few milliseconds. An order that gets no reply may still be
	// carried out later.
	rankOrderTimeout = 80 * time.Millisecond
	// lossyDuplicates is the number of times that an order is sent concurrently
	// while replies get lost. Duplicates are safe for all orders.
	lossyDuplicates = 3
	// lossyPeriod is the time after an order without a reply in which orders
	// are sent lossyDuplicates times.
	lossyPeriod = 8 * time.Second
)

// sendToRank sends an order to a rank, duplicates times concurrently, and
// returns the best result: Done if any order was confirmed, otherwise a reply
// rather than none.
func sendToRank(ctx context.Context, e Engine, addr string, o switchover.Order, fencing uint64, duplicates int) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, rankOrderTimeout)
	defer cancel()
	type reply struct {
		outcome Outcome
		err     error
	}
	duplicates = max(1, duplicates)
	replies := make(chan reply, duplicates)
	for range duplicates {
		go func() {
			outcome, err := e.Order(ctx, addr, o, fencing)
			replies <- reply{outcome, err}
		}()
	}
	best := reply{outcome: NoReply, err: ctx.Err()}
	for range duplicates {
		r := <-replies
		if r.outcome == Done {
			return Done, nil
		}
		if r.outcome != NoReply || best.err == nil {
			best = r
		}
	}
	return best.outcome, best.err
}
