package quarantine

import (
	"slices"
	"time"
)

// crashRecord holds the crashes that count against a subject.
type crashRecord struct {
	subject string
	depth   int
	// crashes since the last completion, by time.
	crashes []CrashID
	times   []time.Time
	// byRequest counts, for a part, the crashes at which each request with it was
	// in progress.
	byRequest map[string]int
	// isNew is set if no request with the subject has completed lately.
	isNew bool
	// weight is the number of crashes, as minCrashWeight counts them.
	weight float64
}

// attributedCrash is a crash with its culprits: the subjects that are known to crash
// targets and were in progress at it.
type attributedCrash struct {
	id CrashID
	*crash
	culprits []string
}

// counts reports whether the crash counts against a subject. It does not if a
// culprit explains it.
func (c *attributedCrash) counts(subject string) bool {
	return !slices.ContainsFunc(c.culprits, func(culprit string) bool { return c.isExplained(subject, culprit) })
}

// isExplained reports whether a culprit explains the crash in place of a subject. A
// request does not for the parts of its own prompt: one of these may be why the
// request crashes targets. A part does not for requests: if it is a false positive,
// requests that crash targets would hide behind it.
func (c *attributedCrash) isExplained(subject, culprit string) bool {
	if IsRequest(subject) {
		return IsRequest(culprit)
	}
	known := c.suspects[subject]
	return !IsRequest(culprit) || known == nil || !known.requests[culprit]
}

func (l *Ledger) crashesWithCulprits(now time.Time) []attributedCrash {
	found := make([]attributedCrash, 0, len(l.crashes))
	for id, c := range l.crashes {
		u := attributedCrash{id: id, crash: c}
		for subject, e := range l.entries {
			if c.has(subject) && e.Phase(now) != Cleared {
				u.culprits = append(u.culprits, subject)
			}
		}
		found = append(found, u)
	}
	return found
}

// crashRecords returns the crashes that count against all subjects.
func (l *Ledger) crashRecords(now time.Time) map[string]*crashRecord {
	found := map[string]*crashRecord{}
	crashes := l.crashesWithCulprits(now)
	for _, c := range crashes {
		for subject, known := range c.suspects {
			if c.at.After(l.clearedAt(subject)) && c.counts(subject) {
				l.recordOf(found, subject).add(c, known)
			}
		}
	}
	for _, s := range found {
		for _, at := range s.times {
			s.weight += float64(countNear(s.times, at)) / float64(crashesNear(crashes, s.subject, at))
		}
	}
	return found
}

func (l *Ledger) recordOf(found map[string]*crashRecord, subject string) *crashRecord {
	s := found[subject]
	if s == nil {
		_, completed := l.completed[subject]
		s = &crashRecord{subject: subject, isNew: !completed, byRequest: map[string]int{}}
		found[subject] = s
	}
	return s
}

func (s *crashRecord) add(c attributedCrash, known *inProgress) {
	s.depth = max(s.depth, known.depth)
	s.crashes, s.times = append(s.crashes, c.id), append(s.times, c.at)
	for request := range known.requests {
		s.byRequest[request]++
	}
}

// otherRequests returns the number of crashes of a part at which the request with it
// that was at most crashes was not in progress.
func (s *crashRecord) otherRequests() int {
	most := 0
	for _, n := range s.byRequest {
		most = max(most, n)
	}
	return len(s.crashes) - most
}

// crashesNear returns the number of crashes within sameFailureGap that count
// against a subject, or would if it had been in progress.
func crashesNear(crashes []attributedCrash, subject string, at time.Time) int {
	n := 0
	for _, c := range crashes {
		if c.at.Sub(at).Abs() < sameFailureGap && c.counts(subject) {
			n++
		}
	}
	return n
}

func countNear(times []time.Time, at time.Time) int {
	n := 0
	for _, other := range times {
		if other.Sub(at).Abs() < sameFailureGap {
			n++
		}
	}
	return n
}

// clearedAt returns the time up to which crashes do not count against a subject.
func (l *Ledger) clearedAt(subject string) time.Time {
	at := l.completed[subject]
	if e := l.entries[subject]; e != nil && e.At.After(at) {
		at = e.At
	}
	return at
}

// isFrequentFirst reports whether the part is the first one of many prompts.
func (s *crashRecord) isFrequentFirst(frequency Frequency) bool {
	return s.depth == 0 && !IsRequest(s.subject) && frequency(s.subject) > changedPartMaxShare
}

// CrashCounts returns the number of crashes that count against each subject with
// which no request has completed since, but for parts that completed lately and for
// first parts of many prompts. From OwnerCrashes on, those of a request count
// although a culprit explains them: it may be a second one that was beside the first.
func (l *Ledger) CrashCounts(now time.Time, frequency Frequency) map[string]int {
	counts := map[string]int{}
	for subject, s := range l.crashRecords(now) {
		if IsRequest(subject) || s.isNew && !s.isFrequentFirst(frequency) {
			counts[subject] = len(s.crashes)
		}
	}
	for subject, n := range l.crashesOfRequests() {
		if n >= OwnerCrashes {
			counts[subject] = n
		}
	}
	return counts
}

// crashesOfRequests returns the number of crashes of each request since it was
// cleared.
func (l *Ledger) crashesOfRequests() map[string]int {
	counts := map[string]int{}
	for _, c := range l.crashes {
		for subject := range c.suspects {
			if IsRequest(subject) && c.at.After(l.clearedAt(subject)) {
				counts[subject]++
			}
		}
	}
	return counts
}
