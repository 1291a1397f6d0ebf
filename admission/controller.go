package admission

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkstep/skylarkstep/admission/fairqueue"
	"github.com/skylarkstep/skylarkstep/admission/ramp"
)

const (
	// maxQueued limits the memory of the queue. An item takes about 200 bytes.
	maxQueued = 4096
	// initialQueueFactor limits the queue length, as a multiple of the concurrency
	// limit, until the first completion yields a service time to estimate waits from.
	initialQueueFactor = 2
	// unitTimeWeight is the smoothing factor of the average service time per unit,
	// which covers about the last 16 completions.
	unitTimeWeight = 1.0 / 16
	minRetryAfter  = 100 * time.Millisecond
	maxRetryAfter  = 10 * time.Second
	// refusedWindow is the time over which refused work raises the Retry-After.
	refusedWindow = time.Second
)

// Rule holds the admission settings of a target. MaxWait is the longest time that
// work may stay in the queue.
type Rule struct {
	Ramp    ramp.Rule
	MaxWait time.Duration
}

// Work is a request that waits for admission. Cost is the expected amount of
// service in units: tokens for a model, 1 for a call to a plain service. Weight is
// the customer's share in relation to other customers. Priority orders the work of
// one customer, highest first. Work stays queued only while its Deadline can still
// be met.
type Work struct {
	ID       uint64
	Customer string
	Weight   int
	Priority int
	Cost     int
	Deadline time.Time
}

// Decision is the final result of admission for the work with the ID. Refused
// work never starts.
type Decision struct {
	ID      uint64
	Start   bool
	Warming bool // refused while the ramp was still below the full limit
	// RetryAfter is the time after which the caller of refused work should retry.
	RetryAfter time.Duration
}

// Result describes how started work ended. ServiceTime excludes the time in which
// a slow caller blocked the stream. UnitTime is the service time per unit, or zero
// if the work was too short to measure it.
type Result struct {
	Verdict     ramp.Verdict
	ServiceTime time.Duration
	UnitTime    time.Duration
}

// Report is the load of a target at one moment. Limit is the current concurrency
// limit, or zero during a pause of the ramp. UnitTime is the average service time per
// unit, or zero before the first healthy completion.
type Report struct {
	Running, Queued, QueuedCost, Limit int
	UnitTime                           time.Duration
	Warming                            bool
}

// runningWork is started work. epoch is the ramp epoch in which it started.
type runningWork struct {
	epoch uint64
	cost  int
}

// Controller decides the admission of work at one target. It is not safe for
// concurrent use.
type Controller struct {
	rule     Rule
	ramp     *ramp.Ramp
	queue    *fairqueue.Queue
	running  map[uint64]runningWork
	unitTime time.Duration
	random   *rand.Rand

	refusedCost float64 // decays over refusedWindow; as of refusedAt
	refusedAt   time.Time
	decisions   []Decision
}

// NewController returns the controller of a target that starts its warm-up. The
// seed determines the jitter of the Retry-After times.
func NewController(rule Rule, seed uint64, now time.Time) *Controller {
	return &Controller{
		rule:    rule,
		ramp:    ramp.New(rule.Ramp, now),
		queue:   fairqueue.New(),
		running: map[uint64]runningWork{},
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetRule replaces the rule.
func (c *Controller) SetRule(rule Rule) {
	c.rule = rule
	c.ramp.SetRule(rule.Ramp)
}

// Restarts returns the number of restarts of the ramp, by relapse or by Restart.
func (c *Controller) Restarts() uint64 { return c.ramp.Restarts() }

// Restart starts the warm-up again, for example when the target's data centre is
// available again.
func (c *Controller) Restart(now time.Time) { c.ramp.Restart(now) }

// Submit queues or refuses new work. The next or a later call of Advance returns
// the decision.
func (c *Controller) Submit(now time.Time, w Work) {
	cost := max(w.Cost, 1)
	wait := c.estimateWait(now, c.queue.CostAhead(w.Customer, w.Weight, w.Priority))
	latestStart := now.Add(c.rule.MaxWait)
	if latestForDeadline := w.Deadline.Add(-c.serviceTime(cost)); latestForDeadline.Before(latestStart) {
		latestStart = latestForDeadline
	}
	if wait > 0 && now.Add(wait).After(latestStart) {
		c.refuse(now, w.ID, cost)
		return
	}
	if latestStart.Before(now) {
		latestStart = now // it may still start at once in a free slot
	}
	c.queue.Push(fairqueue.Item{
		ID: w.ID, Customer: w.Customer, Weight: w.Weight, Priority: w.Priority, Cost: cost, LatestStart: latestStart,
	})
}

// Advance starts and refuses queued work, and returns the decisions since the
// last call.
func (c *Controller) Advance(now time.Time) []Decision {
	for c.queue.Len() > 0 && len(c.running) < c.ramp.Limit(now) {
		it, _ := c.queue.Pop()
		if it.LatestStart.Before(now) {
			c.refuse(now, it.ID, it.Cost)
			continue
		}
		c.running[it.ID] = runningWork{epoch: c.ramp.Start(len(c.running) + 1), cost: it.Cost}
		c.decisions = append(c.decisions, Decision{ID: it.ID, Start: true})
	}
	for _, it := range c.queue.Expire(now) {
		c.refuse(now, it.ID, it.Cost)
	}
	for c.queueTooLong(now) {
		it, _ := c.queue.DropLongest()
		c.refuse(now, it.ID, it.Cost)
	}
	out := c.decisions
	c.decisions = nil
	return out
}

// queueTooLong reports whether the last item would wait longer than the rule
// allows, or whether the queue exceeds its maximum length.
func (c *Controller) queueTooLong(now time.Time) bool {
	n := c.queue.Len()
	if c.unitTime == 0 {
		return n > initialQueueFactor*c.ramp.UnpausedLimit()
	}
	return n > maxQueued || n > 1 && c.estimateWait(now, c.queue.Cost()) > c.rule.MaxWait
}

// Done records the end of started work and passes its result to the ramp. It
// ignores an unknown ID.
func (c *Controller) Done(now time.Time, id uint64, r Result) {
	s, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	if r.Verdict == ramp.Healthy {
		c.updateUnitTime(r.ServiceTime / time.Duration(s.cost))
	}
	c.ramp.Finish(now, ramp.Sample{Epoch: s.epoch, Verdict: r.Verdict, UnitTime: r.UnitTime})
}

// updateUnitTime adds a measured service time per unit to the moving average.
func (c *Controller) updateUnitTime(measured time.Duration) {
	measured = max(measured, 1)
	if c.unitTime == 0 {
		c.unitTime = measured
		return
	}
	c.unitTime += time.Duration(unitTimeWeight * float64(measured-c.unitTime))
	c.unitTime = max(c.unitTime, 1)
}

// Cancel removes work from the queue. It returns false for work that is no longer
// queued.
func (c *Controller) Cancel(id uint64) bool { return c.queue.Remove(id) }

// NextAdvance returns the time by which Advance must be called even if no method is
// called before then, or zero for an empty queue.
func (c *Controller) NextAdvance(now time.Time) time.Time {
	if c.queue.Len() == 0 {
		return time.Time{}
	}
	at := c.queue.NextExpiry()
	if p := c.ramp.PausedUntil(); p.After(now) && p.Before(at) {
		at = p
	}
	return at
}

// Report returns the current load of the target.
func (c *Controller) Report(now time.Time) Report {
	return Report{
		Running: len(c.running), Queued: c.queue.Len(), QueuedCost: c.queue.Cost(),
		Limit: c.ramp.Limit(now), UnitTime: c.unitTime, Warming: c.ramp.Warming(),
	}
}

func (c *Controller) serviceTime(cost int) time.Duration {
	return time.Duration(cost) * c.unitTime
}

// estimateWait estimates the waiting time of work with the given cost ahead of it
// in the queue. It is zero if a slot is free.
func (c *Controller) estimateWait(now time.Time, costAhead int) time.Duration {
	pause := max(0, c.ramp.PausedUntil().Sub(now))
	limit := c.ramp.UnpausedLimit()
	if pause == 0 && len(c.running)+c.queue.Len() < limit {
		return 0
	}
	return pause + c.serviceTime(costAhead+c.meanQueuedCost())/time.Duration(limit)
}

// meanQueuedCost returns the mean cost of a queued item. It approximates the work
// in progress that must end before the first queued item starts.
func (c *Controller) meanQueuedCost() int {
	if n := c.queue.Len(); n > 0 {
		return c.queue.Cost() / n
	}
	return 1
}

// refuse adds a refusal with a random Retry-After to the decisions.
func (c *Controller) refuse(now time.Time, id uint64, cost int) {
	if elapsed := now.Sub(c.refusedAt); elapsed < refusedWindow {
		c.refusedCost *= 1 - float64(elapsed)/float64(refusedWindow)
	} else {
		c.refusedCost = 0
	}
	c.refusedCost, c.refusedAt = c.refusedCost+float64(cost), now
	// span is the time that the target needs to serve its queue and the recently
	// refused work. Each refused caller retries at a random moment within span, so
	// that they do not all retry at the same time.
	span := max(0, c.ramp.PausedUntil().Sub(now)) +
		c.serviceTime(c.queue.Cost()+int(c.refusedCost))/time.Duration(c.ramp.UnpausedLimit())
	span = min(max(span, minRetryAfter), maxRetryAfter)
	c.decisions = append(c.decisions, Decision{
		ID: id, Warming: c.ramp.Warming(), RetryAfter: minRetryAfter + time.Duration(c.random.Int64N(int64(span))),
	})
}
