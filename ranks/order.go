package ranks

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
)

const (
	// giveTimeout bounds one order to a rank, which answers in a few
	// milliseconds. An order without an answer may be carried out later.
	giveTimeout = 80 * time.Millisecond
	// lossyCopies is how many times an order is given at once while answers are
	// lost. All orders may be given several times.
	lossyCopies = 3
	// lossyMemory is how long after an order without an answer the next are
	// given several times.
	lossyMemory = 8 * time.Second
)

// give gives an order to a rank, several times at once if copies is over 1, and
// returns the best answer.
func give(ctx context.Context, e Engine, addr string, o switchover.Order, fencing uint64, copies int) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, giveTimeout)
	defer cancel()
	type answer struct {
		outcome Outcome
		err     error
	}
	copies = max(1, copies)
	answers := make(chan answer, copies)
	for range copies {
		go func() {
			outcome, err := e.Order(ctx, addr, o, fencing)
			answers <- answer{outcome, err}
		}()
	}
	best := answer{outcome: NoReply, err: ctx.Err()}
	for range copies {
		a := <-answers
		if a.outcome == Done {
			return Done, nil
		}
		if a.outcome != NoReply || best.err == nil {
			best = a
		}
	}
	return best.outcome, best.err
}
