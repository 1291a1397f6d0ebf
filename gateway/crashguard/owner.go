package crashguard

import (
	"log/slog"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkstep/skylarkstep/routing/quarantine"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
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

// Options configures an Owner.
type Options struct {
	Instance string
	Guard    *Guard
	Log      *slog.Logger
	Registry metrics.Registry
	// Changed is called when there is something that other instances may not know.
	Changed func(now time.Time)
	// Crashed is called when a target has just crashed, whichever instance has
	// noticed it. It may be nil.
	Crashed func(id quarantine.CrashID, now time.Time)
}

// Owner holds the crash reports that an instance knows of, and decides by them.
// It is not safe for concurrent use: the control goroutine owns it.
type Owner struct {
	Options
	ledger  *quarantine.Ledger
	pending []pendingLoss
	digest  uint64
	crashes metrics.Counter
	entries metrics.Gauge
}

// NewOwner returns an owner that knows of no crash.
func NewOwner(o Options) *Owner {
	return &Owner{
		Options: o, ledger: quarantine.New(),
		crashes: metrics.NewRegisteredCounter("target.crashes", o.Registry), entries: metrics.NewRegisteredGauge("quarantine.parts", o.Registry),
	}
}

// RecordCrash records that a target has crashed while it began to work on
// requests of this instance.
func (o *Owner) RecordCrash(id quarantine.CrashID, suspects []quarantine.Suspect, now time.Time) {
	o.notify(id, now)
	isNew := o.ledger.RecordCrash(quarantine.Crash{ID: id, At: now, Suspects: suspects, Reporters: []string{o.Instance}})
	if !isNew {
		return
	}
	o.crashes.Inc(1)
	o.Log.Info("target crashed", "target", id.Target, "prompt_parts", subjectsOf(suspects), "new_parts", o.crashCounts(now))
	o.reportsChanged(now)
}

// recentCrash is the age up to which a crash that another instance reports counts as
// one that has just happened.
const recentCrash = time.Second

// notify calls Crashed for a crash that is not known yet.
func (o *Owner) notify(id quarantine.CrashID, now time.Time) {
	if o.Crashed != nil && !o.ledger.Knows(id) {
		o.Crashed(id, now)
	}
}

func (o *Owner) crashCounts(now time.Time) map[string]int {
	return o.ledger.CrashCounts(now, o.Guard.Frequency)
}

// RecordLoss keeps the loss of a request until it is known whether the target has
// crashed. It has if its entry was removed before the loss was noticed.
func (o *Owner) RecordLoss(id quarantine.CrashID, suspects []quarantine.Suspect, entryRemoved bool, now time.Time) {
	if entryRemoved {
		o.RecordCrash(id, suspects, now)
		return
	}
	o.pending = slices.DeleteFunc(o.pending, func(p pendingLoss) bool { return now.Sub(p.at) > lossMemory })
	if len(o.pending) < maxPendingLosses {
		o.pending = append(o.pending, pendingLoss{id, suspects, now})
	}
}

// ConfirmLosses takes the losses at a target as a crash, since the target has
// gone. It forgets them if the target said that it leaves.
func (o *Owner) ConfirmLosses(id quarantine.CrashID, leaving bool, now time.Time) {
	var suspects []quarantine.Suspect
	o.pending = slices.DeleteFunc(o.pending, func(p pendingLoss) bool {
		if p.id != id {
			return false
		}
		if now.Sub(p.at) <= lossMemory {
			suspects = append(suspects, p.suspects...)
		}
		return true
	})
	if len(suspects) > 0 && !leaving {
		o.RecordCrash(id, suspects, now)
	}
}

// reportsChanged adds what this instance knows of the suspects, and passes the
// crash reports on.
func (o *Owner) reportsChanged(now time.Time) {
	for subject := range o.ledger.Suspects() {
		if at := o.Guard.completedAt(subject); !at.IsZero() {
			o.ledger.RecordCompletion(subject, at)
		}
	}
	o.changed(now)
}

// changed publishes the state and passes it on.
func (o *Owner) changed(now time.Time) {
	o.publish(now)
	o.Changed(now)
}

// RecordCompletions records that requests with suspects have completed.
func (o *Owner) RecordCompletions(subjects []string, now time.Time) {
	isNew := false
	for _, subject := range subjects {
		isNew = o.ledger.RecordCompletion(subject, now) || isNew
	}
	if isNew {
		o.changed(now)
	}
}

// Update decides on subjects, and forgets old crash reports.
func (o *Owner) Update(now time.Time) {
	changed := o.ledger.Expire(now)
	for _, e := range o.ledger.Decide(now, o.Instance, o.Guard.Frequency) {
		changed = true
		o.logDecision(e, "evidence")
	}
	if changed {
		o.changed(now)
	}
}

// Merge adds the crash reports of another instance, or of the store.
func (o *Owner) Merge(s quarantine.State, source string, now time.Time) {
	for _, c := range s.Crashes {
		if c.Age < recentCrash {
			o.notify(c.ID, now)
		}
	}
	known := len(o.ledger.Entries())
	if !o.ledger.Merge(s, now) {
		return
	}
	if entries := o.ledger.Entries(); len(entries) != known {
		o.Log.Info("decisions on parts of prompts received", "source", source, "decisions", len(entries))
	}
	o.reportsChanged(now)
}

// Set quarantines or clears a subject on behalf of an operator.
func (o *Owner) Set(subject string, quarantined bool, now time.Time) {
	o.logDecision(o.ledger.Set(subject, quarantined, o.Instance, now), "operator")
	o.changed(now)
}

// publish makes the decisions visible to the goroutines that serve requests.
func (o *Owner) publish(now time.Time) {
	v := &View{Entries: map[string]quarantine.Entry{}, CrashCounts: o.crashCounts(now), Suspects: o.ledger.Suspects(), Uncleared: o.ledger.UnclearedRequests()}
	for _, e := range o.ledger.Entries() {
		if e.Phase(now) != quarantine.Cleared {
			v.Entries[e.Subject] = e
		}
	}
	o.digest = o.ledger.Digest()
	o.entries.Update(int64(len(v.Entries)))
	o.Guard.publish(v, now)
}

// Digest is the same at two instances that know of the same crashes and decisions,
// and 0 if there are none.
func (o *Owner) Digest() uint64 { return o.digest }

// TakeChanges returns what has changed since it was last called, or nil.
func (o *Owner) TakeChanges(now time.Time) *wirepb.QuarantineState {
	changes := o.ledger.TakeChanges(now)
	if changes.IsEmpty() {
		return nil
	}
	return Encode(changes)
}

// State returns all that this instance knows.
func (o *Owner) State(now time.Time) *wirepb.QuarantineState { return Encode(o.ledger.State(now)) }

// OwnState returns what this instance keeps in the store.
func (o *Owner) OwnState(now time.Time) quarantine.State { return o.ledger.StateOf(o.Instance, now) }

func (o *Owner) logDecision(e quarantine.Entry, reason string) {
	o.Log.Warn("decision on a part of prompts", "part", e.Subject, "quarantined", e.Quarantined, "duration_ms", e.Duration.Milliseconds(),
		"crashes", targetsOf(e.Crashes), "reporters", e.Reporters, "frequency", o.Guard.Frequency(e.Subject), "reason", reason)
}

func subjectsOf(suspects []quarantine.Suspect) []string {
	subjects := make([]string, 0, len(suspects))
	for _, s := range suspects {
		subjects = append(subjects, s.Subject)
	}
	return subjects
}

func targetsOf(crashes []quarantine.CrashID) []string {
	targets := make([]string, 0, len(crashes))
	for _, id := range crashes {
		targets = append(targets, id.Target)
	}
	return targets
}
