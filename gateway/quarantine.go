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
	// reportInterval is the shortest time between two messages with crash reports to
	// all peers, and reportResend that between two to a peer whose heartbeats
	// show other crash reports.
	reportInterval = 50 * time.Millisecond
	reportResend   = time.Second
	// lossMemory is how long a lost request is kept in case of a crash that
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

// quarantineState holds the crash reports on parts that crash targets.
type quarantineState struct {
	ledger  *quarantine.Ledger
	pending []pendingLoss
	// reportsSentAt is when all peers were last sent the crash reports, and
	// reportsDue is set while another message is scheduled.
	reportsSentAt time.Time
	reportsDue    bool
	reportsDigest uint64
	record        quarantineRecord
}

// recordCrash records that a target has crashed while it began to work on
// requests of this instance.
func (c *control) recordCrash(id quarantine.CrashID, suspects []quarantine.Suspect, now time.Time) {
	isNew := c.ledger.RecordCrash(quarantine.Crash{ID: id, At: now, Suspects: suspects, Reporters: []string{c.g.id}})
	if !isNew {
		return
	}
	c.g.metrics.targetCrashes.Inc(1)
	c.log.Info("target crashed", "target", id.Target, "prompt_parts", partsOf(suspects), "new_parts", c.ledger.CrashCounts(now, c.g.parts.frequency))
	c.reportsChanged(now)
}

// recordLoss keeps the loss of a request until it is known whether the target has
// crashed. It has if its entry was removed before the loss was noticed.
func (c *control) recordLoss(id quarantine.CrashID, suspects []quarantine.Suspect, now time.Time) {
	if t := c.targets[id.Target]; t == nil || t.Incarnation != id.Incarnation {
		c.recordCrash(id, suspects, now)
		return
	}
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
	if len(suspects) > 0 && !t.isLeaving() {
		c.recordCrash(id, suspects, now)
	}
}

// reportsChanged adds what this instance knows of the suspects, and passes the
// crash reports on.
func (c *control) reportsChanged(now time.Time) {
	for part := range c.ledger.Suspects() {
		if at := c.g.parts.completedAt(part); !at.IsZero() {
			c.ledger.RecordCompletion(part, at)
		}
	}
	c.publishQuarantine(now)
	c.sendReports(now)
}

// recordCompletions records that requests with suspects have completed.
func (c *control) recordCompletions(parts []string, now time.Time) {
	isNew := false
	for _, part := range parts {
		isNew = c.ledger.RecordCompletion(part, now) || isNew
	}
	if isNew {
		c.publishQuarantine(now)
		c.sendReports(now)
	}
}

// updateQuarantine decides on parts, and forgets old crash reports.
func (c *control) updateQuarantine(now time.Time) {
	changed := c.ledger.Expire(now)
	for _, e := range c.ledger.Decide(now, c.g.id, c.g.parts.frequency) {
		changed = true
		c.logDecision(e, "evidence")
	}
	if changed {
		c.publishQuarantine(now)
		c.sendReports(now)
	}
}

func partsOf(suspects []quarantine.Suspect) []string {
	parts := make([]string, 0, len(suspects))
	for _, s := range suspects {
		parts = append(parts, s.Subject)
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
	v := &quarantineView{entries: map[string]quarantine.Entry{}, crashCounts: c.ledger.CrashCounts(now, c.g.parts.frequency), suspects: c.ledger.Suspects()}
	for _, e := range c.ledger.Entries() {
		if e.Phase(now) != quarantine.Cleared {
			v.entries[e.Subject] = e
		}
	}
	c.reportsDigest = c.ledger.Digest()
	c.g.metrics.quarantinedParts.Update(int64(len(v.entries)))
	c.g.parts.publish(v, now)
}

// sendReports sends the crash reports to all peers, which pass them on if they are new to
// them. Messages that follow one another closely are combined.
func (c *control) sendReports(now time.Time) {
	if c.reportsDue {
		return
	}
	c.reportsDue = true
	delay := max(0, reportInterval-now.Sub(c.reportsSentAt))
	time.AfterFunc(delay, func() {
		select {
		case c.inbox <- c.sendReportsNow:
		case <-c.ended:
		}
	})
}

func (c *control) sendReportsNow() {
	now := time.Now()
	c.reportsDue, c.reportsSentAt = false, now
	changes := c.ledger.TakeChanges(now)
	if changes.IsEmpty() {
		return
	}
	frame := &wirepb.PeerFrame{Body: &wirepb.PeerFrame_Quarantine{Quarantine: encodeReports(changes)}}
	for _, p := range c.peers.byID {
		if p.hasSession() && now.Sub(p.lastHeartbeatAt) < peerTimeout {
			c.sendAsync(p.session, frame)
		}
	}
}

// compareReports sends the crash reports to a peer whose heartbeat shows that it has
// other crash reports: it has just started, or messages were lost.
func (c *control) compareReports(p *peer, session *wire.Session, digest uint64, now time.Time) {
	if c.reportsDigest == 0 || c.reportsDigest == digest || now.Sub(p.reportsSentAt) < reportResend {
		return
	}
	p.reportsSentAt = now
	state := encodeReports(c.ledger.State(now))
	c.sendAsync(session, &wirepb.PeerFrame{Body: &wirepb.PeerFrame_Quarantine{Quarantine: state}})
}

// mergeReports adds the crash reports of another instance, or of the store.
func (c *control) mergeReports(s quarantine.State, source string, now time.Time) {
	known := len(c.ledger.Entries())
	if !c.ledger.Merge(s, now) {
		return
	}
	if entries := c.ledger.Entries(); len(entries) != known {
		c.log.Info("decisions on parts of prompts received", "source", source, "decisions", len(entries))
	}
	c.reportsChanged(now)
}

// SetQuarantined quarantines or clears a part on behalf of an operator. It reports
// whether the decision was made.
func (g *Gateway) SetQuarantined(ctx context.Context, part string, quarantined bool) bool {
	_, ok := query(ctx, g.control, func() struct{} {
		now := time.Now()
		e := g.control.ledger.Set(part, quarantined, g.id, now)
		g.control.logDecision(e, "operator")
		g.control.publishQuarantine(now)
		g.control.sendReports(now)
		return struct{}{}
	})
	return ok
}

func (c *control) logDecision(e quarantine.Entry, reason string) {
	c.log.Warn("decision on a part of prompts", "part", e.Subject, "quarantined", e.Quarantined, "duration_ms", e.Duration.Milliseconds(),
		"crashes", targetsOf(e.Crashes), "reporters", e.Reporters, "frequency", c.g.parts.frequency(e.Subject), "reason", reason)
}
