package quarantine

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"
)

// State is what instances tell each other. All times are relative to the time
// at which it was taken, because the clocks of instances differ.
type State struct {
	Crashes     []CrashState
	Completions []CompletionState
	Entries     []EntryState
}

// CrashState is a crash as part of a State.
type CrashState struct {
	ID        CrashID
	Age       time.Duration
	Suspects  []Suspect
	Reporters []string
}

// CompletionState tells how long ago a request with a suspect completed.
type CompletionState struct {
	Subject string
	Age     time.Duration
}

// EntryState is a decision as part of a State. Its field At is not set.
type EntryState struct {
	Entry
	Age time.Duration
}

// IsEmpty reports whether the state says nothing.
func (s *State) IsEmpty() bool {
	return len(s.Crashes) == 0 && len(s.Completions) == 0 && len(s.Entries) == 0
}

// State returns all that the ledger holds.
func (l *Ledger) State(now time.Time) State {
	return l.state(now, selection{
		crash:      func(CrashID, *crash) bool { return true },
		completion: func(string) bool { return true },
		entry:      func(*Entry) bool { return true },
	})
}

// TakeChanges returns what has changed since it was last called.
func (l *Ledger) TakeChanges(now time.Time) State {
	changed := l.changes
	l.changes = newChanges()
	return l.state(now, selection{
		crash:      func(id CrashID, _ *crash) bool { return changed.crashes[id] },
		completion: func(part string) bool { return changed.completions[part] },
		entry:      func(e *Entry) bool { return changed.entries[e.Subject] },
	})
}

// StateOf returns the decisions that an instance has made and the crashes that it
// has reported, except for those that are likely to have other causes: requests
// with all their parts have completed lately, and none of their requests was at
// another crash.
func (l *Ledger) StateOf(instance string, now time.Time) State {
	crashesOf := map[string]int{}
	for _, c := range l.crashes {
		for subject := range c.suspects {
			crashesOf[subject]++
		}
	}
	isSuspicious := func(c *crash) bool {
		for subject := range c.suspects {
			_, completed := l.completed[subject]
			if !completed && (!IsRequest(subject) || crashesOf[subject] > 1) {
				return true
			}
		}
		return false
	}
	return l.state(now, selection{
		crash:      func(_ CrashID, c *crash) bool { return c.reporters[instance] && isSuspicious(c) },
		completion: func(string) bool { return true },
		entry:      func(e *Entry) bool { return e.DecidedBy == instance },
	})
}

// selection chooses what becomes part of a State.
type selection struct {
	crash      func(CrashID, *crash) bool
	completion func(part string) bool
	entry      func(*Entry) bool
}

func (l *Ledger) state(now time.Time, include selection) State {
	var s State
	for id, c := range l.crashes {
		if include.crash(id, c) {
			s.Crashes = append(s.Crashes, CrashState{
				ID: id, Age: now.Sub(c.at), Suspects: c.sortedSuspects(), Reporters: slices.Sorted(maps.Keys(c.reporters)),
			})
		}
	}
	slices.SortFunc(s.Crashes, func(a, b CrashState) int { return compareIDs(a.ID, b.ID) })
	for part := range l.Suspects() {
		if at, ok := l.completed[part]; ok && include.completion(part) {
			s.Completions = append(s.Completions, CompletionState{part, now.Sub(at)})
		}
	}
	slices.SortFunc(s.Completions, func(a, b CompletionState) int { return cmp.Compare(a.Subject, b.Subject) })
	for _, e := range l.Entries() {
		if include.entry(&e) {
			age := now.Sub(e.At)
			e.At = time.Time{}
			s.Entries = append(s.Entries, EntryState{e, age})
		}
	}
	return s
}

func (c *crash) sortedSuspects() []Suspect {
	found := make([]Suspect, 0, len(c.suspects))
	for _, part := range slices.Sorted(maps.Keys(c.suspects)) {
		known := c.suspects[part]
		found = append(found, Suspect{part, known.depth, slices.Sorted(maps.Keys(known.requests))})
	}
	return found
}

func compareIDs(a, b CrashID) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Merge adds what another instance knows. It reports whether anything is new.
func (l *Ledger) Merge(s State, now time.Time) bool {
	changed := false
	for _, c := range s.Crashes {
		if c.Age < Retention {
			isNew := l.RecordCrash(Crash{ID: c.ID, At: now.Add(-max(0, c.Age)), Suspects: c.Suspects, Reporters: c.Reporters})
			changed = changed || isNew
		}
	}
	for _, c := range s.Completions {
		if c.Age < Retention {
			isNew := l.RecordCompletion(c.Subject, now.Add(-max(0, c.Age)))
			changed = changed || isNew
		}
	}
	for _, e := range s.Entries {
		entry := e.Entry
		entry.At = now.Add(-max(0, e.Age))
		if known := l.entries[e.Subject]; !entry.isObsolete(now) && (known == nil || entry.isAfter(known)) {
			l.store(entry)
			changed = true
		}
	}
	return changed
}

// isAfter orders the decisions on a part. Of two decisions with the same version,
// the one to quarantine wins.
func (e *Entry) isAfter(other *Entry) bool {
	switch {
	case e.Version != other.Version:
		return e.Version > other.Version
	case e.Quarantined != other.Quarantined:
		return e.Quarantined
	default:
		return e.DecidedBy > other.DecidedBy
	}
}

// Digest returns a number that is the same for two ledgers with the same crashes
// and decisions, and 0 if there are none.
func (l *Ledger) Digest() uint64 {
	s := l.State(time.Time{})
	return s.Digest()
}

// Digest returns a number that is the same for two states with the same crashes
// and decisions, whatever their ages, and 0 if there are none.
func (s *State) Digest() uint64 {
	if len(s.Crashes) == 0 && len(s.Entries) == 0 {
		return 0
	}
	h := fnv.New64a()
	write := func(fields ...string) {
		for _, field := range fields {
			_, _ = h.Write([]byte(field))
			_, _ = h.Write([]byte{0})
		}
	}
	for _, c := range s.Crashes {
		write(c.ID.Target, strconv.FormatInt(c.ID.Incarnation, 10))
		for _, s := range c.Suspects {
			write(s.Subject)
		}
		write(c.Reporters...)
	}
	for _, e := range s.Entries {
		write(e.Subject, strconv.FormatUint(e.Version, 10), strconv.FormatBool(e.Quarantined), e.DecidedBy)
	}
	return h.Sum64()
}
