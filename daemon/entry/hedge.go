package entry

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// runIdempotent tries targets until one answers.
func (c *call) runIdempotent(ctx context.Context) (*callReply, error) {
	for n := 0; ; n++ {
		reply, err := c.hedged(ctx)
		if err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			return nil, errkind.From(ctx.Err())
		}
		if !c.mayTryAgain(err) {
			return nil, err
		}
		c.backoff(ctx, n)
	}
}

// hedge is the race of at most two attempts at an idempotent call.
type hedge struct {
	call     *call
	key      string
	results  chan racer
	running  map[int]time.Time // start times by number of the racer
	launched int
}

type racer struct {
	number int
	dispatchResult
}

// hedged makes one attempt, and a second one at another target when the first
// takes longer than most. The answer that comes first wins and the other
// attempt is cancelled. The second one is paid from the retry budget.
func (c *call) hedged(ctx context.Context) (*callReply, *errkind.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedge{call: c, key: c.backend + "/" + c.dispatch.GetOperation(), results: make(chan racer, 2), running: map[int]time.Time{}}
	if err := h.launch(ctx); err != nil {
		return nil, errkind.From(err)
	}
	var slow <-chan time.Time
	if delay, ok := c.entry.retries.hedgeDelay(h.key); ok && c.attempts < maxCallAttempts {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		slow = timer.C
	}
	for {
		select {
		case <-slow:
			h.second(ctx)
		case r := <-h.results:
			began := h.running[r.number]
			delete(h.running, r.number)
			if r.err == nil {
				h.won(r.number, began)
				return r.reply, nil
			}
			if len(h.running) == 0 {
				return nil, r.err
			}
		}
	}
}

func (h *hedge) second(ctx context.Context) {
	c := h.call
	if !c.entry.retries.take(c.customer.Name) {
		c.entry.counter(metricOverBudget).Inc(1)
		return
	}
	// Without another target the first attempt goes on alone.
	if h.launch(ctx) == nil {
		c.entry.counter(metricHedges).Inc(1)
	}
}

func (h *hedge) launch(ctx context.Context) error {
	to, err := h.call.pick()
	if err != nil {
		return err
	}
	d := &wirepb.Dispatch{
		Idempotent: true,
		Operation:  h.call.dispatch.GetOperation(),
		Method:     h.call.dispatch.GetMethod(),
		Query:      h.call.dispatch.GetQuery(),
		Headers:    h.call.dispatch.GetHeaders(),
		Body:       h.call.dispatch.GetBody(),
	}
	attempt := h.call.prepare(to, d)
	n := h.launched
	h.launched++
	h.running[n] = time.Now()
	go func() { h.results <- racer{n, attempt(ctx)} }()
	return nil
}

// won notes the latencies. That of a loser counts as well: without the slow
// attempts the quantile would sink, and more and more requests be hedged.
func (h *hedge) won(number int, began time.Time) {
	t := h.call.entry.retries
	t.observeLatency(h.key, time.Since(began))
	for _, other := range h.running {
		t.observeLatency(h.key, time.Since(other))
	}
	if number > 0 {
		h.call.entry.counter(metricHedgesWon).Inc(1)
	}
}
