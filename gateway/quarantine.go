package gateway

import (
	"context"
	"slices"
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
