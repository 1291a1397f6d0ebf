package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// Retention is how long a crash, a completion and a quarantine are
	// remembered.
	Retention = 10 * time.Minute
	// maxDuration limits the quarantine of a part that crashes targets again
	// after each probe.
	maxDuration = 2 * time.Hour
	// halfOpenPeriod is how long a part may be probed after its quarantine. If no
	// request with it completes or crashes a target, it is forgotten.
	halfOpenPeriod = 10 * time.Minute

	// maxCrashes, maxSuspects and maxEntries bound the ledger.
	maxCrashes     = 256
	maxSuspects    = 256 // of one crash
	maxEntries     = 256
	maxCompletions = 4096
)

// CrashID identifies the crash of one incarnation of a target.
type CrashID struct {
	Target      string
	Incarnation int64
}

// Crash is a crash of a target.
type Crash struct {
	ID CrashID
	At time.Time
	// Suspects holds the parts of the requests that the target had just begun to
	// work on, without the last part of each, which no other request has.
	Suspects []Suspect
	// Reporters holds the instances that lost such requests.
	Reporters []string
}

// Suspect is a part that was in progress at a crash.
type Suspect struct {
	Subject string
	// Depth is its position in the prompt, from 0. The first parts are those that
	// most requests share.
	Depth int
}

// SuspectsOf returns the suspects of one request, whose prompt begins with the
// given parts.
func SuspectsOf(parts []string) []Suspect {
	found := make([]Suspect, 0, len(parts))
	for depth, part := range parts {
		found = append(found, Suspect{part, depth})
	}
	return found
}

// Phase is the phase of an entry.
type Phase uint8

// The values of Phase. A half-open part may be sent by one instance, one request
// at a time: it is cleared if a request completes, and quarantined again if a
// target crashes.
const (
	Cleared Phase = iota
	Quarantined
	HalfOpen
)

// String returns the name of the phase in logs and responses.
func (p Phase) String() string {
	return [...]string{Cleared: "cleared", Quarantined: "quarantined", HalfOpen: "trial"}[p]
}

// Entry is the latest decision on a part.
type Entry struct {
	Subject string
	// Version rises with each decision on the part.
	Version     uint64
	Quarantined bool
	// At is when the decision was made, and Duration for how long the part is
	// quarantined.
	At       time.Time
	Duration time.Duration
	// Crashes holds the crashes that led to the decision, and Reporters the
	// instances that reported them.
	Crashes   []CrashID
	Reporters []string
	// DecidedBy is the instance that made the decision.
	DecidedBy string
}

// Phase returns the phase of the entry at a time.
func (e *Entry) Phase(now time.Time) Phase {
	switch age := now.Sub(e.At); {
	case !e.Quarantined || age >= e.Duration+halfOpenPeriod:
		return Cleared
	case age >= e.Duration:
		return HalfOpen
	default:
		return Quarantined
	}
}

// Ends returns when the quarantine ends.
func (e *Entry) Ends() time.Time { return e.At.Add(e.Duration) }

func (e *Entry) isObsolete(now time.Time) bool {
	return now.Sub(e.At) >= max(Retention, e.Duration+halfOpenPeriod)
}

type crash struct {
	at        time.Time
	suspects  map[string]int // with their depth
	reporters map[string]bool
}

func (c *crash) has(part string) bool {
	_, ok := c.suspects[part]
	return ok
}

// Ledger holds the crash reports and the decisions. It is not safe for concurrent
// use.
type Ledger struct {
	crashes map[CrashID]*crash
	// completed holds when a request with a suspect last completed.
	completed map[string]time.Time
	entries   map[string]*Entry
	changes   changes
}

// changes holds what has changed since TakeChanges was last called.
type changes struct {
	crashes     map[CrashID]bool
	completions map[string]bool
	entries     map[string]bool
}

func newChanges() changes {
	return changes{crashes: map[CrashID]bool{}, completions: map[string]bool{}, entries: map[string]bool{}}
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{crashes: map[CrashID]*crash{}, completed: map[string]time.Time{}, entries: map[string]*Entry{}, changes: newChanges()}
}

// RecordCrash adds what an instance knows of a crash. It reports whether that is
// new.
func (l *Ledger) RecordCrash(c Crash) bool {
	known := l.crashes[c.ID]
	if known == nil {
		if len(l.crashes) >= maxCrashes {
			l.forgetOldestCrash()
		}
		known = &crash{at: c.At, suspects: map[string]int{}, reporters: map[string]bool{}}
		l.crashes[c.ID] = known
	}
	before := len(known.suspects) + len(known.reporters)
	for _, s := range c.Suspects {
		if len(known.suspects) < maxSuspects {
			known.suspects[s.Subject] = max(s.Depth, known.suspects[s.Subject])
		}
	}
	for _, reporter := range c.Reporters {
		if len(known.reporters) < maxSuspects {
			known.reporters[reporter] = true
		}
	}
	isNew := len(known.suspects)+len(known.reporters) > before
	if isNew {
		l.changes.crashes[c.ID] = true
	}
	return isNew
}

func (l *Ledger) forgetOldestCrash() {
	var oldest CrashID
	for id, c := range l.crashes {
		if o := l.crashes[oldest]; o == nil || c.at.Before(o.at) {
			oldest = id
		}
	}
	delete(l.crashes, oldest)
}

// RecordCompletion records that a request with a part has got its complete
// response, which a part that crashes targets never does. It reports whether
// that is news: the first completion of the part that is known, or one after
// a crash at which it was in progress.
func (l *Ledger) RecordCompletion(part string, at time.Time) bool {
	_, exists := l.completed[part]
	switch {
	case exists && (!at.After(l.completed[part]) || !l.isSuspect(part)):
		return false
	case !exists && len(l.completed) >= maxCompletions:
		return false
	}
	l.completed[part] = at
	l.changes.completions[part] = true
	return true
}

// isSuspect reports whether the part was in progress at a crash that a completion
// or a decision has not answered yet.
func (l *Ledger) isSuspect(part string) bool {
	clearedAt := l.clearedAt(part)
	for _, c := range l.crashes {
		if c.has(part) && c.at.After(clearedAt) {
			return true
		}
	}
	return false
}

// Suspects returns the parts that were in progress at a crash, and whether that is
// still unanswered by a completion or a decision.
func (l *Ledger) Suspects() map[string]bool {
	parts := map[string]bool{}
	for _, c := range l.crashes {
		for part := range c.suspects {
			parts[part] = parts[part] || c.at.After(l.clearedAt(part))
		}
	}
	return parts
}

// Entries returns the decisions, in order of parts.
func (l *Ledger) Entries() []Entry {
	found := make([]Entry, 0, len(l.entries))
	for _, part := range slices.Sorted(maps.Keys(l.entries)) {
		found = append(found, *l.entries[part])
	}
	return found
}

// Set decides on a part by hand: an operator adds or clears it. A decision to
// clear also discards the crash reports against the part.
func (l *Ledger) Set(part string, quarantined bool, by string, now time.Time) Entry {
	e := Entry{Subject: part, Quarantined: quarantined, At: now, Duration: Retention, DecidedBy: by}
	return l.decide(e)
}

// decide stores a decision as the latest one on its part.
func (l *Ledger) decide(e Entry) Entry {
	if known := l.entries[e.Subject]; known != nil {
		e.Version = known.Version
	}
	e.Version++
	l.store(e)
	return e
}

func (l *Ledger) store(e Entry) {
	if l.entries[e.Subject] == nil && len(l.entries) >= maxEntries {
		l.forgetOldestEntry()
	}
	l.entries[e.Subject] = &e
	l.changes.entries[e.Subject] = true
}

func (l *Ledger) forgetOldestEntry() {
	oldest := ""
	for part, e := range l.entries {
		if o := l.entries[oldest]; o == nil || e.At.Before(o.At) {
			oldest = part
		}
	}
	delete(l.entries, oldest)
}

// Expire forgets what is too old to matter. It reports whether anything was.
func (l *Ledger) Expire(now time.Time) bool {
	before := len(l.crashes) + len(l.entries)
	maps.DeleteFunc(l.crashes, func(_ CrashID, c *crash) bool { return now.Sub(c.at) >= Retention })
	maps.DeleteFunc(l.completed, func(_ string, at time.Time) bool { return now.Sub(at) >= Retention })
	maps.DeleteFunc(l.entries, func(_ string, e *Entry) bool { return e.isObsolete(now) })
	return len(l.crashes)+len(l.entries) < before
}
