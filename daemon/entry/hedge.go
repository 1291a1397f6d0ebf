package entry

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// runIdempotent attempts the call at several targets until one succeeds or no
// retry is allowed.
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
			return nil, c.withTrueDidRun(err)
		}
		c.backoff(ctx, n)
	}
}

// hedgedAttempt is an attempt at an idempotent call, and at most one hedge
// attempt that runs concurrently with it.
type hedgedAttempt struct {
	call       *call
	latencyKey string
	results    chan hedgeResult
	startTimes map[int]time.Time // of the running attempts, by their number
	launches   int
}

type hedgeResult struct {
	number int
	dispatchResult
}

// runHedged makes one attempt, and a hedge attempt at another target when the
// first one takes longer than most. The first response to arrive is returned,
// and the other attempt is cancelled. The hedge attempt is taken from the retry
// budget.
func (c *call) runHedged(ctx context.Context) (*callReply, *errkind.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedgedAttempt{call: c, latencyKey: c.backend + "/" + c.dispatch.GetOperation(), results: make(chan hedgeResult, 2), startTimes: map[int]time.Time{}}
	if err := h.launchAttempt(ctx); err != nil {
		return nil, errkind.From(err)
	}
	var hedgeDue <-chan time.Time
	if delay, ok := c.entry.retries.hedgeDelay(h.latencyKey); ok && c.attempts < maxCallAttempts {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedgeDue = timer.C
	}
	for {
		select {
		case <-hedgeDue:
			h.launchHedge(ctx)
		case r := <-h.results:
			startedAt := h.startTimes[r.number]
			delete(h.startTimes, r.number)
			if r.err == nil {
				h.recordWin(r.number, startedAt)
				return r.reply, nil
			}
			c.recordFailure(r.err)
			if len(h.startTimes) == 0 {
				return nil, r.err
			}
		}
	}
}

// launchHedge starts the hedge attempt if the retry budget allows it.
func (h *hedgedAttempt) launchHedge(ctx context.Context) {
	c := h.call
	if !c.entry.retries.takeRetry(c.customer.Name) {
		c.entry.counter(metricOverBudget).Inc(1)
		return
	}
	// Without another target, the first attempt continues alone.
	if h.launchAttempt(ctx) == nil {
		c.entry.counter(metricHedges).Inc(1)
	}
}

// launchAttempt starts an attempt, whose result is sent to results.
func (h *hedgedAttempt) launchAttempt(ctx context.Context) error {
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

// recordWin records the latency of the attempt that succeeded and of one that
// is still running. Without the slow attempts, the estimated quantile would
// sink, and more and more requests would be hedged.
func (h *hedgedAttempt) recordWin(number int, startedAt time.Time) {
	t := h.call.entry.retries
	t.observeLatency(h.latencyKey, time.Since(startedAt))
	for _, other := range h.startTimes {
		t.observeLatency(h.latencyKey, time.Since(other))
	}
	if number > 0 {
		h.call.entry.counter(metricHedgesWon).Inc(1)
	}
}
