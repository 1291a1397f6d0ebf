package balancer

import (
	"math"
	"time"
)

const (
	// assumedLimit is the concurrency of a target that has not reported yet: a
	// session that has just been opened often belongs to a cold target.
	assumedLimit = 2
	// pausedCapacity stands for the limit of a target that starts nothing at the
	// moment. It must exceed zero, so that paused targets can be compared.
	pausedCapacity = 1e-3
	// forgetAfter is the age at which a third of a target's reported difference
	// from the mean is left. With 500 ms, the entries overreacted to reports that
	// come once a second: while a data centre was out, 1.3% of the requests were
	// refused instead of 0.5% (docs/MEASUREMENTS.md, section "Routing policies").
	forgetAfter = 100 * time.Millisecond
	// unitTolerance is how far a target's service time may be from the mean to be
	// taken for noise. Taken as it is, a target that looked 20% faster by chance
	// got the requests of a whole group (measured: skew 2.4 instead of 1.6).
	unitTolerance = 1.5
	// remainingShare is the part of a request in progress that is still to be
	// done, on average.
	remainingShare = 0.5
)

// View is a snapshot with the estimates that stay the same until the next one.
// What other entries have in progress at a target is known from its report only.
// The older the report, the more the estimate moves to the mean of the data
// centre, so that entries with the same stale report do not all avoid, or all
// prefer, the same target. This entry's own requests are always exact.
type View struct {
	Targets   []Target
	estimates []estimate
}

type estimate struct {
	requests, tokens float64 // of the other entries
	capacity         float64
	perUnit          float64 // seconds
	slower           bool
}

// NewView computes the estimates.
func NewView(targets []Target) *View {
	v := &View{Targets: targets, estimates: make([]estimate, len(targets))}
	means := meansOf(targets)
	for i := range targets {
		t := &targets[i]
		m := means[t.DataCentre]
		e := &v.estimates[i]
		e.capacity = max(t.capacity(), pausedCapacity)
		e.requests, e.tokens = m.requests*e.capacity, m.tokens*e.capacity
		if t.HasReport {
			known := math.Exp(-t.ReportAge.Seconds() / forgetAfter.Seconds())
			requests, tokens := t.others()
			e.requests += known * (requests - e.requests)
			e.tokens += known * (tokens - e.tokens)
		}
		e.perUnit = m.unit
		if u := t.UnitTime.Seconds(); u > m.unit*unitTolerance || u > 0 && u < m.unit/unitTolerance {
			e.perUnit, e.slower = u, u > m.unit
		}
	}
	return v
}

// mean is per unit of capacity in one data centre.
type mean struct {
	requests, tokens, capacity float64
	unit                       float64
	units                      int
}

func meansOf(targets []Target) map[string]*mean {
	means := map[string]*mean{}
	for i := range targets {
		t := &targets[i]
		m := means[t.DataCentre]
		if m == nil {
			m = &mean{}
			means[t.DataCentre] = m
		}
		if !t.HasReport {
			continue
		}
		requests, tokens := t.others()
		m.requests += requests
		m.tokens += tokens
		m.capacity += t.capacity()
		if t.UnitTime > 0 {
			m.unit += t.UnitTime.Seconds()
			m.units++
		}
	}
	for _, m := range means {
		c := max(m.capacity, 1)
		m.requests, m.tokens = m.requests/c, m.tokens/c
		if m.units > 0 {
			m.unit /= float64(m.units)
		} else {
			m.unit = 1
		}
	}
	return means
}

func (t *Target) capacity() float64 {
	if !t.HasReport {
		return assumedLimit
	}
	return float64(t.Limit)
}

// others returns what the report says about the other entries' work.
func (t *Target) others() (requests, tokens float64) {
	requests = float64(t.Running+t.Queued) - float64(t.OwnRequestsAtReport)
	tokens = float64(t.RunningTokens+t.QueuedTokens) - remainingShare*float64(t.OwnTokensAtReport)
	return max(0, requests), max(0, tokens)
}

// Own returns the requests of this entry in progress at target i.
func (v *View) Own(i int) int64 {
	if s := v.Targets[i].Own; s != nil {
		return s.Requests.Load()
	}
	return 0
}

// Requests estimates the requests at target i.
func (v *View) Requests(i int) float64 {
	return v.estimates[i].requests + float64(v.Own(i))
}

// Capacity returns the limit of target i, slightly above zero if it is paused.
func (v *View) Capacity(i int) float64 { return v.estimates[i].capacity }

// Load estimates the share of target i's limit that is in use. At 1, new work
// has to wait.
func (v *View) Load(i int) float64 { return v.Requests(i) / v.estimates[i].capacity }

// Wait estimates the time until a new request is served, if all are alike.
func (v *View) Wait(i int) float64 {
	e := &v.estimates[i]
	return (v.Requests(i) + 1) * e.perUnit / e.capacity
}

// Work estimates the time until the work of target i and a new request with the
// given tokens are done. Calls, which have no tokens, count as one unit each.
func (v *View) Work(i, tokens int) float64 {
	e := &v.estimates[i]
	if tokens == 0 {
		return v.Wait(i)
	}
	var own int64
	if s := v.Targets[i].Own; s != nil {
		own = s.Tokens.Load()
	}
	return (e.tokens + remainingShare*float64(own) + float64(tokens)) * e.perUnit / e.capacity
}

// Slower reports whether target i is clearly slower than the mean of its data
// centre.
func (v *View) Slower(i int) bool { return v.estimates[i].slower }

// MeanLoad returns the mean load of some targets.
func (v *View) MeanLoad(members []int32) float64 {
	requests, capacity := 0.0, 0.0
	for _, i := range members {
		requests += v.Requests(int(i))
		capacity += v.estimates[i].capacity
	}
	return requests / max(capacity, 1)
}
