package crashguard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/routing/quarantine"
)

// View is the state by which requests are admitted. It is immutable once it is
// published.
type View struct {
	// Entries holds the subjects that are quarantined or half-open.
	Entries map[string]quarantine.Entry
	// CrashCounts holds the number of crashes of each suspect with which no
	// request has completed.
	CrashCounts map[string]int
	// Uncleared holds the requests that were in progress at a crash and of which no
	// repeat has completed, with the time of the latest such crash.
	Uncleared map[string]time.Time
	// Suspects holds the subjects that were in progress at a crash, and whether a
	// completion would clear them.
	Suspects map[string]bool
}

// Guard keeps the requests, and the parts of prompts, that crash targets away from
// them. It is safe for concurrent use.
type Guard struct {
	view atomic.Pointer[View]
	// parts and requests are apart, since most requests come once only and would
	// displace the parts.
	parts, requests *tracker

	mu sync.Mutex
	// probes holds the request that may send a suspect to a target, by subject.
	probes map[string]*Admission
	// paces holds when a subject that only one instance probes may be probed again.
	paces      map[string]pace
	inProgress map[*Admission]bool
}

// NewGuard returns a guard that keeps nothing away.
func NewGuard() *Guard {
	g := &Guard{parts: newTracker(), requests: newTracker(), probes: map[string]*Admission{}, paces: map[string]pace{}, inProgress: map[*Admission]bool{}}
	g.view.Store(&View{})
	return g
}

// View returns the current view.
func (g *Guard) View() *View { return g.view.Load() }

// Admission is a request in progress whose subjects the guard watches.
type Admission struct {
	guard *Guard
	// Parts holds the shared parts of the prompt, and Request the name of the
	// request itself.
	Parts   []string
	Request string
	// stopsGroup is set if the crash of a target stops all the targets of its group.
	stopsGroup bool
	cancel     func(quarantine.Entry)
}

// Enter counts a request and returns its admission. cancel is called if one of its
// subjects is quarantined while it is in progress. stopsGroup tells that the crash of a
// target would stop all the targets of its group.
func (g *Guard) Enter(parts []string, request string, stopsGroup bool, now time.Time, cancel func(quarantine.Entry)) *Admission {
	if len(parts) > 0 {
		g.parts.recordRequest(parts, now)
	}
	a := &Admission{guard: g, Parts: parts, Request: request, stopsGroup: stopsGroup, cancel: cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress[a] = true
	return a
}

// Leave ends the admission.
func (a *Admission) Leave() {
	g := a.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inProgress, a)
	for _, subject := range a.Subjects() {
		if g.probes[subject] == a {
			delete(g.probes, subject)
		}
	}
}

// Subjects returns what of the request may crash targets: the shared parts of its
// prompt, and the request itself.
func (a *Admission) Subjects() []string {
	return append(a.Parts[:len(a.Parts):len(a.Parts)], a.Request)
}

// Suspects returns the subjects as the suspects of a crash.
func (a *Admission) Suspects() []quarantine.Suspect { return quarantine.SuspectsOf(a.Parts, a.Request) }

// Obstacle is why a request must not be sent to a target.
type Obstacle struct {
	Subject string
	// Entry is the decision to quarantine the subject; nil if it is a suspect that is
	// probed by another request.
	Entry *quarantine.Entry
	// AtOtherInstance is set if only another instance may probe it.
	AtOtherInstance bool
	// Wait is how long it must not be probed, if it was just probed or was in progress
	// when a rank group lost a rank.
	Wait time.Duration
}

// groupSuspicion is how long a request that was in progress when a target crashed is
// kept from rank groups. A second crash would cost all requests of the group some
// seconds, and a caller that repeats its request does so within less than this.
const groupSuspicion = 30 * time.Second

// suspicionWait returns how long the request must be kept from rank groups because it
// was in progress at a crash. Of a request that has completed before, one crash says
// little.
func (a *Admission) suspicionWait(v *View, now time.Time) time.Duration {
	crashedAt, uncleared := v.Uncleared[a.Request]
	if !a.stopsGroup || !uncleared {
		return 0
	}
	return max(0, groupSuspicion-now.Sub(crashedAt))
}

const (
	// firstProbePause is the pause after a probe of a subject that only one instance
	// probes. It doubles with each probe: one that a target refuses tells nothing, and
	// yet counts as a request that the target got.
	firstProbePause = 2 * time.Second
	// maxPaces limits the subjects whose pauses are remembered.
	maxPaces = 256
)

// pace is when a subject may be probed again, and the pause after that.
type pace struct {
	next  time.Time
	pause time.Duration
}

// RecordSent records that the request is about to be sent to a target.
func (a *Admission) RecordSent(now time.Time) {
	v, g := a.guard.View(), a.guard
	for _, subject := range a.Subjects() {
		if !a.isProbedOnce(v, subject, now) {
			continue
		}
		g.mu.Lock()
		p, known := g.paces[subject]
		if !known && len(g.paces) >= maxPaces {
			clear(g.paces)
		}
		p.pause = max(firstProbePause, 2*p.pause)
		p.next = now.Add(p.pause)
		g.paces[subject] = p
		g.mu.Unlock()
	}
}

// isProbedOnce reports whether only one instance may probe the subject.
func (a *Admission) isProbedOnce(v *View, subject string, now time.Time) bool {
	if _, uncleared := v.Uncleared[subject]; uncleared && a.stopsGroup {
		return true
	}
	if e, decided := v.Entries[subject]; decided && e.Phase(now) == quarantine.HalfOpen {
		return true
	}
	return quarantine.IsRequest(subject) && v.CrashCounts[subject] >= quarantine.OwnerCrashes
}

// probeWait returns how long the subject must not be probed.
func (g *Guard) probeWait(subject string, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, g.paces[subject].next.Sub(now))
}

// Check returns why the request must not be sent to a target now, or nil. isProber
// reports whether this instance is the one that probes a subject if only one may.
func (a *Admission) Check(now time.Time, isProber func(subject string) bool) *Obstacle {
	v := a.guard.View()
	if wait := a.suspicionWait(v, now); wait > 0 {
		return &Obstacle{Subject: a.Request, Wait: wait}
	}
	for _, subject := range a.Subjects() {
		e, decided := v.Entries[subject]
		phase := quarantine.Cleared
		if decided {
			phase = e.Phase(now)
		}
		oneInstance := a.isProbedOnce(v, subject, now)
		switch {
		case phase == quarantine.Quarantined:
			return &Obstacle{Subject: subject, Entry: &e}
		case oneInstance && !isProber(subject):
			return &Obstacle{Subject: subject, AtOtherInstance: true}
		case oneInstance && a.guard.probeWait(subject, now) > 0:
			return &Obstacle{Subject: subject, Wait: a.guard.probeWait(subject, now)}
		case (oneInstance || v.CrashCounts[subject] >= quarantine.ProbeCrashes) && !a.beginProbe(subject):
			return &Obstacle{Subject: subject}
		}
	}
	return nil
}

// beginProbe reports whether the request is the only one here that sends the subject
// to a target.
func (a *Admission) beginProbe(subject string) bool {
	g := a.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if holder := g.probes[subject]; holder != nil && holder != a {
		return false
	}
	g.probes[subject] = a
	return true
}

// HasSuspect reports whether a subject of the request was in progress at several
// crashes and no request with it has completed.
func (a *Admission) HasSuspect() bool {
	v := a.guard.View()
	if _, uncleared := v.Uncleared[a.Request]; uncleared && a.stopsGroup {
		return true
	}
	for _, subject := range a.Subjects() {
		if _, decided := v.Entries[subject]; decided || v.CrashCounts[subject] >= quarantine.ProbeCrashes {
			return true
		}
	}
	return false
}

// Complete records that the request does not crash targets. It returns the subjects
// whose completion should be reported to other instances.
func (a *Admission) Complete(now time.Time) []string {
	v := a.guard.View()
	isSuspect := func(subject string) bool { return v.Suspects[subject] }
	report := a.guard.parts.recordCompletion(a.Parts, isSuspect, now)
	return append(report, a.guard.requests.recordCompletion([]string{a.Request}, isSuspect, now)...)
}

// completedAt returns when a request with the subject last completed here, or the
// zero time.
func (g *Guard) completedAt(subject string) time.Time {
	if quarantine.IsRequest(subject) {
		return g.requests.completedAt(subject)
	}
	return g.parts.completedAt(subject)
}

// Frequency returns the share of the recent requests that have the part.
func (g *Guard) Frequency(part string) float64 { return g.parts.frequency(part) }

// publish makes a view visible, and cancels the requests in progress that have a
// quarantined subject.
func (g *Guard) publish(v *View, now time.Time) {
	g.view.Store(v)
	if len(v.Entries) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for a := range g.inProgress {
		for _, subject := range a.Subjects() {
			if e, ok := v.Entries[subject]; ok && e.Phase(now) == quarantine.Quarantined {
				a.cancel(e)
			}
		}
	}
}
