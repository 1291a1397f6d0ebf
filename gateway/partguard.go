package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/routing/quarantine"
)

// quarantineView is the state by which requests are admitted. It is immutable
// once it is published.
type quarantineView struct {
	// entries holds the subjects that are quarantined or half-open.
	entries map[string]quarantine.Entry
	// crashCounts holds the number of crashes of each suspect with which no
	// request has completed.
	crashCounts map[string]int
	// suspects holds the parts that were in progress at a crash, and whether a
	// completion would clear them.
	suspects map[string]bool
}

// partGuard keeps requests, and parts of prompts, that crash targets away from them.
type partGuard struct {
	view atomic.Pointer[quarantineView]
	// parts and requests are apart, since most requests come once only and would
	// displace the parts.
	parts, requests *partTracker

	mu sync.Mutex
	// probes holds the exchange that may send a suspect to a target, by part.
	probes map[string]*exchange
	// inProgress holds all exchanges.
	inProgress map[*exchange]func(quarantine.Entry)
}

func newPartGuard() *partGuard {
	g := &partGuard{parts: newPartTracker(), requests: newPartTracker(), probes: map[string]*exchange{}, inProgress: map[*exchange]func(quarantine.Entry){}}
	g.view.Store(&quarantineView{})
	return g
}

// recordRequest counts a request with the given parts.
func (g *partGuard) recordRequest(parts []string, now time.Time) {
	if len(parts) > 0 {
		g.parts.recordRequest(parts, now)
	}
}

// recordCompletion records that a request with the given subjects has completed.
// It returns those whose completion should be reported to other instances.
func (g *partGuard) recordCompletion(subjects []string, now time.Time) []string {
	v := g.view.Load()
	isSuspect := func(subject string) bool { return v.suspects[subject] }
	last := len(subjects) - 1
	report := g.parts.recordCompletion(subjects[:last], isSuspect, now)
	return append(report, g.requests.recordCompletion(subjects[last:], isSuspect, now)...)
}

// completedAt returns when a request with the subject last completed here, or the
// zero time.
func (g *partGuard) completedAt(subject string) time.Time {
	if quarantine.IsRequest(subject) {
		return g.requests.completedAt(subject)
	}
	return g.parts.completedAt(subject)
}

// frequency returns the share of the recent requests that have the part.
func (g *partGuard) frequency(part string) float64 { return g.parts.frequency(part) }

// register makes cancel be called if a subject of the request is quarantined. The
// returned function ends that.
func (g *partGuard) register(x *exchange, cancel func(quarantine.Entry)) (done func()) {
	g.mu.Lock()
	g.inProgress[x] = cancel
	g.mu.Unlock()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.inProgress, x)
		for _, part := range x.subjects {
			if g.probes[part] == x {
				delete(g.probes, part)
			}
		}
	}
}

// beginProbe reports whether the exchange is the only one here that sends the
// part to a target.
func (g *partGuard) beginProbe(part string, x *exchange) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if holder := g.probes[part]; holder != nil && holder != x {
		return false
	}
	g.probes[part] = x
	return true
}

// publish makes a view visible, and cancels the requests in progress that have a
// quarantined part.
func (g *partGuard) publish(v *quarantineView, now time.Time) {
	g.view.Store(v)
	if len(v.entries) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for x, cancel := range g.inProgress {
		for _, part := range x.subjects {
			if e, ok := v.entries[part]; ok && e.Phase(now) == quarantine.Quarantined {
				cancel(e)
			}
		}
	}
}
