package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/retry"
)

// Metric names of retries, hedges and ejections.
const (
	metricRetries    = "retries.sent"
	metricOverBudget = "retries.over_budget"
	metricHedges     = "hedges.sent"
	metricHedgesWon  = "hedges.won"
	metricEjections  = "targets.ejected"
)

// retryPolicy disables parts of the retry logic, for comparison with simpler
// policies.
type retryPolicy struct {
	noBudget, noEjection, noHedging, noRetry bool
}

// retries makes the state machines of package retry safe for concurrent use.
type retries struct {
	policy retryPolicy

	mu       sync.Mutex
	budgets  *retry.Budgets
	ejectors map[string]*retry.Ejector // by back end
	latency  map[string]*retry.Latency // by back end and operation
}

func newRetries() *retries {
	return &retries{
		budgets:  retry.NewBudgets(),
		ejectors: map[string]*retry.Ejector{},
		latency:  map[string]*retry.Latency{},
	}
}

func (t *retries) recordFirstAttempt(customer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budgets.RecordFirstAttempt(customer)
}

// takeRetry takes one retry or hedge from the budgets, or returns false.
func (t *retries) takeRetry(customer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budgets.TakeRetry(customer) || t.policy.noBudget
}

// reserveRetry takes a retry from the budgets, unless err is exempt from them.
// It returns false when retries are disabled or a budget is exhausted.
func (r *request) reserveRetry(err *errkind.Error) bool {
	t := r.entry.retries
	switch {
	case t.policy.noRetry:
		return false
	case retry.BudgetExempt(err) || t.takeRetry(r.customer.Name):
		r.entry.counter(metricRetries).Inc(1)
		return true
	default:
		r.entry.counter(metricOverBudget).Inc(1)
		return false
	}
}

// observeResult records the result of an attempt as evidence about the health
// of the target, and reports whether it caused the ejection of the target.
// Rejections and cancellations are no evidence.
func (t *retries) observeResult(backend, target string, err error, poolSize int) (ejected bool) {
	switch errkind.KindOf(err) {
	case errkind.Unspecified, errkind.TargetLost, errkind.TargetUnreachable, errkind.Stalled,
		errkind.BackendFailed, errkind.BackendUnreachable:
	default:
		return false
	}
	if t.policy.noEjection {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.ejectors[backend]
	if e == nil {
		e = retry.NewEjector()
		t.ejectors[backend] = e
	}
	return e.Observe(target, err != nil, poolSize, time.Now())
}

func (r *request) observeHealth(to *route, err error) {
	poolSize := 0
	if s := r.entry.snapshot.Load(); s != nil && s.pools[r.backend] != nil {
		poolSize = len(s.pools[r.backend].targets)
	}
	if r.entry.retries.observeResult(r.backend, to.name, err, poolSize) {
		r.entry.counter(metricEjections).Inc(1)
		r.entry.node.Log.Warn("target ejected after repeated failures", "back_end", r.backend, "target", to.name, "error", err)
	}
}

// targetsToAvoid returns the targets that an attempt should avoid because of
// recent failures, or nil.
func (t *retries) targetsToAvoid(backend string, targets []route) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.ejectors[backend]
	if e == nil || !e.HasTrackedTargets() {
		return nil
	}
	now := time.Now()
	avoid := map[string]bool{}
	for i := range targets {
		if !e.Admit(targets[i].name, rand.Float64(), now) {
			avoid[targets[i].name] = true
		}
	}
	return avoid
}

// pickUntried picks a target that the request has not tried. It prefers targets
// that are not ejected and, after a failure, another data centre.
func (r *request) pickUntried(p *pool, q balancer.Request) (int, error) {
	ejected := r.entry.retries.targetsToAvoid(r.backend, p.targets)
	q.Avoid = func(string) bool { return false }
	if len(r.triedTargets) == 0 && len(ejected) == 0 {
		return p.picker.Pick(q)
	}
	failedDataCentres := map[string]bool{}
	dataCentreOf := map[string]string{}
	for i := range p.targets {
		t := &p.targets[i]
		dataCentreOf[t.name] = t.dataCentre
		if r.triedTargets[t.name] {
			failedDataCentres[t.dataCentre] = true
		}
	}
	var err error
	for _, avoid := range []func(string) bool{
		func(t string) bool { return r.triedTargets[t] || ejected[t] || failedDataCentres[dataCentreOf[t]] },
		func(t string) bool { return r.triedTargets[t] || ejected[t] },
		func(t string) bool { return r.triedTargets[t] },
	} {
		var i int
		q.Avoid = avoid
		if i, err = p.picker.Pick(q); err == nil {
			return i, nil
		}
	}
	return 0, err
}

// backoff waits before retry n, counted from zero, or until ctx is cancelled.
func (r *request) backoff(ctx context.Context, n int) {
	pause := time.NewTimer(retry.Backoff(n, rand.Float64()))
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
}

func (t *retries) observeLatency(key string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.latency[key]
	if l == nil {
		l = &retry.Latency{}
		t.latency[key] = l
	}
	l.Observe(d)
}

// hedgeDelay returns the time after which an attempt counts as slow. It returns
// false while that is unknown or hedging is disabled.
func (t *retries) hedgeDelay(key string) (time.Duration, bool) {
	if t.policy.noHedging {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.latency[key]
	if l == nil {
		return 0, false
	}
	return l.Quantile(retry.HedgeQuantile)
}
