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

// minTimedTokens is the minimum length of a stream whose time between tokens is
// used. Shorter streams say too little about the engine.
const minTimedTokens = 4

// admissionQueue makes the admission controller safe for concurrent use. It
// passes the current time to the controller, serialises calls to it, and
// delivers each decision to the goroutine that waits for it.
type admissionQueue struct {
	mu         sync.Mutex
	controller *admission.Controller
	pending    map[uint64]chan admission.Decision
	lastID     uint64
	timer      *time.Timer
	// reportedRestarts is the number of ramp restarts passed on to onRestart.
	reportedRestarts uint64
	onRestart        func()

	// runningTokens is the number of expected tokens of started work that are
	// not sent yet.
	runningTokens atomic.Int64
}

func newAdmissionQueue(rule admission.Rule, onRestart func()) *admissionQueue {
	return &admissionQueue{
		onRestart:  onRestart,
		controller: admission.NewController(rule, rand.Uint64(), time.Now()),
		pending:    map[uint64]chan admission.Decision{},
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

// configChanged applies the rules of a new configuration. It restarts the
// warm-up ramp of a target that was excluded and is available again, since its
// engine has served nothing in between.
func (t *Target) configChanged(old, next *config.Config) {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	// Concurrent changes may acquire the lock out of order, so the rule comes
	// from the active configuration and not from next.
	q.controller.SetRule(admissionRule(t.config.Load(), t.settings.Target.Backend))
	if t.excludedBy(old) && !t.excludedBy(next) {
		q.controller.Restart(time.Now())
	}
	q.advance()
}

// excludedBy reports whether the configuration routes no work to this target.
func (t *Target) excludedBy(c *config.Config) bool {
	if c == nil {
		return false
	}
	self, ok := c.Target(t.node.Name)
	return !ok || c.IsLeaving(self)
}

// advance delivers the decisions that are due and sets the timer for the next
// ones. The caller must hold q.mu.
func (q *admissionQueue) advance() {
	now := time.Now()
	for _, d := range q.controller.Advance(now) {
		q.pending[d.ID] <- d
		delete(q.pending, d.ID)
	}
	if n := q.controller.Restarts(); n != q.reportedRestarts {
		q.reportedRestarts = n
		q.onRestart()
	}
	next := q.controller.NextAdvance(now)
	switch {
	case next.IsZero():
		if q.timer != nil {
			q.timer.Stop()
		}
	case q.timer == nil:
		q.timer = time.AfterFunc(next.Sub(now), q.onTimer)
	default:
		q.timer.Reset(next.Sub(now))
	}
}

func (q *admissionQueue) onTimer() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance()
}

// slot permits one attempt to use the engine and measures it. It is not safe
// for concurrent use.
type slot struct {
	queue           *admissionQueue
	id              uint64
	startedAt       time.Time
	remainingTokens int64
	// blockedTime is the time spent sending tokens to a slow caller. It is
	// subtracted from the measured times, since it says nothing about the engine.
	blockedTime     time.Duration
	lastBlockedTime time.Duration // part of blockedTime spent on the last token
	tokens          int
	firstTokenAt    time.Time
	lastTokenAt     time.Time
	isService       bool
	serviceStatus   int // HTTP status of a plain service's response
}

// acquireSlot waits until the attempt may start. After an error the attempt
// never starts. The caller must call release on the returned slot.
func (t *Target) acquireSlot(ctx context.Context, d *wirepb.Dispatch) (*slot, error) {
	deadline, _ := ctx.Deadline()
	cost := 1
	if t.model != nil {
		cost = max(1, int(d.GetExpectedTokens())-int(d.GetResumeOffset()))
	}
	id, decided := t.queue.enqueue(admission.Work{
		Customer: d.GetCustomer(), Weight: int(d.GetCustomerWeight()), Priority: int(d.GetPriority()),
		Cost: cost, Deadline: deadline,
	})
	s := &slot{queue: t.queue, id: id, isService: t.model == nil}
	select {
	case decision := <-decided:
		if !decision.Start {
			return nil, t.rejection(decision)
		}
	case <-ctx.Done():
		t.queue.abandon(id, decided)
		return nil, errkind.From(ctx.Err()).WithDidRun(errkind.NotRun)
	}
	s.startedAt, s.remainingTokens = time.Now(), int64(cost)
	t.queue.runningTokens.Add(s.remainingTokens)
	// The configuration may have changed while the attempt was queued.
	err := t.checkStart(d)
	if err == nil && ctx.Err() != nil {
		err = errkind.From(ctx.Err()).WithDidRun(errkind.NotRun)
	}
	if err != nil {
		s.release(errkind.New(errkind.Canceled, "not started"))
		return nil, err
	}
	return s, nil
}

func (t *Target) rejection(decision admission.Decision) error {
	if decision.Warming {
		return errkind.New(errkind.Cold, "target %s is warming up and can't start the request in time", t.node.Name).
			WithRetryAfter(decision.RetryAfter)
	}
	return errkind.New(errkind.Overloaded, "target %s can't start the request in time", t.node.Name).
		WithRetryAfter(decision.RetryAfter)
}

func (q *admissionQueue) enqueue(w admission.Work) (uint64, <-chan admission.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	w.ID = q.lastID
	decided := make(chan admission.Decision, 1)
	q.pending[w.ID] = decided
	q.controller.Submit(time.Now(), w)
	q.advance()
	return w.ID, decided
}

// abandon withdraws an attempt that was cancelled or whose deadline has passed. A
// slot granted at the same moment is released.
func (q *admissionQueue) abandon(id uint64, decided <-chan admission.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.controller.Cancel(id) {
		delete(q.pending, id)
	} else if decision := <-decided; decision.Start {
		q.controller.Done(time.Now(), id, admission.Result{})
	}
	q.advance()
}

// recordToken records a token received at the given time, and how long sending
// it blocked.
func (s *slot) recordToken(at time.Time, blocked time.Duration) {
	if s.tokens == 0 {
		s.firstTokenAt = at
	}
	s.tokens++
	s.lastTokenAt = at
	s.blockedTime += blocked
	s.lastBlockedTime = blocked
	if s.remainingTokens > 1 {
		s.remainingTokens--
		s.queue.runningTokens.Add(-1)
	}
}

// release frees the slot and reports the result of the work to the admission
// controller.
func (s *slot) release(err error) {
	now := time.Now()
	s.queue.runningTokens.Add(-s.remainingTokens)
	r := admission.Result{Verdict: s.verdict(err), ServiceTime: now.Sub(s.startedAt) - s.blockedTime, UnitTime: s.timePerUnit(now)}
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.queue.controller.Done(now, s.id, r)
	s.queue.advance()
}

// timePerUnit returns the mean time between tokens, or the duration of a call
// to a plain service. It is zero for a stream that is too short to tell.
func (s *slot) timePerUnit(now time.Time) time.Duration {
	if s.isService {
		return now.Sub(s.startedAt)
	}
	if s.tokens < minTimedTokens {
		return 0
	}
	return (s.lastTokenAt.Sub(s.firstTokenAt) - (s.blockedTime - s.lastBlockedTime)) / time.Duration(s.tokens-1)
}

func (s *slot) verdict(err error) ramp.Verdict {
	if s.serviceStatus == http.StatusServiceUnavailable || s.serviceStatus == http.StatusTooManyRequests {
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

// loadReport returns the load for a heartbeat and whether the target is warming
// up.
func (t *Target) loadReport() (*wirepb.LoadReport, bool) {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.controller.Report(time.Now())
	return &wirepb.LoadReport{
		Running: uint32(r.Running), Queued: uint32(r.Queued), QueuedTokens: uint64(r.QueuedCost),
		Limit: uint32(r.Limit), ServiceTimeUs: uint64(r.UnitTime.Microseconds()),
		RunningTokens: uint64(max(0, q.runningTokens.Load())),
	}, r.Warming
}
