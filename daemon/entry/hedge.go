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
		reply, err := c.runHedged(ctx)
		if err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			return nil, errkind.From(ctx.Err())
		}
		if !c.canRetry(err) {
			return nil, err
		}
		c.backoff(ctx, n)
	}
}

// hedge is the race of at most two attempts at an idempotent call.
type hedge struct {
	call       *call
	latencyKey string
	results    chan hedgeResult
	startTimes map[int]time.Time // start times by number of the racer
	launches   int
}

type hedgeResult struct {
	number int
	dispatchResult
}

// runHedged makes one attempt, and a second one at another target when the first
// takes longer than most. The answer that comes first wins and the other
// attempt is cancelled. The second one is paid from the retry budget.
func (c *call) runHedged(ctx context.Context) (*callReply, *errkind.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedge{call: c, latencyKey: c.backend + "/" + c.dispatch.GetOperation(), results: make(chan hedgeResult, 2), startTimes: map[int]time.Time{}}
	if err := h.launchAttempt(ctx); err != nil {
		return nil, errkind.From(err)
	}
	var slow <-chan time.Time
	if delay, ok := c.entry.retries.hedgeDelay(h.latencyKey); ok && c.attempts < maxCallAttempts {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		slow = timer.C
	}
	for {
		select {
		case <-slow:
			h.launchSecond(ctx)
		case r := <-h.results:
			startedAt := h.startTimes[r.number]
			delete(h.startTimes, r.number)
			if r.err == nil {
				h.recordWin(r.number, startedAt)
				return r.reply, nil
			}
			if len(h.startTimes) == 0 {
				return nil, r.err
			}
		}
	}
}

func (h *hedge) launchSecond(ctx context.Context) {
	c := h.call
	if !c.entry.retries.takeRetry(c.customer.Name) {
		c.entry.counter(metricOverBudget).Inc(1)
		return
	}
	// Without another target the first attempt goes on alone.
	if h.launchAttempt(ctx) == nil {
		c.entry.counter(metricHedges).Inc(1)
	}
}

func (h *hedge) launchAttempt(ctx context.Context) error {
	to, err := h.call.pickTarget()
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
	attempt := h.call.prepareAttempt(to, d)
	n := h.launches
	h.launches++
	h.startTimes[n] = time.Now()
	go func() { h.results <- hedgeResult{n, attempt(ctx)} }()
	return nil
}

// recordWin notes the latencies. That of a loser counts as well: without the slow
// attempts the quantile would sink, and more and more requests be hedged.
func (h *hedge) recordWin(number int, startedAt time.Time) {
	t := h.call.entry.retries
	t.observeLatency(h.latencyKey, time.Since(startedAt))
	for _, other := range h.startTimes {
		t.observeLatency(h.latencyKey, time.Since(other))
	}
	if number > 0 {
		h.call.entry.counter(metricHedgesWon).Inc(1)
	}
}
