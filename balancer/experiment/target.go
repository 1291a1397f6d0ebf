package experiment

import (
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/admission"
	"github.com/skylarkstep/skylarkstep/admission/ramp"
)

// Properties of the engines.
const (
	slots              = 16
	prefillTime        = 120 * time.Millisecond
	cachedPrefillTime  = 20 * time.Millisecond
	tokenInterval      = 5 * time.Millisecond // with all slots in use
	idleFactor         = 0.6                  // part of tokenInterval that does not depend on the load
	cacheSize          = 32
	warmingConcurrency = 4 // more concurrent requests overload the engine in warm-up
	engineWarmUpTime   = 4 * time.Second
	engineFailureTime  = 2 * time.Second // after an overload
	// capacity of a target in requests per second if half of the prefixes are
	// cached: 16 slots over 0.07 s + 64 tokens of 5 ms.
	capacity = slots / (0.07 + meanTokens*0.005)
)

// target simulates an engine behind an admission controller.
type target struct {
	loop             *loop
	controller       *admission.Controller
	slowdown         float64
	unavailable      bool
	ignoresDeadlines bool
	waiting          map[uint64]*attempt
	running          map[uint64]*attempt
	lastID           uint64
	cache            []uint64 // least recently used first
	warmingUntil     time.Time
	failingUntil     time.Time
	nextAdvanceAt    time.Time

	served, cacheHits, overloads int
}

func newTarget(l *loop, rule admission.Rule, seed uint64) *target {
	return &target{
		loop: l, controller: admission.NewController(rule, seed, l.now), slowdown: 1,
		waiting: map[uint64]*attempt{}, running: map[uint64]*attempt{},
	}
}

// attempt is one request at one target.
type attempt struct {
	request   *request
	id        uint64
	startedAt time.Time
	prefill   time.Duration
	tokenTime time.Duration
	ended     bool
	// done is called once, with the outcome of the attempt.
	done func(outcome)
}

// outcome describes how an attempt ended.
type outcome struct {
	kind       outcomeKind
	retryAfter time.Duration
}

type outcomeKind uint8

const (
	complete outcomeKind = iota
	refused
	failed
	deadlineMissed
)

func (t *target) submit(a *attempt) {
	if t.unavailable {
		a.done(outcome{kind: refused, retryAfter: time.Second})
		return
	}
	t.lastID++
	a.id = t.lastID
	t.waiting[a.id] = a
	deadline := a.request.deadline
	if t.ignoresDeadlines {
		deadline = deadline.Add(time.Hour)
	}
	t.controller.Submit(t.loop.now, admission.Work{
		ID: a.id, Customer: a.request.customer, Weight: 1, Cost: a.request.expected, Deadline: deadline,
	})
	t.advance()
}

// advance carries out the controller's decisions and schedules its next call.
func (t *target) advance() {
	for _, d := range t.controller.Advance(t.loop.now) {
		a := t.waiting[d.ID]
		delete(t.waiting, d.ID)
		if d.Start {
			t.start(a)
		} else {
			a.done(outcome{kind: refused, retryAfter: d.RetryAfter})
		}
	}
	next := t.controller.NextAdvance(t.loop.now)
	if next.IsZero() || next.Equal(t.nextAdvanceAt) {
		return
	}
	t.nextAdvanceAt = next
	t.loop.at(next, func() {
		if t.nextAdvanceAt.Equal(next) {
			t.nextAdvanceAt = time.Time{}
			t.advance()
		}
	})
}

// start runs the attempt on the engine.
func (t *target) start(a *attempt) {
	now := t.loop.now
	a.startedAt = now
	t.running[a.id] = a
	if now.Before(t.warmingUntil) && len(t.running) > warmingConcurrency {
		t.overloads++
		t.failingUntil = now.Add(engineFailureTime)
	}
	if now.Before(t.failingUntil) {
		// The failure is a separate event, because the controller's decisions are
		// still being carried out here.
		t.loop.after(0, t.failRunning)
		return
	}
	a.prefill = prefillTime
	if t.lookupPrefix(a.request.prefix) {
		a.prefill = cachedPrefillTime
		t.cacheHits++
	}
	t.served++
	occupancyFactor := idleFactor + (1-idleFactor)*float64(min(len(t.running), slots))/slots
	a.prefill = time.Duration(float64(a.prefill) * t.slowdown)
	a.tokenTime = time.Duration(float64(tokenInterval) * occupancyFactor * t.slowdown)
	t.loop.after(a.prefill, func() {
		if !a.ended {
			a.request.recordFirstToken(t.loop.now)
		}
	})
	done := now.Add(a.prefill + time.Duration(a.request.tokens)*a.tokenTime)
	switch missesDeadline := done.After(a.request.deadline); {
	case missesDeadline && t.ignoresDeadlines:
		t.loop.at(done, func() { t.finish(a, deadlineMissed) })
	case missesDeadline:
		t.loop.at(a.request.deadline, func() { t.finish(a, deadlineMissed) })
	default:
		t.loop.at(done, func() { t.finish(a, complete) })
	}
}

// failRunning fails all attempts in progress.
func (t *target) failRunning() {
	ids := make([]uint64, 0, len(t.running))
	for id := range t.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if a := t.running[id]; a != nil {
			t.finish(a, failed)
		}
	}
}

func (t *target) finish(a *attempt, kind outcomeKind) {
	if a.ended {
		return
	}
	a.ended = true
	delete(t.running, a.id)
	verdict := map[outcomeKind]ramp.Verdict{complete: ramp.Healthy, failed: ramp.Failed}[kind]
	t.controller.Done(t.loop.now, a.id, admission.Result{
		Verdict: verdict, ServiceTime: t.loop.now.Sub(a.startedAt), UnitTime: a.tokenTime,
	})
	a.done(outcome{kind: kind})
	t.advance()
}

// lookupPrefix reports whether the prefix is cached, and makes it the most recently
// used one.
func (t *target) lookupPrefix(prefix uint64) bool {
	i := slices.Index(t.cache, prefix)
	if i >= 0 {
		t.cache = slices.Delete(t.cache, i, i+1)
	} else if len(t.cache) == cacheSize {
		t.cache = slices.Delete(t.cache, 0, 1)
	}
	t.cache = append(t.cache, prefix)
	return i >= 0
}

// restore makes the target available again, with an engine in warm-up and an empty
// cache.
func (t *target) restore() {
	t.unavailable = false
	t.cache = nil
	t.warmingUntil = t.loop.now.Add(engineWarmUpTime)
	t.controller.Restart(t.loop.now)
}

// runningTokens returns the number of expected tokens that are not sent yet.
func (t *target) runningTokens() int {
	sum := 0
	for _, a := range t.running {
		sent := 0
		if elapsed := t.loop.now.Sub(a.startedAt) - a.prefill; elapsed > 0 && a.tokenTime > 0 {
			sent = int(elapsed / a.tokenTime)
		}
		sum += max(1, a.request.expected-sent)
	}
	return sum
}
