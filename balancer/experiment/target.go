package experiment

import (
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/admission"
	"github.com/skylarkstep/skylarkstep/admission/ramp"
)

// Properties of the engines.
const (
	slots         = 16
	prefillTime   = 120 * time.Millisecond
	cachedPrefill = 20 * time.Millisecond
	tokenInterval = 5 * time.Millisecond // with all slots in use
	idleShare     = 0.6                  // of tokenInterval with one slot in use
	cacheSize     = 32
	coldBears     = 4
	coldTime      = 4 * time.Second
	fallTime      = 2 * time.Second
	// capacity of a target in requests per second if half of the prefixes are
	// cached: 16 slots over 0.07 s + 64 tokens of 5 ms.
	capacity = slots / (0.07 + meanTokens*0.005)
)

// target is an engine behind an admission controller.
type target struct {
	loop       *loop
	controller *admission.Controller
	slow       float64
	out        bool
	blind      bool // to deadlines
	waiting    map[uint64]*attempt
	running    map[uint64]*attempt
	lastID     uint64
	cache      []uint64 // least recently used first
	coldUntil  time.Time
	fallUntil  time.Time
	wakeAt     time.Time

	served, hits, overruns int
}

func newTarget(l *loop, rule admission.Rule, seed uint64) *target {
	return &target{
		loop: l, controller: admission.NewController(rule, seed, l.now), slow: 1,
		waiting: map[uint64]*attempt{}, running: map[uint64]*attempt{},
	}
}

// attempt is one request at one target.
type attempt struct {
	request  *request
	id       uint64
	began    time.Time
	prefill  time.Duration
	interval time.Duration
	ended    bool
	// finish is called once: nil for complete, or why not.
	finish func(end)
}

// end is how an attempt ended.
type end struct {
	kind       endKind
	retryAfter time.Duration
}

type endKind uint8

const (
	complete endKind = iota
	refused
	failed
	late
)

func (t *target) offer(a *attempt) {
	if t.out {
		a.finish(end{kind: refused, retryAfter: time.Second})
		return
	}
	t.lastID++
	a.id = t.lastID
	t.waiting[a.id] = a
	deadline := a.request.deadline
	if t.blind {
		deadline = deadline.Add(time.Hour)
	}
	t.controller.Submit(t.loop.now, admission.Work{
		ID: a.id, Customer: a.request.customer, Weight: 1, Cost: a.request.expected, Deadline: deadline,
	})
	t.advance()
}

func (t *target) advance() {
	for _, d := range t.controller.Advance(t.loop.now) {
		a := t.waiting[d.ID]
		delete(t.waiting, d.ID)
		if d.Start {
			t.start(a)
		} else {
			a.finish(end{kind: refused, retryAfter: d.RetryAfter})
		}
	}
	wake := t.controller.NextAdvance(t.loop.now)
	if wake.IsZero() || wake.Equal(t.wakeAt) {
		return
	}
	t.wakeAt = wake
	t.loop.at(wake, func() {
		if t.wakeAt.Equal(wake) {
			t.wakeAt = time.Time{}
			t.advance()
		}
	})
}

// start gives the attempt to the engine.
func (t *target) start(a *attempt) {
	now := t.loop.now
	a.began = now
	t.running[a.id] = a
	if now.Before(t.coldUntil) && len(t.running) > coldBears {
		t.overruns++
		t.fallUntil = now.Add(fallTime)
	}
	if now.Before(t.fallUntil) {
		// The failure is an event of its own: the controller is being advanced.
		t.loop.after(0, t.fall)
		return
	}
	a.prefill = prefillTime
	if t.cached(a.request.prefix) {
		a.prefill = cachedPrefill
		t.hits++
	}
	t.served++
	busy := idleShare + (1-idleShare)*float64(min(len(t.running), slots))/slots
	a.prefill = time.Duration(float64(a.prefill) * t.slow)
	a.interval = time.Duration(float64(tokenInterval) * busy * t.slow)
	t.loop.after(a.prefill, func() {
		if !a.ended {
			a.request.firstToken(t.loop.now)
		}
	})
	done := now.Add(a.prefill + time.Duration(a.request.tokens)*a.interval)
	switch isLate := done.After(a.request.deadline); {
	case isLate && t.blind:
		t.loop.at(done, func() { t.finish(a, late) })
	case isLate:
		t.loop.at(a.request.deadline, func() { t.finish(a, late) })
	default:
		t.loop.at(done, func() { t.finish(a, complete) })
	}
}

// fall fails everything in progress.
func (t *target) fall() {
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

func (t *target) finish(a *attempt, k endKind) {
	if a.ended {
		return
	}
	a.ended = true
	delete(t.running, a.id)
	verdict := map[endKind]ramp.Verdict{complete: ramp.Healthy, failed: ramp.Failed}[k]
	t.controller.Done(t.loop.now, a.id, admission.Result{
		Verdict: verdict, ServiceTime: t.loop.now.Sub(a.began), UnitTime: a.interval,
	})
	a.finish(end{kind: k})
	t.advance()
}

func (t *target) cached(prefix uint64) bool {
	i := slices.Index(t.cache, prefix)
	if i >= 0 {
		t.cache = slices.Delete(t.cache, i, i+1)
	} else if len(t.cache) == cacheSize {
		t.cache = slices.Delete(t.cache, 0, 1)
	}
	t.cache = append(t.cache, prefix)
	return i >= 0
}

// returnCold brings the target back with a cold engine and an empty cache.
func (t *target) returnCold() {
	t.out = false
	t.cache = nil
	t.coldUntil = t.loop.now.Add(coldTime)
	t.controller.Restart(t.loop.now)
}

// runningTokens are the expected tokens that are not sent yet.
func (t *target) runningTokens() int {
	sum := 0
	for _, a := range t.running {
		sent := 0
		if since := t.loop.now.Sub(a.began) - a.prefill; since > 0 && a.interval > 0 {
			sent = int(since / a.interval)
		}
		sum += max(1, a.request.expected-sent)
	}
	return sum
}
