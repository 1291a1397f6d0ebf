package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/skylarkstep/skylarkstep/balancer"
)

const (
	snapshotInterval = 250 * time.Millisecond
	reportInterval   = time.Second
	maxAttempts      = 3
	maxClientRetries = 20
)

// entry simulates an entry that routes requests with the policy under test.
type entry struct {
	run         *run
	dc          string
	policy      balancer.Builder
	random      *rand.Rand
	picker      balancer.Picker
	targetIndex []int // index in run.targets of each target of the snapshot
	reports     []loadReport
	own         []*balancer.Counter
	history     []balancer.History
}

type loadReport struct {
	target balancer.Target
	madeAt time.Time
}

func newEntry(r *run, k int, policy balancer.Builder, seed uint64) *entry {
	n := len(r.targets)
	e := &entry{
		run: r, dc: dataCentre(k), policy: policy, random: rand.New(rand.NewPCG(seed, uint64(k))),
		reports: make([]loadReport, n), own: make([]*balancer.Counter, n), history: make([]balancer.History, n),
	}
	for i := range e.own {
		e.own[i] = &balancer.Counter{}
	}
	return e
}

// rebuild makes a new snapshot and picker, as a real entry does on its control tick.
func (e *entry) rebuild() {
	now := e.run.loop.now
	s := balancer.Snapshot{DataCentre: e.dc}
	e.targetIndex = e.targetIndex[:0]
	for i, t := range e.run.targets {
		e.history[i].Record(now, e.own[i])
		if t.unavailable {
			continue
		}
		v := e.reports[i].target
		v.Name, v.DataCentre, v.Own = e.run.names[i], dataCentre(i), e.own[i]
		if v.HasReport {
			v.ReportAge = now.Sub(e.reports[i].madeAt)
			v.OwnRequestsAtReport, v.OwnTokensAtReport = e.history[i].At(e.reports[i].madeAt)
		}
		s.Targets = append(s.Targets, v)
		e.targetIndex = append(e.targetIndex, i)
	}
	e.picker = e.policy.Build(s)
}

// request is the state of one arrival.
type request struct {
	arrival
	customer      string
	entry         *entry
	deadline      time.Time
	arrivedAt     time.Time
	triedTargets  map[int]bool
	attempts      int
	clientRetries int
	firstTokenAt  time.Time
}

func (r *request) recordFirstToken(now time.Time) {
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
	}
}

func (e *entry) startAttempt(r *request) {
	i, err := e.picker.Pick(balancer.Request{
		Avoid:      func(name string) bool { return r.avoids(name) },
		PrefixHash: balancer.Mix(r.prefix), Tokens: r.expected, Random: e.random.Uint64(),
	})
	if err != nil {
		e.run.recordOutcome(r, outcome{kind: refused, retryAfter: time.Second})
		return
	}
	i = e.targetIndex[i]
	r.attempts++
	r.triedTargets[i] = true
	startedAt, c := e.run.loop.now, e.own[i]
	c.Requests.Add(1)
	c.Tokens.Add(int64(r.expected))
	c.Chosen.Add(1)
	e.run.targets[i].submit(&attempt{request: r, done: func(o outcome) {
		c.Requests.Add(-1)
		c.Tokens.Add(-int64(r.expected))
		e.recordCost(c, r, startedAt, o.kind)
		if (o.kind == refused || o.kind == failed) && r.attempts < maxAttempts && e.run.loop.now.Before(r.deadline) {
			e.startAttempt(r)
			return
		}
		e.run.recordOutcome(r, o)
	}})
}

// recordCost adds the cost of an attempt for package ucb: the time to the first
// token, or the request timeout if the attempt did not complete.
func (e *entry) recordCost(c *balancer.Counter, r *request, startedAt time.Time, kind outcomeKind) {
	cost := requestTimeout
	if kind == complete {
		cost = r.firstTokenAt.Sub(startedAt)
	}
	c.Finished.Add(1)
	c.CostMicros.Add(cost.Microseconds())
}

func (r *request) avoids(name string) bool {
	for i := range r.triedTargets {
		if r.entry.run.names[i] == name {
			return true
		}
	}
	return false
}
