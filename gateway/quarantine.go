package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/routing/quarantine"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// evidenceInterval is the shortest time between two messages with evidence to
	// all peers, and evidenceResend that between two to a peer whose heartbeats
	// show other evidence.
	evidenceInterval = 50 * time.Millisecond
	evidenceResend   = time.Second
	// lossMemory is how long a lost request is kept as evidence for a crash that
	// only the removal of the target's entry confirms.
	lossMemory = 10 * time.Second
	// maxPendingLosses bounds them.
	maxPendingLosses = 256
)

// quarantineView is the state by which requests are admitted. It is immutable
// once it is published.
type quarantineView struct {
	// entries holds the parts that are quarantined or in trial.
	entries map[string]quarantine.Entry
	// crashCounts holds the number of crashes of each suspect with which no
	// request has completed.
	crashCounts map[string]int
	// suspects holds the parts that were in progress at a crash, and whether a
	// completion would be evidence for them.
	suspects map[string]bool
}

// partGuard keeps the parts of prompts that crash targets away from them.
type partGuard struct {
	view    atomic.Pointer[quarantineView]
	tracker *partTracker

	mu sync.Mutex
	// trials holds the exchange that may send a suspect to a target, by part.
	trials map[string]*exchange
	// inProgress holds the exchanges whose prompts have parts that others share.
	inProgress map[*exchange]func(quarantine.Entry)
}

func newPartGuard() *partGuard {
	g := &partGuard{tracker: newPartTracker(), trials: map[string]*exchange{}, inProgress: map[*exchange]func(quarantine.Entry){}}
	g.view.Store(&quarantineView{})
	return g
}

// register makes cancel be called if a part of the request is quarantined. The
// returned function ends that.
func (g *partGuard) register(x *exchange, cancel func(quarantine.Entry)) (done func()) {
	g.mu.Lock()
	g.inProgress[x] = cancel
	g.mu.Unlock()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.inProgress, x)
		for _, part := range x.sharedParts {
			if g.trials[part] == x {
				delete(g.trials, part)
			}
		}
	}
}

// beginTrial reports whether the exchange is the only one here that sends the
// part to a target.
func (g *partGuard) beginTrial(part string, x *exchange) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if holder := g.trials[part]; holder != nil && holder != x {
		return false
	}
	g.trials[part] = x
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
		for _, part := range x.sharedParts {
			if e, ok := v.entries[part]; ok && e.Phase(now) == quarantine.Quarantined {
				cancel(e)
			}
		}
	}
}

// pendingLoss is a loss at a target of which it is not known yet whether the
// target has crashed.
type pendingLoss struct {
	id       quarantine.CrashID
	suspects []quarantine.Suspect
	at       time.Time
}

// quarantineState is the evidence on parts that crash targets.
type quarantineState struct {
	ledger  *quarantine.Ledger
	pending []pendingLoss
	// evidenceSentAt is when all peers were last sent the evidence, and
	// evidenceDue is set while another message is scheduled.
	evidenceSentAt time.Time
	evidenceDue    bool
	evidenceDigest uint64
	record         quarantineRecord
}

// recordCrash records that a target has crashed while it began to work on
// requests of this instance.
func (c *control) recordCrash(id quarantine.CrashID, suspects []quarantine.Suspect, now time.Time) {
	isNew := c.ledger.RecordCrash(quarantine.Crash{ID: id, At: now, Suspects: suspects, Reporters: []string{c.g.id}})
	if !isNew {
		return
	}
	c.g.metrics.targetCrashes.Inc(1)
	c.log.Info("target crashed", "target", id.Target, "prompt_parts", partsOf(suspects), "new_parts", c.ledger.CrashCounts(now, c.g.parts.tracker.frequency))
	c.evidenceChanged(now)
}

// recordLoss keeps the loss of a request until it is known whether the target has
// crashed.
func (c *control) recordLoss(id quarantine.CrashID, suspects []quarantine.Suspect, now time.Time) {
	c.pending = slices.DeleteFunc(c.pending, func(p pendingLoss) bool { return now.Sub(p.at) > lossMemory })
	if len(c.pending) < maxPendingLosses {
		c.pending = append(c.pending, pendingLoss{id, suspects, now})
	}
}

// confirmLosses takes the losses at a target as a crash, since the target has
// gone without notice.
func (c *control) confirmLosses(t *target, now time.Time) {
	var suspects []quarantine.Suspect
	id := t.crashID()
	c.pending = slices.DeleteFunc(c.pending, func(p pendingLoss) bool {
		if p.id != id {
			return false
		}
		if now.Sub(p.at) <= lossMemory {
			suspects = append(suspects, p.suspects...)
		}
		return true
	})
	if len(suspects) > 0 && !t.Leaving {
		c.recordCrash(id, suspects, now)
	}
}

// evidenceChanged adds what this instance knows of the suspects, and passes the
// evidence on.
func (c *control) evidenceChanged(now time.Time) {
	for part := range c.ledger.Suspects() {
		if at := c.g.parts.tracker.completedAt(part); !at.IsZero() {
			c.ledger.RecordCompletion(part, at)
		}
	}
	c.publishQuarantine(now)
	c.sendEvidence(now)
}

// recordCompletions records that requests with suspects have completed.
func (c *control) recordCompletions(parts []string, now time.Time) {
	isNew := false
	for _, part := range parts {
		isNew = c.ledger.RecordCompletion(part, now) || isNew
	}
	if isNew {
		c.publishQuarantine(now)
		c.sendEvidence(now)
	}
}

// updateQuarantine decides on parts, and forgets old evidence.
func (c *control) updateQuarantine(now time.Time) {
	changed := c.ledger.Expire(now)
	for _, e := range c.ledger.Decide(now, c.g.id, c.g.parts.tracker.frequency) {
		changed = true
		c.logDecision(e, "evidence")
	}
	if changed {
		c.publishQuarantine(now)
		c.sendEvidence(now)
	}
}

func partsOf(suspects []quarantine.Suspect) []string {
	parts := make([]string, 0, len(suspects))
	for _, s := range suspects {
		parts = append(parts, s.Part)
	}
	return parts
}

func targetsOf(crashes []quarantine.CrashID) []string {
	targets := make([]string, 0, len(crashes))
	for _, id := range crashes {
		targets = append(targets, id.Target)
	}
	return targets
}

// publishQuarantine makes the decisions visible to the goroutines that serve
// requests.
func (c *control) publishQuarantine(now time.Time) {
	v := &quarantineView{entries: map[string]quarantine.Entry{}, crashCounts: c.ledger.CrashCounts(now, c.g.parts.tracker.frequency), suspects: c.ledger.Suspects()}
	for _, e := range c.ledger.Entries() {
		if e.Phase(now) != quarantine.Cleared {
			v.entries[e.Part] = e
		}
	}
	c.evidenceDigest = c.ledger.Digest()
	c.g.metrics.quarantinedParts.Update(int64(len(v.entries)))
	c.g.parts.publish(v, now)
}

// sendEvidence sends the evidence to all peers, which pass it on if it is new to
// them. Messages that follow one another closely are combined.
func (c *control) sendEvidence(now time.Time) {
	if c.evidenceDue {
		return
	}
	c.evidenceDue = true
	delay := max(0, evidenceInterval-now.Sub(c.evidenceSentAt))
	time.AfterFunc(delay, func() {
		select {
		case c.inbox <- c.sendEvidenceNow:
		case <-c.ended:
		}
	})
}

func (c *control) sendEvidenceNow() {
	now := time.Now()
	c.evidenceDue, c.evidenceSentAt = false, now
	changes := c.ledger.TakeChanges(now)
	if changes.IsEmpty() {
		return
	}
	frame := &wirepb.PeerFrame{Body: &wirepb.PeerFrame_Quarantine{Quarantine: encodeEvidence(changes)}}
	for _, p := range c.peers.byID {
		if p.hasSession() && now.Sub(p.lastHeartbeatAt) < peerTimeout {
			c.sendAsync(p.session, frame)
		}
	}
}

// compareEvidence sends the evidence to a peer whose heartbeat shows that it has
// other evidence: it has just started, or messages were lost.
func (c *control) compareEvidence(p *peer, session *wire.Session, digest uint64, now time.Time) {
	if c.evidenceDigest == 0 || c.evidenceDigest == digest || now.Sub(p.evidenceSentAt) < evidenceResend {
		return
	}
	p.evidenceSentAt = now
	state := encodeEvidence(c.ledger.State(now))
	c.sendAsync(session, &wirepb.PeerFrame{Body: &wirepb.PeerFrame_Quarantine{Quarantine: state}})
}

// mergeEvidence adds the evidence of another instance, or of the store.
func (c *control) mergeEvidence(s quarantine.State, source string, now time.Time) {
	known := len(c.ledger.Entries())
	if !c.ledger.Merge(s, now) {
		return
	}
	if entries := c.ledger.Entries(); len(entries) != known {
		c.log.Info("decisions on parts of prompts received", "source", source, "decisions", len(entries))
	}
	c.evidenceChanged(now)
}

func encodeEvidence(s quarantine.State) *wirepb.QuarantineState {
	w := &wirepb.QuarantineState{}
	for _, crash := range s.Crashes {
		w.Crashes = append(w.Crashes, &wirepb.TargetCrash{
			Target: crash.ID.Target, Incarnation: crash.ID.Incarnation, AgeMs: uint64(crash.Age.Milliseconds()),
			Suspects: encodeSuspects(crash.Suspects), Reporters: crash.Reporters,
		})
	}
	for _, completion := range s.Completions {
		w.Completions = append(w.Completions, &wirepb.PartCompletion{Part: completion.Part, AgeMs: uint64(completion.Age.Milliseconds())})
	}
	for _, e := range s.Entries {
		d := &wirepb.PartDecision{
			Part: e.Part, Version: e.Version, Quarantined: e.Quarantined, AgeMs: uint64(e.Age.Milliseconds()),
			DurationMs: uint64(e.Duration.Milliseconds()), Reporters: e.Reporters, DecidedBy: e.DecidedBy,
		}
		for _, id := range e.Crashes {
			d.Crashes = append(d.Crashes, &wirepb.TargetCrash{Target: id.Target, Incarnation: id.Incarnation})
		}
		w.Decisions = append(w.Decisions, d)
	}
	return w
}

func encodeSuspects(suspects []quarantine.Suspect) []*wirepb.PromptPart {
	var encoded []*wirepb.PromptPart
	for _, s := range suspects {
		encoded = append(encoded, &wirepb.PromptPart{Part: s.Part, Depth: uint32(s.Depth)})
	}
	return encoded
}

func decodeSuspects(encoded []*wirepb.PromptPart) []quarantine.Suspect {
	var suspects []quarantine.Suspect
	for _, p := range encoded {
		suspects = append(suspects, quarantine.Suspect{Part: p.GetPart(), Depth: int(p.GetDepth())})
	}
	return suspects
}

// decodeEvidence decodes evidence that is older by delay than when it was sent.
func decodeEvidence(w *wirepb.QuarantineState, delay time.Duration) quarantine.State {
	age := func(ms uint64) time.Duration { return time.Duration(ms)*time.Millisecond + delay }
	var s quarantine.State
	for _, crash := range w.GetCrashes() {
		s.Crashes = append(s.Crashes, quarantine.CrashState{
			ID: quarantine.CrashID{Target: crash.GetTarget(), Incarnation: crash.GetIncarnation()}, Age: age(crash.GetAgeMs()),
			Suspects: decodeSuspects(crash.GetSuspects()), Reporters: crash.GetReporters(),
		})
	}
	for _, completion := range w.GetCompletions() {
		s.Completions = append(s.Completions, quarantine.CompletionState{Part: completion.GetPart(), Age: age(completion.GetAgeMs())})
	}
	for _, d := range w.GetDecisions() {
		e := quarantine.Entry{
			Part: d.GetPart(), Version: d.GetVersion(), Quarantined: d.GetQuarantined(),
			Duration: time.Duration(d.GetDurationMs()) * time.Millisecond, Reporters: d.GetReporters(), DecidedBy: d.GetDecidedBy(),
		}
		for _, crash := range d.GetCrashes() {
			e.Crashes = append(e.Crashes, quarantine.CrashID{Target: crash.GetTarget(), Incarnation: crash.GetIncarnation()})
		}
		s.Entries = append(s.Entries, quarantine.EntryState{Entry: e, Age: age(d.GetAgeMs())})
	}
	return s
}

// SetQuarantined quarantines or clears a part on behalf of an operator. It reports
// whether the decision was made.
func (g *Gateway) SetQuarantined(ctx context.Context, part string, quarantined bool) bool {
	_, ok := query(ctx, g.control, func() struct{} {
		now := time.Now()
		e := g.control.ledger.Set(part, quarantined, g.id, now)
		g.control.logDecision(e, "operator")
		g.control.publishQuarantine(now)
		g.control.sendEvidence(now)
		return struct{}{}
	})
	return ok
}

func (c *control) logDecision(e quarantine.Entry, reason string) {
	c.log.Warn("decision on a part of prompts", "part", e.Part, "quarantined", e.Quarantined, "duration_ms", e.Duration.Milliseconds(),
		"crashes", targetsOf(e.Crashes), "reporters", e.Reporters, "frequency", c.g.parts.tracker.frequency(e.Part), "reason", reason)
}
