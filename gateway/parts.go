package gateway

import (
	"container/list"
	"sync"
	"time"
)

const (
	// maxTrackedParts limits the parts of prompts that are remembered. Callers may
	// send any number of different ones.
	maxTrackedParts = 8192
	// frequencyHalfLife is the time after which a request counts half in the
	// frequency of its parts.
	frequencyHalfLife = 30 * time.Second
)

// trackedPart is what this instance knows of requests with one part.
type trackedPart struct {
	part        string
	requests    decayingCount
	completedAt time.Time // zero if none has completed
	// reportedAt is the completion that was last reported to other instances.
	reportedAt time.Time
}

// partTracker remembers, for the parts of prompts that were used most recently,
// how frequent they are and when a request with them last completed.
type partTracker struct {
	mu       sync.Mutex
	byPart   map[string]*list.Element // of *trackedPart
	byUse    *list.List               // most recent first
	requests decayingCount
}

func newPartTracker() *partTracker {
	return &partTracker{byPart: map[string]*list.Element{}, byUse: list.New()}
}

// recordRequest counts a request with the given parts.
func (t *partTracker) recordRequest(parts []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests.increment(now, frequencyHalfLife)
	for _, part := range parts {
		t.use(part).requests.increment(now, frequencyHalfLife)
	}
}

// use returns the record of a part as the most recently used one. The caller
// holds t.mu.
func (t *partTracker) use(part string) *trackedPart {
	if e := t.byPart[part]; e != nil {
		t.byUse.MoveToFront(e)
		return e.Value.(*trackedPart)
	}
	if t.byUse.Len() >= maxTrackedParts {
		oldest := t.byUse.Remove(t.byUse.Back()).(*trackedPart)
		delete(t.byPart, oldest.part)
	}
	p := &trackedPart{part: part}
	t.byPart[part] = t.byUse.PushFront(p)
	return p
}

// completionReportInterval is the shortest time between two reports that requests
// with a suspect complete.
const completionReportInterval = time.Second

// recordCompletion records that a request with the given parts has completed. It
// returns those whose completion should be reported to other instances.
func (t *partTracker) recordCompletion(parts []string, isSuspect func(string) bool, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var report []string
	for _, part := range parts {
		p := t.use(part)
		p.completedAt = now
		if isSuspect(part) && now.Sub(p.reportedAt) >= completionReportInterval {
			p.reportedAt = now
			report = append(report, part)
		}
	}
	return report
}

// completedAt returns when a request with the part last completed here, or the
// zero time.
func (t *partTracker) completedAt(part string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byPart[part]; e != nil {
		return e.Value.(*trackedPart).completedAt
	}
	return time.Time{}
}

// frequency returns the share of the recent requests that have the part.
func (t *partTracker) frequency(part string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, now := t.byPart[part], time.Now()
	if total := t.requests.valueAt(now, frequencyHalfLife); e != nil && total > 0 {
		return e.Value.(*trackedPart).requests.valueAt(now, frequencyHalfLife) / total
	}
	return 0
}
