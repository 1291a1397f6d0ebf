package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/admission"
	"github.com/skylarkstep/skylarkstep/admission/ramp"
	"github.com/skylarkstep/skylarkstep/balancer"
)

// Setup describes one run.
type Setup struct {
	Scenario Scenario
	Policy   func(entry int) balancer.Builder
	Targets  int
	Entries  int
	Seed     uint64
	// NoRamp, NoWaitLimit and NoFairness disable a protection to show its effect.
	// NoWaitLimit also makes the targets ignore deadlines.
	NoRamp, NoWaitLimit, NoFairness bool
}

// Result holds the figures of a run, without the requests that arrive in the
// warm-up time.
type Result struct {
	FirstTokenP50, FirstTokenP99 time.Duration
	CompleteP50, CompleteP99     time.Duration
	Arrivals, Succeeded          int
	// Goodput is the rate of complete responses, as a share of the capacity.
	Goodput float64
	// Refused is the share of arrivals whose last attempt was refused.
	Refused float64
	// Skew is the load of the most loaded target over the mean load, averaged over
	// time.
	Skew     float64
	CacheHit float64
	// Overloads is the number of times that a warming engine received more requests
	// than it can handle.
	Overloads int
	// SmallCustomersServed is the share of requests that succeeded among those that
	// arrived during the flood from all customers but customer 0.
	SmallCustomersServed float64
	// Unserved is the number of requests that did not succeed, even after all client
	// retries.
	Unserved int
	// MaxWait is the longest time from the arrival to the complete response.
	MaxWait time.Duration
}

const dataCentres = 3

func dataCentre(i int) string { return [dataCentres]string{"dc-0", "dc-1", "dc-2"}[i%dataCentres] }

type run struct {
	setup           Setup
	loop            *loop
	targets         []*target
	names           []string
	entries         []*entry
	result          Result
	firstTokenTimes []time.Duration
	completionTimes []time.Duration
	refused         int
	skewSum         float64
	samples         int
	smallArrivals   int
	smallSucceeded  int
	completedInTime int
}

func (s Setup) rule() admission.Rule {
	r := admission.Rule{
		Ramp:    ramp.Rule{Initial: warmingConcurrency, Factor: 2, Interval: time.Second, Limit: slots},
		MaxWait: 500 * time.Millisecond,
	}
	if s.Scenario.DataCentreOut {
		r.Ramp.Interval = engineWarmUpTime // as operators would set it for this engine
	}
	if s.NoRamp {
		r.Ramp.Initial = slots
	}
	if s.NoWaitLimit {
		r.MaxWait = time.Hour
	}
	return r
}

// Run simulates the setup and returns its result.
func Run(s Setup) Result {
	r := &run{setup: s, loop: newLoop()}
	for i := range s.Targets {
		r.names = append(r.names, targetName(i))
		r.targets = append(r.targets, newTarget(r.loop, s.rule(), s.Seed+uint64(i)))
	}
	for _, t := range r.targets {
		t.ignoresDeadlines = s.NoWaitLimit
	}
	if s.Scenario.Slowdown > 0 {
		r.targets[0].slowdown = s.Scenario.Slowdown
	}
	for k := range s.Entries {
		r.entries = append(r.entries, newEntry(r, k, s.Policy(k), s.Seed))
	}
	r.schedule()
	tail := 2 * requestTimeout
	if s.Scenario.ClientRetries {
		tail = maxClientRetries * requestTimeout
	}
	r.loop.runUntil(r.loop.now.Add(s.Scenario.Length + tail))
	r.summarise()
	return r.result
}

func (r *run) schedule() {
	s := r.setup.Scenario
	for i, t := range r.targets {
		phase := reportInterval * time.Duration(i) / time.Duration(len(r.targets))
		r.loop.every(phase, reportInterval, func() { r.report(i, t) })
	}
	for k, e := range r.entries {
		r.loop.every(time.Duration(k)*time.Millisecond, snapshotInterval, e.rebuild)
	}
	r.loop.every(warmUpTime, 100*time.Millisecond, r.sampleSkew)
	if s.DataCentreOut {
		r.loop.after(s.From, func() { r.forEachTargetOut(func(t *target) { t.unavailable = true }) })
		r.loop.after(s.To, func() { r.forEachTargetOut((*target).restore) })
	}
	arrivals := drawArrivals(s, r.setup.Targets, r.setup.Seed)
	var next func(k int)
	next = func(k int) {
		r.arrive(arrivals[k])
		if k+1 < len(arrivals) {
			r.loop.at(time.Unix(0, 0).Add(arrivals[k+1].at), func() { next(k + 1) })
		}
	}
	r.loop.after(arrivals[0].at, func() { next(0) })
}

// forEachTargetOut calls f for the targets of the data centre that goes out of
// service.
func (r *run) forEachTargetOut(f func(*target)) {
	for i, t := range r.targets {
		if dataCentre(i) == dataCentre(1) {
			f(t)
		}
	}
}

// report sends the target's load to every entry, where it arrives after the lag.
func (r *run) report(i int, t *target) {
	load := t.controller.Report(r.loop.now)
	received := loadReport{madeAt: r.loop.now, target: balancer.Target{
		HasReport: true, Running: load.Running, Queued: load.Queued, QueuedTokens: load.QueuedCost,
		RunningTokens: t.runningTokens(), Limit: load.Limit, UnitTime: load.UnitTime,
	}}
	r.loop.after(r.setup.Scenario.ReportLag, func() {
		for _, e := range r.entries {
			e.reports[i] = received
		}
	})
}

func (r *run) arrive(a arrival) {
	customer := fmt.Sprint("customer-", a.customer)
	if r.setup.NoFairness {
		customer = "all"
	}
	req := &request{arrival: a, customer: customer, entry: r.entries[a.entry%len(r.entries)], arrivedAt: r.loop.now}
	req.deadline = r.loop.now.Add(requestTimeout)
	r.send(req)
}

// send starts the first attempt of a request or of its client retry.
func (r *run) send(req *request) {
	req.triedTargets, req.attempts = map[int]bool{}, 0
	if req.entry.picker == nil {
		req.entry.rebuild()
	}
	req.entry.startAttempt(req)
}

// recordOutcome schedules a client retry of the request or counts its final
// outcome.
func (r *run) recordOutcome(req *request, o outcome) {
	s := r.setup.Scenario
	if s.ClientRetries && o.kind != complete && req.clientRetries < maxClientRetries {
		req.clientRetries++
		r.loop.after(max(o.retryAfter, time.Millisecond), func() {
			req.deadline = r.loop.now.Add(requestTimeout)
			r.send(req)
		})
		return
	}
	if req.at < warmUpTime {
		return
	}
	r.result.Arrivals++
	succeeded := o.kind == complete
	if req.arrival.customer != 0 && s.during(req.at) {
		r.smallArrivals++
		if succeeded {
			r.smallSucceeded++
		}
	}
	if !succeeded {
		r.result.Unserved++
		if o.kind == refused {
			r.refused++
		}
		return
	}
	r.result.Succeeded++
	if r.loop.now.Before(time.Unix(0, 0).Add(s.Length)) {
		r.completedInTime++
	}
	r.firstTokenTimes = append(r.firstTokenTimes, req.firstTokenAt.Sub(req.arrivedAt))
	r.completionTimes = append(r.completionTimes, r.loop.now.Sub(req.arrivedAt))
}

// sampleSkew adds the current skew to the sum.
func (r *run) sampleSkew() {
	if r.loop.now.After(time.Unix(0, 0).Add(r.setup.Scenario.Length)) {
		return
	}
	most, sum, n := 0, 0, 0
	for _, t := range r.targets {
		if t.unavailable {
			continue
		}
		load := len(t.running) + len(t.waiting)
		most, sum, n = max(most, load), sum+load, n+1
	}
	if sum > 0 {
		r.skewSum += float64(most) * float64(n) / float64(sum)
		r.samples++
	}
}

func (r *run) summarise() {
	result := &r.result
	result.FirstTokenP50, result.FirstTokenP99 = quantile(r.firstTokenTimes, 0.5), quantile(r.firstTokenTimes, 0.99)
	result.CompleteP50, result.CompleteP99 = quantile(r.completionTimes, 0.5), quantile(r.completionTimes, 0.99)
	result.MaxWait = quantile(r.completionTimes, 1)
	measured := (r.setup.Scenario.Length - warmUpTime).Seconds()
	result.Goodput = float64(r.completedInTime) / measured / (capacity * float64(len(r.targets)))
	result.Refused = ratio(r.refused, result.Arrivals)
	result.Skew = r.skewSum / float64(max(r.samples, 1))
	result.SmallCustomersServed = ratio(r.smallSucceeded, r.smallArrivals)
	hits, served := 0, 0
	for _, t := range r.targets {
		hits, served, result.Overloads = hits+t.cacheHits, served+t.served, result.Overloads+t.overloads
	}
	result.CacheHit = ratio(hits, served)
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}
