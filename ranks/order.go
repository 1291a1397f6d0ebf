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

// rankReply is the result of one copy of an order.
type rankReply struct {
	outcome Outcome
	err     error
}

// sendToRank sends an order to a rank, duplicates times concurrently, and
// returns the combined result.
func sendToRank(ctx context.Context, e Engine, addr string, o switchover.Order, fencing uint64, duplicates int) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, rankOrderTimeout)
	defer cancel()
	duplicates = max(1, duplicates)
	replies := make(chan rankReply, duplicates)
	for range duplicates {
		go func() {
			outcome, err := e.Order(ctx, addr, o, fencing)
			replies <- rankReply{outcome, err}
		}()
	}
	combined := <-replies
	for range duplicates - 1 {
		if combined.outcome == Done {
			break
		}
		combined = combineReplies(combined, <-replies)
	}
	return combined.outcome, combined.err
}

// replyRank orders the outcomes of the copies of one order by what they show
// about the order. A confirmed copy shows that it was carried out, and a fenced
// one that a coordinator with a higher number exists. A refusal shows something
// only if all copies were refused: a rank refuses the duplicate of an order that
// it has carried out, and the reply to that one may be lost.
var replyRank = [...]int{Refused: 0, NoReply: 1, Fenced: 2, Done: 3}

// combineReplies returns the result of two copies of one order.
func combineReplies(a, b rankReply) rankReply {
	if replyRank[b.outcome] > replyRank[a.outcome] {
		return b
	}
	return a
}
