package crashguard

import (
	"container/list"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// maxTracked limits the subjects that are remembered. Callers may
	// send any number of different ones.
	maxTracked = 8192
	// frequencyHalfLife is the time after which a request counts half in the
	// frequency of its subjects.
	frequencyHalfLife = 30 * time.Second
	// minFrequencyRequests is the number of recent requests from which on their
	// frequencies are known.
	minFrequencyRequests = 10
)

// tracked is what this instance knows of requests with one subject.
type tracked struct {
	subject     string
	requests    routing.DecayingCount
	completedAt time.Time // zero if none has completed
	// reportedAt is the completion that was last reported to other instances.
	reportedAt time.Time
}

// tracker remembers, for the subjects that were used most recently,
// how frequent they are and when a request with them last completed.
type tracker struct {
	mu        sync.Mutex
	bySubject map[string]*list.Element // of *tracked
	byUse     *list.List               // most recent first
	requests  routing.DecayingCount
}

func newTracker() *tracker {
	return &tracker{bySubject: map[string]*list.Element{}, byUse: list.New()}
}

// recordRequest counts a request with the given subjects.
func (t *tracker) recordRequest(subjects []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests.Increment(now, frequencyHalfLife)
	for _, subject := range subjects {
		t.use(subject).requests.Increment(now, frequencyHalfLife)
	}
}

// use returns the record of a subject as the most recently used one. The caller
// holds t.mu.
func (t *tracker) use(subject string) *tracked {
	if e := t.bySubject[subject]; e != nil {
		t.byUse.MoveToFront(e)
		return e.Value.(*tracked)
	}
	if t.byUse.Len() >= maxTracked {
		oldest := t.byUse.Remove(t.byUse.Back()).(*tracked)
		delete(t.bySubject, oldest.subject)
	}
	p := &tracked{subject: subject}
	t.bySubject[subject] = t.byUse.PushFront(p)
	return p
}

// completionReportInterval is the shortest time between two reports that requests
// with a suspect complete.
const completionReportInterval = time.Second

// recordCompletion records that a request with the given subjects has completed. It
// returns those whose completion should be reported to other instances.
func (t *tracker) recordCompletion(subjects []string, isSuspect func(string) bool, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var report []string
	for _, subject := range subjects {
		p := t.use(subject)
		p.completedAt = now
		if isSuspect(subject) && now.Sub(p.reportedAt) >= completionReportInterval {
			p.reportedAt = now
			report = append(report, subject)
		}
	}
	return report
}

// completedAt returns when a request with the subject last completed here, or the
// zero time.
func (t *tracker) completedAt(subject string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.bySubject[subject]; e != nil {
		return e.Value.(*tracked).completedAt
	}
	return time.Time{}
}

// frequency returns the share of the recent requests that have the subject. It is 1
// if there were too few: a frequent subject must not be taken for a rare one.
func (t *tracker) frequency(subject string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	total := t.requests.ValueAt(now, frequencyHalfLife)
	if total < minFrequencyRequests {
		return 1
	}
	if e := t.bySubject[subject]; e != nil {
		return e.Value.(*tracked).requests.ValueAt(now, frequencyHalfLife) / total
	}
	return 0
}
