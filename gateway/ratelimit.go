package gateway

import (
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// limitEndResponses is how many responses in a row must not name a limit, and
	// limitEndTime how long ago the last one that did must be, until the limit has
	// ended: a target may name it in some of its responses only.
	limitEndResponses = 3
	limitEndTime      = 5 * time.Second
	// endedLimitMemory is how long the end of a limit is passed on.
	endedLimitMemory = 10 * time.Second
	// limitNewsAge is how much later than the known one the response must be that a
	// peer tells of. What is known already comes back as older, by the transit and the
	// rounding of each hop.
	limitNewsAge = 500 * time.Millisecond
	// demandHalfLife is the half-life of the rate of requests to a back end.
	demandHalfLife = 2 * time.Second
)

// targetLimit is what this instance knows of the limit that a target names, in
// requests per second from all instances together.
type targetLimit struct {
	named bool
	limit float64
	// shownAt is when the response arrived that shows this, here or at another
	// instance; zero if no response ever named a limit.
	shownAt time.Time
	// unnamed is the number of responses since then that did not name it.
	unnamed int
	// share is the number of requests per second that this instance may send; 0 if
	// others do.
	share  float64
	bucket routing.TokenBucket
}

// recordResponse records what a response says about the limit. It reports whether
// the limit has changed.
func (l *targetLimit) recordResponse(m ResponseMeta, now time.Time) bool {
	if m.HasRateLimit {
		return l.update(true, m.RateLimit, now)
	}
	if !l.named {
		return false
	}
	l.unnamed++
	if l.unnamed < limitEndResponses || now.Sub(l.shownAt) < limitEndTime {
		return false
	}
	return l.update(false, 0, now)
}

// update records the limit as of a time, unless a later one is known. It reports
// whether the limit has changed.
func (l *targetLimit) update(named bool, limit float64, shownAt time.Time) bool {
	if !shownAt.After(l.shownAt) {
		return false
	}
	changed := named != l.named || limit != l.limit
	if named && !l.named {
		l.share = 0 // until the control goroutine has distributed the limit
		l.bucket.StartSpread(shownAt)
	}
	l.named, l.limit, l.shownAt, l.unnamed = named, limit, shownAt, 0
	return changed
}

// allows reports whether the limit allows this instance a request now.
func (l *targetLimit) allows(now time.Time) bool {
	return !l.named || l.share > 0 && l.bucket.CanTake(l.share, now)
}

// take counts a request that is about to be sent.
func (l *targetLimit) take(now time.Time) {
	if l.named {
		l.bucket.Take(l.share, now)
	}
}

// recordLimit records what a response says about the limit of its target.
func (x *exchange) recordLimit(t *target, m ResponseMeta) {
	now := time.Now()
	t.mu.Lock()
	changed := t.rateLimit.recordResponse(m, now)
	t.mu.Unlock()
	if changed {
		x.g.log.Info("limit of a target changed", "target", t.ID, "back_end", t.Backend, "named", m.HasRateLimit, "requests_per_s", m.RateLimit,
			"request", x.meta.ID)
		x.g.control.post(x.r.Context(), func() { x.g.control.distributeLimits(now) })
	}
}

// demandTable holds the rate of the requests of this instance's callers, by back
// end.
type demandTable struct {
	mu        sync.Mutex
	byBackend map[string]*routing.DecayingCount
}

func (d *demandTable) recordRequest(backend string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.byBackend[backend]
	if c == nil {
		c = &routing.DecayingCount{}
		d.byBackend[backend] = c
	}
	c.Increment(now, demandHalfLife)
}

func (d *demandTable) rate(backend string, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.byBackend[backend]; c != nil {
		return c.Rate(now, demandHalfLife)
	}
	return 0
}

// limitedTargets returns the targets that have named a limit, by back end.
func (c *control) limitedTargets() map[string][]*target {
	found := map[string][]*target{}
	for _, t := range c.targets {
		t.mu.Lock()
		named := t.rateLimit.named
		t.mu.Unlock()
		if named {
			found[t.Backend] = append(found[t.Backend], t)
		}
	}
	return found
}

// distributeLimits determines which part of each limit this instance may use.
func (c *control) distributeLimits(now time.Time) {
	limited := c.limitedTargets()
	if len(limited) == 0 {
		return
	}
	instances := c.sendingInstances(now)
	for backend, targets := range limited {
		total := 0
		for _, t := range c.targets {
			if t.Backend == backend && !t.isLeaving() {
				total++
			}
		}
		for _, t := range targets {
			c.distributeLimit(t, instances, total, len(targets) >= total, now)
		}
	}
}

func (c *control) distributeLimit(t *target, instances []string, targets int, allLimited bool, now time.Time) {
	t.mu.Lock()
	limit := max(t.rateLimit.limit, routing.MinRateLimit)
	t.mu.Unlock()
	senders := routing.LimitSenders(limit, len(instances), targets, allLimited)
	isSender, own := false, c.g.demands.rate(t.Backend, now)
	var demands []float64
	for position, id := range instances {
		if !routing.IsSender(t.ID, position, len(instances), senders) {
			continue
		}
		if id == c.g.id {
			isSender = true
			demands = append(demands, own)
		} else {
			demands = append(demands, c.peers.demand(id, t.Backend, now))
		}
	}
	share := 0.0
	if isSender {
		share = limit * routing.LimitShare(own, demands)
	}
	t.mu.Lock()
	t.rateLimit.share = share
	t.mu.Unlock()
}

// mergeLimits takes over the limits that another instance knows of, with their ages
// as of madeAt.
func (c *control) mergeLimits(limits []*wirepb.TargetLimit, madeAt, now time.Time) {
	changed := false
	for _, l := range limits {
		t := c.targets[l.GetTarget()]
		if t == nil || t.Incarnation != l.GetIncarnation() {
			continue
		}
		shownAt := madeAt.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)
		t.mu.Lock()
		if shownAt.Sub(t.rateLimit.shownAt) > limitNewsAge {
			changed = t.rateLimit.update(!l.GetEnded(), l.GetLimit(), shownAt) || changed
		}
		t.mu.Unlock()
	}
	if changed {
		c.distributeLimits(now)
	}
}

// addLimits adds the limits that this instance knows of to a heartbeat, and the
// rates of requests by which they are distributed.
func (c *control) addLimits(b *wirepb.PeerBeat, now time.Time) {
	backends := map[string]bool{}
	for id, t := range c.targets {
		t.mu.Lock()
		l := t.rateLimit
		t.mu.Unlock()
		if l.shownAt.IsZero() || !l.named && now.Sub(l.shownAt) > endedLimitMemory {
			continue
		}
		backends[t.Backend] = true
		b.Limits = append(b.Limits, &wirepb.TargetLimit{
			Target: id, Incarnation: t.Incarnation, Limit: l.limit, Ended: !l.named, AgeMs: ceilMillis(now.Sub(l.shownAt)),
		})
	}
	for backend := range backends {
		b.Demands = append(b.Demands, &wirepb.BackendDemand{Backend: backend, RequestsPerS: c.g.demands.rate(backend, now)})
	}
}

// demand returns the rate of the requests of a peer's callers to a back end, or -1
// if it is unknown.
func (p *peerTable) demand(id, backend string, now time.Time) float64 {
	peer := p.byID[id]
	if peer == nil || now.Sub(peer.lastHeartbeatAt) >= peerTimeout {
		return -1
	}
	if rate, ok := peer.demands[backend]; ok {
		return rate
	}
	return -1
}
