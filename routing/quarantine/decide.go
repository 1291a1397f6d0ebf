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
	// minCrashWeight is the least weight of the crashes of a new part, or of a
	// request. A crash counts fully if it was in progress at all crashes within
	// sameFailureGap, and less if it was not: a failure that ends many targets at
	// once finds any part at some of them.
	minCrashWeight = 2.5
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
	// otherRequestCrashes is how many crashes of a part must be left without those of
	// the request with it that was at most. If one request crashes the targets, its
	// parts are in progress at the same crashes.
	otherRequestCrashes = 3
	// requestCrashes is how many crashes are needed to quarantine a request. Of one
	// that completed before, they must lie at changedRequestMoments moments.
	requestCrashes        = 3
	changedRequestMoments = 2
	// ambiguousCrashes is how many crashes are needed if another request was in
	// progress at all of them.
	ambiguousCrashes = 5
	// OwnerCrashes is the number of crashes from which on a request that is not
	// quarantined yet is probed by one instance only.
	OwnerCrashes = requestCrashes
	// ProbeCrashes is the number of crashes from which on a part with which no
	// request has completed is probed by one request at a time only.
	ProbeCrashes = 2
)

// Frequency returns the share of the recent requests that have a part, 0 to 1.
type Frequency func(part string) float64

// Decide quarantines the subjects against which the crashes suffice, ends the
// probes that have a result, and returns the new decisions.
func (l *Ledger) Decide(now time.Time, by string, frequency Frequency) []Entry {
	decided := l.endProbes(now, by)
	for {
		found := l.crashRecords(now)
		culprit := requestCulprit(found, now)
		if culprit == nil {
			culprit = newCulprit(found, now, frequency)
		}
		if culprit == nil {
			culprit = l.changedCulprit(found, now, frequency)
		}
		if culprit == nil {
			return decided
		}
		decided = append(decided, l.quarantine(culprit.subject, culprit.crashes, Retention, now, by))
	}
}

// endProbes decides on the half-open subjects: a crash quarantines the subject again
// for longer, a completion clears it.
func (l *Ledger) endProbes(now time.Time, by string) []Entry {
	var decided []Entry
	for _, e := range l.Entries() {
		if e.Phase(now) == Cleared {
			continue
		}
		crashes := l.crashesSince(e.Subject, e.Ends())
		switch completed := l.completed[e.Subject]; {
		case len(crashes) > 0:
			decided = append(decided, l.quarantine(e.Subject, crashes, e.nextDuration(), now, by))
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
		if IsRequest(s.subject) || !s.isNew || len(s.crashes) < most || s.weight < minCrashWeight || !s.isSettled(newPartCrashes, now) {
			continue
		}
		if s.otherRequests() < otherRequestCrashes {
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
		rarest = min(rarest, frequency(s.subject))
	}
	tied = slices.DeleteFunc(tied, func(s *crashRecord) bool { return frequency(s.subject) > similarFrequency*rarest })
	return slices.MaxFunc(tied, func(a, b *crashRecord) int {
		return cmp.Or(cmp.Compare(a.depth, b.depth), cmp.Compare(a.subject, b.subject))
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
		if IsRequest(s.subject) || s.isNew || !s.isSettled(changedPartCrashes, now) || s.moments() < changedPartMoments || s.otherRequests() < otherRequestCrashes {
			continue
		}
		if frequency(s.subject) > changedPartMaxShare || l.coverage(s, now) < changedPartCoverage {
			continue
		}
		if best == nil || frequency(s.subject) < frequency(best.subject) {
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
	for _, c := range l.crashesWithCulprits(now) {
		if !c.at.Before(first) && c.counts(s.subject) {
			total++
		}
	}
	return float64(len(s.crashes)) / float64(total)
}
