package quarantine

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// Retention is how long a crash, a completion and a quarantine are
	// remembered.
	Retention = 10 * time.Minute
	// maxDuration limits the quarantine of a part that crashes targets again
	// after each probe.
	maxDuration = 2 * time.Hour
	// requestBackoff is the factor by which the quarantine of a request grows with
	// each failed probe, up to maxRequestDuration. Unlike a part, a request that is
	// turned away affects nobody else, and few of its repeats may reach targets.
	requestBackoff     = 6
	maxRequestDuration = 24 * time.Hour
	// halfOpenPeriod is how long a part may be probed after its quarantine. If no
	// request with it completes or crashes a target, it is forgotten.
	halfOpenPeriod = 10 * time.Minute

	// maxCrashes, maxSuspects and maxEntries bound the ledger.
	maxCrashes     = 256
	maxSuspects    = 256 // of one crash
	maxEntries     = 256
	maxCompletions = 4096
	// maxPartRequests limits the requests that are kept for a part at a crash.
	maxPartRequests = 8
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
	// Suspects holds the requests that the target had just begun to work on, and
	// the parts of their prompts but for the last part of each, which no other
	// request has.
	Suspects []Suspect
	// Reporters holds the instances that lost such requests.
	Reporters []string
}

// Suspect is a part of a prompt, or a whole request, that was in progress at a
// crash.
type Suspect struct {
	Subject string
	// Depth is the position of a part in the prompt, from 0. The first parts are
	// those that most requests share.
	Depth int
	// Requests holds the requests with the part that were in progress.
	Requests []string
}

// requestPrefix distinguishes the names of requests from those of parts.
const requestPrefix = "request:"

// RequestSubject returns the name of the request with a fingerprint.
func RequestSubject(fingerprint string) string { return requestPrefix + fingerprint }

// IsRequest reports whether the subject is a whole request.
func IsRequest(subject string) bool { return strings.HasPrefix(subject, requestPrefix) }

// SuspectsOf returns the suspects of one request: the given parts, with which its
// prompt begins, and the request itself. The request may be empty.
func SuspectsOf(parts []string, request string) []Suspect {
	found := make([]Suspect, 0, len(parts)+1)
	for depth, part := range parts {
		s := Suspect{Subject: part, Depth: depth}
		if request != "" {
			s.Requests = []string{request}
		}
		found = append(found, s)
	}
	if request != "" {
		found = append(found, Suspect{Subject: request, Depth: len(parts)})
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

// Entry is the latest decision on a subject.
type Entry struct {
	Subject string
	// Version rises with each decision on the subject.
	Version     uint64
	Quarantined bool
	// At is when the decision was made, and Duration for how long the subject is
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
	case !e.Quarantined || age >= e.Duration+e.halfOpenTime():
		return Cleared
	case age >= e.Duration:
		return HalfOpen
	default:
		return Quarantined
	}
}

// halfOpenTime returns how long the subject may be probed after its quarantine.
func (e *Entry) halfOpenTime() time.Duration {
	if IsRequest(e.Subject) {
		return max(halfOpenPeriod, e.Duration)
	}
	return halfOpenPeriod
}

// nextDuration returns the duration of the quarantine after a failed probe.
func (e *Entry) nextDuration() time.Duration {
	if IsRequest(e.Subject) {
		return min(requestBackoff*e.Duration, maxRequestDuration)
	}
	return min(2*e.Duration, maxDuration)
}

// Ends returns when the quarantine ends.
func (e *Entry) Ends() time.Time { return e.At.Add(e.Duration) }

func (e *Entry) isObsolete(now time.Time) bool {
	return now.Sub(e.At) >= max(Retention, e.Duration+e.halfOpenTime())
}

type crash struct {
	at        time.Time
	suspects  map[string]*inProgress // by subject
	reporters map[string]bool
}

// inProgress is what is known of a subject that was in progress at a crash.
type inProgress struct {
	depth    int
	requests map[string]bool
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
		known = &crash{at: c.At, suspects: map[string]*inProgress{}, reporters: map[string]bool{}}
		l.crashes[c.ID] = known
	}
	isNew := false
	for _, s := range c.Suspects {
		isNew = known.addSuspect(s) || isNew
	}
	for _, reporter := range c.Reporters {
		if !known.reporters[reporter] && len(known.reporters) < maxSuspects {
			known.reporters[reporter] = true
			isNew = true
		}
	}
	if isNew {
		l.changes.crashes[c.ID] = true
	}
	return isNew
}

// Knows reports whether the crash was recorded before.
func (l *Ledger) Knows(id CrashID) bool { return l.crashes[id] != nil }

// addSuspect adds what is known of a subject. It reports whether that is new.
func (c *crash) addSuspect(s Suspect) bool {
	known := c.suspects[s.Subject]
	isNew := known == nil
	if isNew {
		if len(c.suspects) >= maxSuspects {
			return false
		}
		known = &inProgress{requests: map[string]bool{}}
		c.suspects[s.Subject] = known
	}
	known.depth = max(s.Depth, known.depth)
	for _, request := range s.Requests {
		if !known.requests[request] && len(known.requests) < maxPartRequests {
			known.requests[request] = true
			isNew = true
		}
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

// UnclearedRequests returns the requests that were in progress at a crash and of which
// no repeat has completed, with the time of the latest such crash.
func (l *Ledger) UnclearedRequests() map[string]time.Time {
	found := map[string]time.Time{}
	for _, c := range l.crashes {
		for subject := range c.suspects {
			if _, completed := l.completed[subject]; completed || !IsRequest(subject) || !c.at.After(l.clearedAt(subject)) {
				continue
			}
			if c.at.After(found[subject]) {
				found[subject] = c.at
			}
		}
	}
	return found
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
