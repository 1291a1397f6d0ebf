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
	maxReturns       = 20
)

// entry routes requests with the policy under test.
type entry struct {
	run     *run
	dc      string
	policy  balancer.Builder
	random  *rand.Rand
	picker  balancer.Picker
	index   []int // of the snapshot's targets
	heard   []report
	sent    []*balancer.Counter
	history []balancer.History
}

type report struct {
	view balancer.Target
	made time.Time
}

func newEntry(r *run, k int, policy balancer.Builder, seed uint64) *entry {
	n := len(r.targets)
	e := &entry{
		run: r, dc: dataCentre(k), policy: policy, random: rand.New(rand.NewPCG(seed, uint64(k))),
		heard: make([]report, n), sent: make([]*balancer.Counter, n), history: make([]balancer.History, n),
	}
	for i := range e.sent {
		e.sent[i] = &balancer.Counter{}
	}
	return e
}

// rebuild makes a new snapshot, as an entry does on its control tick.
func (e *entry) rebuild() {
	now := e.run.loop.now
	s := balancer.Snapshot{DataCentre: e.dc}
	e.index = e.index[:0]
	for i, t := range e.run.targets {
		e.history[i].Record(now, e.sent[i])
		if t.out {
			continue
		}
		v := e.heard[i].view
		v.Name, v.DataCentre, v.Own = e.run.names[i], dataCentre(i), e.sent[i]
		if v.HasReport {
			v.ReportAge = now.Sub(e.heard[i].made)
			v.OwnRequestsAtReport, v.OwnTokensAtReport = e.history[i].At(e.heard[i].made)
		}
		s.Targets = append(s.Targets, v)
		e.index = append(e.index, i)
	}
	e.picker = e.policy.Build(s)
}

// request is one arrival on its way.
type request struct {
	arrival
	customer string
	entry    *entry
	deadline time.Time
	arrived  time.Time
	tried    map[int]bool
	attempts int
	returns  int
	first    time.Time
}

func (r *request) firstToken(now time.Time) {
	if r.first.IsZero() {
		r.first = now
	}
}

func (e *entry) attempt(r *request) {
	i, err := e.picker.Pick(balancer.Request{
		Avoid:      func(name string) bool { return r.avoids(name) },
		PrefixHash: balancer.Mix(r.prefix), Tokens: r.expected, Random: e.random.Uint64(),
	})
	if err != nil {
		e.run.end(r, end{kind: refused, retryAfter: time.Second})
		return
	}
	i = e.index[i]
	r.attempts++
	r.tried[i] = true
	began, c := e.run.loop.now, e.sent[i]
	c.Requests.Add(1)
	c.Tokens.Add(int64(r.expected))
	c.Chosen.Add(1)
	e.run.targets[i].offer(&attempt{request: r, finish: func(x end) {
		c.Requests.Add(-1)
		c.Tokens.Add(-int64(r.expected))
		e.learn(c, r, began, x.kind)
		if (x.kind == refused || x.kind == failed) && r.attempts < maxAttempts && e.run.loop.now.Before(r.deadline) {
			e.attempt(r)
			return
		}
		e.run.end(r, x)
	}})
}

// learn gives the bandit its cost: the time to the first token, or the time that
// a request may take if there was none.
func (e *entry) learn(c *balancer.Counter, r *request, began time.Time, k endKind) {
	cost := requestTime
	if k == complete {
		cost = r.first.Sub(began)
	}
	c.Finished.Add(1)
	c.CostMicros.Add(cost.Microseconds())
}

func (r *request) avoids(name string) bool {
	for i := range r.tried {
		if r.entry.run.names[i] == name {
			return true
		}
	}
	return false
}
