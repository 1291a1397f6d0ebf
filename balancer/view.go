package balancer

import (
	"math"
	"time"
)

const (
	// assumedLimit is the assumed concurrency limit of a target without a load
	// report. It is low because a target with a new session is often warming up.
	assumedLimit = 2
	// pausedCapacity replaces the limit of a target that starts no work at the
	// moment. It must exceed zero, so that paused targets can be compared.
	pausedCapacity = 1e-3
	// reportDecay is the report age at which about a third of a target's reported
	// difference from the mean still counts. With 500 ms, the entries overreacted to
	// reports that arrive once a second: while a data centre was out of service, 1.3%
	// of the requests were refused instead of 0.5% (docs/MEASUREMENTS.md, section
	// "Routing policies").
	reportDecay = 100 * time.Millisecond
	// unitTimeTolerance is the factor within which a target's service time is treated
	// as equal to the mean, because the difference may be noise. Without it, a target
	// that looked 20% faster by chance received the requests of a whole group of
	// targets (skew 2.4 instead of 1.6).
	unitTimeTolerance = 1.5
	// remainingFraction is the part of a request in progress that remains to be
	// done, on average.
	remainingFraction = 0.5
)

// View holds the targets of a snapshot and estimates of their load. The work of
// other entries at a target is estimated from its load report. With the age of the
// report, the estimate moves towards the mean of the data centre, so that entries
// with the same stale report do not all avoid, or all prefer, the same target. This
// entry's own requests are counted exactly.
type View struct {
	Targets   []Target
	estimates []estimate
}

type estimate struct {
	requests, tokens float64 // of the other entries
	capacity         float64
	unitSeconds      float64 // service time of a token or a call
	slowerThanMean   bool
}

// NewView returns a view of the targets with their estimates.
func NewView(targets []Target) *View {
	v := &View{Targets: targets, estimates: make([]estimate, len(targets))}
	means := meansByDataCentre(targets)
	for i := range targets {
		t := &targets[i]
		m := means[t.DataCentre]
		e := &v.estimates[i]
		e.capacity = max(t.capacity(), pausedCapacity)
		e.requests, e.tokens = m.requests*e.capacity, m.tokens*e.capacity
		if t.HasReport {
			reportWeight := math.Exp(-t.ReportAge.Seconds() / reportDecay.Seconds())
			requests, tokens := t.otherEntries()
			e.requests += reportWeight * (requests - e.requests)
			e.tokens += reportWeight * (tokens - e.tokens)
		}
		e.unitSeconds = m.unitSeconds
		if u := t.UnitTime.Seconds(); u > m.unitSeconds*unitTimeTolerance || u > 0 && u < m.unitSeconds/unitTimeTolerance {
			e.unitSeconds, e.slowerThanMean = u, u > m.unitSeconds
		}
	}
	return v
}

// dataCentreMean holds the requests and tokens per slot of one data centre and its
// mean service time. While meansByDataCentre adds up the targets, the fields hold
// sums.
type dataCentreMean struct {
	requests, tokens, capacity float64
	unitSeconds                float64
	unitCount                  int
}

// meansByDataCentre computes the means from the targets that have a load report.
func meansByDataCentre(targets []Target) map[string]*dataCentreMean {
	means := map[string]*dataCentreMean{}
	for i := range targets {
		t := &targets[i]
		m := means[t.DataCentre]
		if m == nil {
			m = &dataCentreMean{}
			means[t.DataCentre] = m
		}
		if !t.HasReport {
			continue
		}
		requests, tokens := t.otherEntries()
		m.requests += requests
		m.tokens += tokens
		m.capacity += t.capacity()
		if t.UnitTime > 0 {
			m.unitSeconds += t.UnitTime.Seconds()
			m.unitCount++
		}
	}
	for _, m := range means {
		c := max(m.capacity, 1)
		m.requests, m.tokens = m.requests/c, m.tokens/c
		if m.unitCount > 0 {
			m.unitSeconds /= float64(m.unitCount)
		} else {
			m.unitSeconds = 1
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

// otherEntries returns the reported work minus the part that is due to this entry.
func (t *Target) otherEntries() (requests, tokens float64) {
	requests = float64(t.Running+t.Queued) - float64(t.OwnRequestsAtReport)
	tokens = float64(t.RunningTokens+t.QueuedTokens) - remainingFraction*float64(t.OwnTokensAtReport)
	return max(0, requests), max(0, tokens)
}

// OwnRequests returns the number of this entry's requests in progress at target i.
func (v *View) OwnRequests(i int) int64 {
	if counter := v.Targets[i].Own; counter != nil {
		return counter.Requests.Load()
	}
	return 0
}

// Requests estimates the number of requests of all entries at target i.
func (v *View) Requests(i int) float64 {
	return v.estimates[i].requests + float64(v.OwnRequests(i))
}

// Capacity returns the concurrency limit of target i, or slightly above zero if it
// is paused.
func (v *View) Capacity(i int) float64 { return v.estimates[i].capacity }

// Load estimates the share of target i's limit that is in use. From 1 on, new
// requests have to wait.
func (v *View) Load(i int) float64 { return v.Requests(i) / v.estimates[i].capacity }

// WaitTime estimates the time in seconds until a new request at target i is served,
// on the assumption that all requests have the same size.
func (v *View) WaitTime(i int) float64 {
	e := &v.estimates[i]
	return (v.Requests(i) + 1) * e.unitSeconds / e.capacity
}

// WorkTime estimates the time in seconds until the work of target i and a new
// request with the given tokens are done. Calls have no tokens and count as one
// unit each.
func (v *View) WorkTime(i, tokens int) float64 {
	e := &v.estimates[i]
	if tokens == 0 {
		return v.WaitTime(i)
	}
	var own int64
	if counter := v.Targets[i].Own; counter != nil {
		own = counter.Tokens.Load()
	}
	return (e.tokens + remainingFraction*float64(own) + float64(tokens)) * e.unitSeconds / e.capacity
}

// SlowerThanMean reports whether target i is clearly slower than the mean of its data
// centre.
func (v *View) SlowerThanMean(i int) bool { return v.estimates[i].slowerThanMean }

// MeanLoad estimates the share of the candidates' total limit that is in use.
func (v *View) MeanLoad(candidates []int32) float64 {
	requests, capacity := 0.0, 0.0
	for _, i := range candidates {
		requests += v.Requests(int(i))
		capacity += v.estimates[i].capacity
	}
	return requests / max(capacity, 1)
}
