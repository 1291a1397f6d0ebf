package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/admission"
	"github.com/skylarkstep/skylarkstep/admission/ramp"
	"github.com/skylarkstep/skylarkstep/balancer"
)

// Setup is one run.
type Setup struct {
	Scenario Scenario
	Policy   func(entry int) balancer.Builder
	Targets  int
	Entries  int
	Seed     uint64
	// The guards that a run may leave out, to show what they are for.
	NoRamp, NoBound, NoFairness bool
}

// Result is what a run measured after the warm-up time.
type Result struct {
	FirstP50, FirstP99       time.Duration
	CompleteP50, CompleteP99 time.Duration
	Arrivals, Good           int
	// Goodput is complete answers per second, as a share of the capacity.
	Goodput float64
	// Refused is the share of arrivals that were refused for good.
	Refused float64
	// Skew is the mean over time of the most loaded target over the mean load.
	Skew     float64
	CacheHit float64
	Overruns int
	// SmallGood is the share of good answers of all customers but customer 0,
	// during the flood.
	SmallGood float64
	// Unserved are the callers that gave up after all their returns.
	Unserved int
	// MaxWait is the longest time from the first arrival to a complete answer.
	MaxWait time.Duration
}

const dataCentres = 3

func dataCentre(i int) string { return [dataCentres]string{"dc-0", "dc-1", "dc-2"}[i%dataCentres] }

type run struct {
	setup    Setup
	loop     *loop
	targets  []*target
	names    []string
	entries  []*entry
	result   Result
	firsts   []time.Duration
	totals   []time.Duration
	refused  int
	skews    float64
	samples  int
	small    int
	smallOK  int
	finished int
}

func (s Setup) rule() admission.Rule {
	r := admission.Rule{
		Ramp:    ramp.Rule{Initial: coldBears, Factor: 2, Interval: time.Second, Limit: slots},
		MaxWait: 500 * time.Millisecond,
	}
	if s.Scenario.Leaves {
		r.Ramp.Interval = coldTime // operators set the ramp by what the engine needs
	}
	if s.NoRamp {
		r.Ramp.Initial = slots
	}
	if s.NoBound {
		r.MaxWait = time.Hour
	}
	return r
}

// Run runs the setup.
func Run(s Setup) Result {
	r := &run{setup: s, loop: newLoop()}
	for i := range s.Targets {
		r.names = append(r.names, targetName(i))
		r.targets = append(r.targets, newTarget(r.loop, s.rule(), s.Seed+uint64(i)))
	}
	if s.Scenario.Slow > 0 {
		r.targets[0].slow = s.Scenario.Slow
	}
	for k := range s.Entries {
		r.entries = append(r.entries, newEntry(r, k, s.Policy(k), s.Seed))
	}
	r.schedule()
	tail := 2 * requestTime
	if s.Scenario.Return {
		tail = maxReturns * requestTime
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
	r.loop.every(warmUpTime, 100*time.Millisecond, r.sample)
	if s.Leaves {
		r.loop.after(s.From, func() { r.eachLeaving(func(t *target) { t.out = true }) })
		r.loop.after(s.To, func() { r.eachLeaving((*target).returnCold) })
	}
	arrivals := record(s, r.setup.Targets, r.setup.Seed)
	var next func(k int)
	next = func(k int) {
		r.arrive(arrivals[k])
		if k+1 < len(arrivals) {
			r.loop.at(time.Unix(0, 0).Add(arrivals[k+1].at), func() { next(k + 1) })
		}
	}
	r.loop.after(arrivals[0].at, func() { next(0) })
}

func (r *run) eachLeaving(f func(*target)) {
	for i, t := range r.targets {
		if dataCentre(i) == dataCentre(1) {
			f(t)
		}
	}
}

// report sends the target's load to every entry; it arrives after the lag.
func (r *run) report(i int, t *target) {
	c := t.controller.Report(r.loop.now)
	x := report{made: r.loop.now, view: balancer.Target{
		HasReport: true, Running: c.Running, Queued: c.Queued, QueuedTokens: c.QueuedCost,
		RunningTokens: t.runningTokens(), Limit: c.Limit, UnitTime: c.UnitTime,
	}}
	r.loop.after(r.setup.Scenario.ReportLag, func() {
		for _, e := range r.entries {
			e.heard[i] = x
		}
	})
}

func (r *run) arrive(a arrival) {
	customer := fmt.Sprint("customer-", a.customer)
	if r.setup.NoFairness {
		customer = "all"
	}
	req := &request{arrival: a, customer: customer, entry: r.entries[a.entry%len(r.entries)], arrived: r.loop.now}
	req.deadline = r.loop.now.Add(requestTime)
	r.try(req)
}

func (r *run) try(req *request) {
	req.tried, req.attempts = map[int]bool{}, 0
	if req.entry.picker == nil {
		req.entry.rebuild()
	}
	req.entry.attempt(req)
}

// end takes the final answer of a request.
func (r *run) end(req *request, x end) {
	s := r.setup.Scenario
	if s.Return && x.kind != complete && req.returns < maxReturns {
		req.returns++
		r.loop.after(max(x.retryAfter, time.Millisecond), func() {
			req.deadline = r.loop.now.Add(requestTime)
			r.try(req)
		})
		return
	}
	if req.at < warmUpTime {
		return
	}
	r.result.Arrivals++
	good := x.kind == complete
	if req.arrival.customer != 0 && s.during(req.at) {
		r.small++
		if good {
			r.smallOK++
		}
	}
	if !good {
		r.result.Unserved++
		if x.kind == refused {
			r.refused++
		}
		return
	}
	r.result.Good++
	if r.loop.now.Before(time.Unix(0, 0).Add(s.Length)) {
		r.finished++
	}
	r.firsts = append(r.firsts, req.first.Sub(req.arrived))
	r.totals = append(r.totals, r.loop.now.Sub(req.arrived))
}

func (r *run) sample() {
	if r.loop.now.After(time.Unix(0, 0).Add(r.setup.Scenario.Length)) {
		return
	}
	most, sum, n := 0, 0, 0
	for _, t := range r.targets {
		if t.out {
			continue
		}
		load := len(t.running) + len(t.waiting)
		most, sum, n = max(most, load), sum+load, n+1
	}
	if sum > 0 {
		r.skews += float64(most) * float64(n) / float64(sum)
		r.samples++
	}
}

func (r *run) summarise() {
	x := &r.result
	x.FirstP50, x.FirstP99 = quantile(r.firsts, 0.5), quantile(r.firsts, 0.99)
	x.CompleteP50, x.CompleteP99 = quantile(r.totals, 0.5), quantile(r.totals, 0.99)
	x.MaxWait = quantile(r.totals, 1)
	measured := (r.setup.Scenario.Length - warmUpTime).Seconds()
	x.Goodput = float64(r.finished) / measured / (capacity * float64(len(r.targets)))
	x.Refused = share(r.refused, x.Arrivals)
	x.Skew = r.skews / float64(max(r.samples, 1))
	x.SmallGood = share(r.smallOK, r.small)
	hits, served := 0, 0
	for _, t := range r.targets {
		hits, served, x.Overruns = hits+t.hits, served+t.served, x.Overruns+t.overruns
	}
	x.CacheHit = share(hits, served)
}

func share(part, whole int) float64 {
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
