package target

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/admission"
	"github.com/skylarkstep/skylarkstep/admission/ramp"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// minPaceTokens is the shortest stream whose time between tokens says something
// about the engine.
const minPaceTokens = 4

// gate runs the admission controller: it passes the time in, serialises the
// calls and hands the decisions to the goroutines that wait for them.
type gate struct {
	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[uint64]chan admission.Decision
	lastID     uint64
	timer      *time.Timer
	// restarts is the number of ramp restarts that onRestart was told of.
	restarts  uint64
	onRestart func()

	// runningTokens are the expected tokens of started work that are not sent yet.
	runningTokens atomic.Int64
}

func newGate(rule admission.Rule, onRestart func()) *gate {
	return &gate{
		onRestart:  onRestart,
		controller: admission.NewController(rule, rand.Uint64(), time.Now()),
		waiting:    map[uint64]chan admission.Decision{},
	}
}

func admissionRule(c *config.Config, backend string) admission.Rule {
	w, l := c.Warmup(backend), c.Limit(backend)
	return admission.Rule{
		Ramp: ramp.Rule{
			Initial: w.Initial, Factor: w.Factor, Limit: l.Concurrency,
			Interval: time.Duration(w.IntervalMs) * time.Millisecond,
		},
		MaxWait: time.Duration(l.MaxWaitMs) * time.Millisecond,
	}
}

// configChanged applies the rules of a new configuration. A target whose data
// centre comes back starts its ramp again, since its engine has served nothing
// meanwhile.
func (t *Target) configChanged(old, next *config.Config) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	// Of two changes at the same time, the later one may take the lock first.
	g.controller.SetRule(admissionRule(t.config.Load(), t.settings.Target.Backend))
	if t.wasOut(old) && !t.wasOut(next) {
		g.controller.Restart(time.Now())
	}
	g.advance()
}

// wasOut reports whether the configuration kept work away from this target.
func (t *Target) wasOut(c *config.Config) bool {
	if c == nil {
		return false
	}
	self, ok := c.Target(t.node.Name)
	return !ok || c.IsLeaving(self)
}

// advance delivers the decisions that are due and sets the timer for the next
// ones. The caller holds g.mu.
func (g *gate) advance() {
	now := time.Now()
	for _, d := range g.controller.Advance(now) {
		g.waiting[d.ID] <- d
		delete(g.waiting, d.ID)
	}
	if n := g.controller.Restarts(); n != g.restarts {
		g.restarts = n
		g.onRestart()
	}
	wake := g.controller.NextAdvance(now)
	switch {
	case wake.IsZero():
		if g.timer != nil {
			g.timer.Stop()
		}
	case g.timer == nil:
		g.timer = time.AfterFunc(wake.Sub(now), g.wake)
	default:
		g.timer.Reset(wake.Sub(now))
	}
}

func (g *gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
}

// slot is the right of one attempt to use the engine. It is used by one
// goroutine.
type slot struct {
	gate      *gate
	id        uint64
	startedAt time.Time
	remaining int64
	// blocked is the time in which a slow caller held the stream up, which says
	// nothing about the engine.
	blocked     time.Duration
	lastBlocked time.Duration // by the last token
	tokens      int
	firstAt     time.Time
	lastAt      time.Time
	isService   bool
	status      int // of a plain service's reply
}

// enter waits until the attempt may start. An error says that it never will.
// The caller of enter must call leave on the slot.
func (t *Target) enter(ctx context.Context, d *wirepb.Dispatch) (*slot, error) {
	deadline, _ := ctx.Deadline()
	cost := 1
	if t.model != nil {
		cost = max(1, int(d.GetExpectedTokens())-int(d.GetResumeOffset()))
	}
	id, decided := t.gate.offer(admission.Work{
		Customer: d.GetCustomer(), Weight: int(d.GetCustomerWeight()), Priority: int(d.GetPriority()),
		Cost: cost, Deadline: deadline,
	})
	s := &slot{gate: t.gate, id: id, isService: t.model == nil}
	select {
	case x := <-decided:
		if !x.Start {
			return nil, t.refusal(x)
		}
	case <-ctx.Done():
		t.gate.abandon(id, decided)
		return nil, errkind.From(ctx.Err()).WithDidRun(errkind.NotRun)
	}
	s.startedAt, s.remaining = time.Now(), int64(cost)
	t.gate.runningTokens.Add(s.remaining)
	// The configuration may have changed while the attempt was queued.
	err := t.mayStart(d)
	if err == nil && ctx.Err() != nil {
		err = errkind.From(ctx.Err()).WithDidRun(errkind.NotRun)
	}
	if err != nil {
		s.leave(errkind.New(errkind.Canceled, "not started"))
		return nil, err
	}
	return s, nil
}

func (t *Target) refusal(x admission.Decision) error {
	if x.Warming {
		return errkind.New(errkind.Cold, "target %s is warming up and can't start the request in time", t.node.Name).
			WithRetryAfter(x.RetryAfter)
	}
	return errkind.New(errkind.Overloaded, "target %s can't start the request in time", t.node.Name).
		WithRetryAfter(x.RetryAfter)
}

func (g *gate) offer(w admission.Work) (uint64, <-chan admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	w.ID = g.lastID
	decided := make(chan admission.Decision, 1)
	g.waiting[w.ID] = decided
	g.controller.Submit(time.Now(), w)
	g.advance()
	return w.ID, decided
}

// abandon takes an attempt back whose caller went away. A slot that was granted
// at the same moment is released.
func (g *gate) abandon(id uint64, decided <-chan admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.controller.Cancel(id) {
		delete(g.waiting, id)
	} else if x := <-decided; x.Start {
		g.controller.Done(time.Now(), id, admission.Result{})
	}
	g.advance()
}

// sent notes one token that came at the given time. Sending it blocked.
func (s *slot) sent(at time.Time, blocked time.Duration) {
	if s.tokens == 0 {
		s.firstAt = at
	}
	s.tokens++
	s.lastAt = at
	s.blocked += blocked
	s.lastBlocked = blocked
	if s.remaining > 1 {
		s.remaining--
		s.gate.runningTokens.Add(-1)
	}
}

// leave releases the slot and says how the work went.
func (s *slot) leave(err error) {
	now := time.Now()
	s.gate.runningTokens.Add(-s.remaining)
	r := admission.Result{Verdict: s.verdict(err), ServiceTime: now.Sub(s.startedAt) - s.blocked, UnitTime: s.pace(now)}
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.controller.Done(now, s.id, r)
	s.gate.advance()
}

// pace is the time between tokens, or the whole time of a call.
func (s *slot) pace(now time.Time) time.Duration {
	if s.isService {
		return now.Sub(s.startedAt)
	}
	if s.tokens < minPaceTokens {
		return 0
	}
	return (s.lastAt.Sub(s.firstAt) - (s.blocked - s.lastBlocked)) / time.Duration(s.tokens-1)
}

func (s *slot) verdict(err error) ramp.Verdict {
	if s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests {
		return ramp.Overwhelmed
	}
	switch errkind.KindOf(err) {
	case errkind.Unspecified:
		return ramp.Healthy
	case errkind.Cold, errkind.Overloaded:
		return ramp.Overwhelmed
	case errkind.BackendFailed, errkind.BackendUnreachable, errkind.Stalled:
		return ramp.Failed
	default:
		return ramp.Neutral
	}
}

// load returns the load report of a heartbeat.
func (t *Target) load() (*wirepb.LoadReport, bool) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.controller.Report(time.Now())
	return &wirepb.LoadReport{
		Running: uint32(r.Running), Queued: uint32(r.Queued), QueuedTokens: uint64(r.QueuedCost),
		Limit: uint32(r.Limit), ServiceTimeUs: uint64(r.UnitTime.Microseconds()),
		RunningTokens: uint64(max(0, g.runningTokens.Load())),
	}, r.Warming
}
