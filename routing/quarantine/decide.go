package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// newPartCrashes is how many crashes are needed to quarantine a part with
	// which no request has completed lately.
	newPartCrashes = 3
	// newPartWeight is the least weight of these crashes. A crash counts fully if
	// the part was in progress at all crashes within sameFailureGap, and less if it was
	// not: a failure that ends many targets at once finds any part at some of them.
	newPartWeight  = 2.5
	sameFailureGap = 100 * time.Millisecond
	// changedPartCrashes is how many crashes are needed, without a completion in
	// between, for a part with which requests have completed before. They must
	// lie at changedPartMoments moments that are momentGap apart: a failure that
	// ends many targets at once says nothing about such a part.
	changedPartCrashes = 5
	changedPartMoments = 3
	momentGap          = time.Second
	// changedPartMaxShare is the share of all requests above which such a part is
	// not quarantined. In a failure of the whole back end, frequent parts are in
	// progress at every crash.
	changedPartMaxShare = 0.2
	// firstPartCrashes and firstPartMoments replace newPartCrashes for the first part
	// of prompts, if it is frequent: if no request has completed since all instances
	// started, it was in progress at every crash.
	firstPartCrashes = 8
	firstPartMoments = 4
	// changedPartCoverage is the share of the crashes since its first one at which
	// such a part must have been in progress.
	changedPartCoverage = 0.9
	// settleTime is how long the crash reports must have been complete, so that other
	// instances have reported the requests that completed.
	settleTime = 300 * time.Millisecond
	// similarFrequency is the ratio of two frequencies up to which they do not
	// tell which of two parts is the culprit.
	similarFrequency = 2
	// ProbeCrashes is the number of crashes from which on a part with which no
	// request has completed is probed by one request at a time only.
	ProbeCrashes = 2
)

// Frequency returns the share of the recent requests that have a part, 0 to 1.
type Frequency func(part string) float64

// crashRecord holds the crashes that count against a part.
type crashRecord struct {
	part  string
	depth int
	// crashes since the last completion, by time.
	crashes []CrashID
	times   []time.Time
	// isNew is set if no request with the part has completed lately.
	isNew bool
	// weight is the number of crashes, as newPartWeight counts them.
	weight float64
}

// crashRecords returns the crashes that count against all parts, except for crashes that a
// quarantined part explains.
func (l *Ledger) crashRecords(now time.Time) map[string]*crashRecord {
	found := map[string]*crashRecord{}
	for id, c := range l.crashes {
		if l.isExplained(c, now) {
			continue
		}
		for part, depth := range c.suspects {
			if !c.at.After(l.clearedAt(part)) {
				continue
			}
			s := found[part]
			if s == nil {
				_, completed := l.completed[part]
				s = &crashRecord{part: part, isNew: !completed}
				found[part] = s
			}
			s.depth = max(s.depth, depth)
			s.crashes, s.times = append(s.crashes, id), append(s.times, c.at)
		}
	}
	for _, s := range found {
		for _, at := range s.times {
			s.weight += float64(countNear(s.times, at)) / float64(l.crashesNear(at, now))
		}
	}
	return found
}

// crashesNear returns the number of unexplained crashes within sameFailureGap.
func (l *Ledger) crashesNear(at, now time.Time) int {
	n := 0
	for _, c := range l.crashes {
		if c.at.Sub(at).Abs() < sameFailureGap && !l.isExplained(c, now) {
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

// clearedAt returns the time up to which crashes do not count against a part.
func (l *Ledger) clearedAt(part string) time.Time {
	at := l.completed[part]
	if e := l.entries[part]; e != nil && e.At.After(at) {
		at = e.At
	}
	return at
}

// isExplained reports whether a part that was in progress at the crash is known
// to crash targets.
func (l *Ledger) isExplained(c *crash, now time.Time) bool {
	for part := range c.suspects {
		if e := l.entries[part]; e != nil && e.Phase(now) != Cleared {
			return true
		}
	}
	return false
}

// isFrequentFirst reports whether the part is the first one of many prompts.
func (s *crashRecord) isFrequentFirst(frequency Frequency) bool {
	return s.depth == 0 && frequency(s.part) > changedPartMaxShare
}

// CrashCounts returns the number of unexplained crashes of each part with which no
// request has completed lately, but for first parts of many prompts.
func (l *Ledger) CrashCounts(now time.Time, frequency Frequency) map[string]int {
	counts := map[string]int{}
	for part, s := range l.crashRecords(now) {
		if s.isNew && !s.isFrequentFirst(frequency) {
			counts[part] = len(s.crashes)
		}
	}
	return counts
}

// Decide quarantines the parts against which the crashes suffice, ends the
// probes that have a result, and returns the new decisions.
func (l *Ledger) Decide(now time.Time, by string, frequency Frequency) []Entry {
	decided := l.endProbes(now, by)
	for {
		found := l.crashRecords(now)
		culprit := newCulprit(found, now, frequency)
		if culprit == nil {
			culprit = l.changedCulprit(found, now, frequency)
		}
		if culprit == nil {
			return decided
		}
		decided = append(decided, l.quarantine(culprit.part, culprit.crashes, Retention, now, by))
	}
}

// endProbes decides on the half-open parts: a crash quarantines the part again for
// twice the time, a completion clears it.
func (l *Ledger) endProbes(now time.Time, by string) []Entry {
	var decided []Entry
	for _, e := range l.Entries() {
		if e.Phase(now) == Cleared {
			continue
		}
		crashes := l.crashesSince(e.Subject, e.Ends())
		switch completed := l.completed[e.Subject]; {
		case len(crashes) > 0:
			decided = append(decided, l.quarantine(e.Subject, crashes, min(2*e.Duration, maxDuration), now, by))
		case completed.After(e.Ends()):
			decided = append(decided, l.decide(Entry{Subject: e.Subject, At: now, Duration: Retention, DecidedBy: by}))
		}
	}
	return decided
}

func (l *Ledger) crashesSince(part string, since time.Time) []CrashID {
	var found []CrashID
	for id, c := range l.crashes {
		if c.has(part) && c.at.After(since) {
			found = append(found, id)
		}
	}
	return found
}

func (l *Ledger) quarantine(part string, crashes []CrashID, duration time.Duration, now time.Time, by string) Entry {
	e := Entry{Subject: part, Quarantined: true, At: now, Duration: duration, Crashes: crashes, DecidedBy: by}
	for _, id := range crashes {
		for reporter := range l.crashes[id].reporters {
			if !slices.Contains(e.Reporters, reporter) {
				e.Reporters = append(e.Reporters, reporter)
			}
		}
	}
	slices.Sort(e.Reporters)
	return l.decide(e)
}

// newCulprit returns the part that was in progress at the most crashes, if no
// request with it has completed lately. Parts that always come with the culprit
// were in progress at the same crashes. One of them is enough to keep those
// requests from the targets: the rarest, and of about equally rare ones the
// deepest, which the fewest other requests share.
func newCulprit(found map[string]*crashRecord, now time.Time, frequency Frequency) *crashRecord {
	var tied []*crashRecord
	most := newPartCrashes
	for _, s := range found {
		if !s.isNew || len(s.crashes) < most || s.weight < newPartWeight || !s.isSettled(newPartCrashes, now) {
			continue
		}
		if s.isFrequentFirst(frequency) && (len(s.crashes) < firstPartCrashes || s.moments() < firstPartMoments) {
			continue
		}
		if len(s.crashes) > most {
			most, tied = len(s.crashes), nil
		}
		tied = append(tied, s)
	}
	if len(tied) == 0 {
		return nil
	}
	rarest := math.Inf(1)
	for _, s := range tied {
		rarest = min(rarest, frequency(s.part))
	}
	tied = slices.DeleteFunc(tied, func(s *crashRecord) bool { return frequency(s.part) > similarFrequency*rarest })
	return slices.MaxFunc(tied, func(a, b *crashRecord) int {
		return cmp.Or(cmp.Compare(a.depth, b.depth), cmp.Compare(a.part, b.part))
	})
}

// isSettled reports whether the crash that reaches the count lies far enough in
// the past.
func (s *crashRecord) isSettled(count int, now time.Time) bool {
	times := slices.Clone(s.times)
	slices.SortFunc(times, time.Time.Compare)
	return len(times) >= count && now.Sub(times[count-1]) >= settleTime
}

// moments returns the number of moments, momentGap apart, at which crashes lie.
func (s *crashRecord) moments() int {
	times := slices.Clone(s.times)
	slices.SortFunc(times, time.Time.Compare)
	n, last := 0, time.Time{}
	for _, at := range times {
		if n == 0 || at.Sub(last) >= momentGap {
			n, last = n+1, at
		}
	}
	return n
}

// changedCulprit returns a part with which requests completed before, but none
// since the first of several crashes at all of which it was in progress.
func (l *Ledger) changedCulprit(found map[string]*crashRecord, now time.Time, frequency Frequency) *crashRecord {
	var best *crashRecord
	for _, s := range found {
		if s.isNew || !s.isSettled(changedPartCrashes, now) || s.moments() < changedPartMoments {
			continue
		}
		if frequency(s.part) > changedPartMaxShare || l.coverage(s, now) < changedPartCoverage {
			continue
		}
		if best == nil || frequency(s.part) < frequency(best.part) {
			best = s
		}
	}
	return best
}

// coverage returns the share of the unexplained crashes since the first one of
// the part at which it was in progress.
func (l *Ledger) coverage(s *crashRecord, now time.Time) float64 {
	first := slices.MinFunc(s.times, time.Time.Compare)
	total := 0
	for _, c := range l.crashes {
		if !c.at.Before(first) && !l.isExplained(c, now) {
			total++
		}
	}
	return float64(len(s.crashes)) / float64(total)
}
