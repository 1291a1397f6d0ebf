package admission

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkstep/skylarkstep/admission/fairqueue"
	"github.com/skylarkstep/skylarkstep/admission/ramp"
)

const (
	// maxQueued bounds the memory of the queue, at about 200 bytes an item.
	maxQueued = 4096
	// unmeasuredQueue bounds the queue, as a multiple of the limit, until the
	// first completion shows a service time from which waits follow.
	unmeasuredQueue = 2
	// unitWeight makes the service time follow about the last 16 completions.
	unitWeight = 1.0 / 16
	minRetry   = 100 * time.Millisecond
	maxRetry   = 10 * time.Second
	// refusedWindow is how long refused work counts for the retry-after.
	refusedWindow = time.Second
)

// Rule is what the operators set for a target.
type Rule struct {
	Ramp    ramp.Rule
	MaxWait time.Duration
}

// Work asks to start. Cost is the expected service in units: tokens for a model,
// 1 for a call to a plain service.
type Work struct {
	ID       uint64
	Customer string
	Weight   int
	Priority int
	Cost     int
	Deadline time.Time
}

// Decision is final for the work with the ID. Refused work never starts.
type Decision struct {
	ID      uint64
	Start   bool
	Warming bool // the refusal is due to the ramp, not to the full limit
	// RetryAfter tells the caller of refused work when to come back.
	RetryAfter time.Duration
}

// Result is how started work ended. Busy is the time in service without the
// time in which a slow caller held the stream up; Pace is the service time per
// unit, zero if the work was too short to tell.
type Result struct {
	Verdict     ramp.Verdict
	ServiceTime time.Duration
	UnitTime    time.Duration
}

// Report is the load at one moment.
type Report struct {
	Running, Queued, QueuedCost, Limit int
	UnitTime                           time.Duration
	Warming                            bool
}

type started struct {
	epoch uint64
	cost  int
}

// Controller owns the admission of one target.
type Controller struct {
	rule     Rule
	ramp     *ramp.Ramp
	queue    *fairqueue.Queue
	running  map[uint64]started
	unitTime time.Duration
	random   *rand.Rand

	refused   float64 // cost, decaying over refusedWindow
	refusedAt time.Time
	decisions []Decision
}

// NewController returns the controller of a cold target. The seed determines the
// jitter of the retry-after times.
func NewController(rule Rule, seed uint64, now time.Time) *Controller {
	return &Controller{
		rule:    rule,
		ramp:    ramp.New(rule.Ramp, now),
		queue:   fairqueue.New(),
		running: map[uint64]started{},
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetRule takes another rule.
func (c *Controller) SetRule(rule Rule) {
	c.rule = rule
	c.ramp.SetRule(rule.Ramp)
}

// Restarts counts the restarts of the ramp, by relapse or by Restart.
func (c *Controller) Restarts() uint64 { return c.ramp.Restarts() }

// Restart makes the target cold, for example when its data centre comes back.
func (c *Controller) Restart(now time.Time) { c.ramp.Restart(now) }

// Submit takes new work. Its decision comes from Advance, in this or a later
// call.
func (c *Controller) Submit(now time.Time, w Work) {
	cost := max(w.Cost, 1)
	wait := c.wait(now, c.queue.CostAhead(w.Customer, w.Weight, w.Priority))
	giveUp := now.Add(c.rule.MaxWait)
	if last := w.Deadline.Add(-c.serviceTime(cost)); last.Before(giveUp) {
		giveUp = last
	}
	if wait > 0 && now.Add(wait).After(giveUp) {
		c.refuse(now, w.ID, cost)
		return
	}
	if giveUp.Before(now) {
		giveUp = now // a free slot is still worth a try
	}
	c.queue.Push(fairqueue.Item{
		ID: w.ID, Customer: w.Customer, Weight: w.Weight, Priority: w.Priority, Cost: cost, LatestStart: giveUp,
	})
}

// Advance starts and refuses queued work. The decisions are valid until the next
// call.
func (c *Controller) Advance(now time.Time) []Decision {
	for c.queue.Len() > 0 && len(c.running) < c.ramp.Limit(now) {
		it, _ := c.queue.Pop()
		if it.LatestStart.Before(now) {
			c.refuse(now, it.ID, it.Cost)
			continue
		}
		c.running[it.ID] = started{epoch: c.ramp.Start(len(c.running) + 1), cost: it.Cost}
		c.decisions = append(c.decisions, Decision{ID: it.ID, Start: true})
	}
	for _, it := range c.queue.Expire(now) {
		c.refuse(now, it.ID, it.Cost)
	}
	for c.overfull(now) {
		it, _ := c.queue.DropLongest()
		c.refuse(now, it.ID, it.Cost)
	}
	out := c.decisions
	c.decisions = nil
	return out
}

// overfull reports whether the last item would wait longer than the rule allows.
func (c *Controller) overfull(now time.Time) bool {
	n := c.queue.Len()
	if c.unitTime == 0 {
		return n > unmeasuredQueue*c.ramp.UnpausedLimit()
	}
	return n > maxQueued || n > 1 && c.wait(now, c.queue.Cost()) > c.rule.MaxWait
}

// Done ends started work and learns from it.
func (c *Controller) Done(now time.Time, id uint64, r Result) {
	s, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	if r.Verdict == ramp.Healthy {
		c.learn(r.ServiceTime / time.Duration(s.cost))
	}
	c.ramp.Finish(now, ramp.Sample{Epoch: s.epoch, Verdict: r.Verdict, UnitTime: r.UnitTime})
}

func (c *Controller) learn(unit time.Duration) {
	unit = max(unit, 1)
	if c.unitTime == 0 {
		c.unitTime = unit
		return
	}
	c.unitTime += time.Duration(unitWeight * float64(unit-c.unitTime))
	c.unitTime = max(c.unitTime, 1)
}

// Cancel takes work out of the queue. It returns false for work that has been
// decided already.
func (c *Controller) Cancel(id uint64) bool { return c.queue.Remove(id) }

// NextAdvance returns when Advance must be called again even if nothing happens, or
// zero.
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

// Report returns the load.
func (c *Controller) Report(now time.Time) Report {
	return Report{
		Running: len(c.running), Queued: c.queue.Len(), QueuedCost: c.queue.Cost(),
		Limit: c.ramp.Limit(now), UnitTime: c.unitTime, Warming: c.ramp.Warming(),
	}
}

func (c *Controller) serviceTime(cost int) time.Duration {
	return time.Duration(cost) * c.unitTime
}

// wait estimates how long work waits that has the cost ahead of it. It is zero
// if a slot is free.
func (c *Controller) wait(now time.Time, ahead int) time.Duration {
	pause := max(0, c.ramp.PausedUntil().Sub(now))
	limit := c.ramp.UnpausedLimit()
	if pause == 0 && len(c.running)+c.queue.Len() < limit {
		return 0
	}
	return pause + c.serviceTime(ahead+c.meanCost())/time.Duration(limit)
}

// meanCost stands for the work in progress that must end before the first of the
// queue starts.
func (c *Controller) meanCost() int {
	if n := c.queue.Len(); n > 0 {
		return c.queue.Cost() / n
	}
	return 1
}

func (c *Controller) refuse(now time.Time, id uint64, cost int) {
	if gone := now.Sub(c.refusedAt); gone < refusedWindow {
		c.refused *= 1 - float64(gone)/float64(refusedWindow)
	} else {
		c.refused = 0
	}
	c.refused, c.refusedAt = c.refused+float64(cost), now
	// The callers refused lately need this long in all. Each takes a random
	// moment of that time, so that they do not come back together.
	span := max(0, c.ramp.PausedUntil().Sub(now)) +
		c.serviceTime(c.queue.Cost()+int(c.refused))/time.Duration(c.ramp.UnpausedLimit())
	span = min(max(span, minRetry), maxRetry)
	c.decisions = append(c.decisions, Decision{
		ID: id, Warming: c.ramp.Warming(), RetryAfter: minRetry + time.Duration(c.random.Int64N(int64(span))),
	})
}
