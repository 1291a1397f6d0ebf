package balancer

import "time"

const (
	historySize = 24
	// historyStep is the minimum time between two samples. With historySize samples,
	// the history covers report ages up to 12 s in 600 bytes per target.
	historyStep = 500 * time.Millisecond
)

// History records what this entry had in progress at one target over time. Load
// reports arrive late, so subtracting this entry's own requests from a report needs
// their number at the time of the report. It is not safe for concurrent use.
type History struct {
	samples [historySize]sample
	next    int
	count   int
}

type sample struct {
	at               time.Time
	requests, tokens int64
}

// Record adds a sample of the counter unless the last sample is younger than
// historyStep.
func (h *History) Record(now time.Time, c *Counter) {
	if h.count > 0 && now.Sub(h.samples[(h.next+historySize-1)%historySize].at) < historyStep {
		return
	}
	h.samples[h.next] = sample{now, c.Requests.Load(), c.Tokens.Load()}
	h.next = (h.next + 1) % historySize
	h.count = min(h.count+1, historySize)
}

// At returns what was in progress at the given time: the latest sample that is not
// after it, or else the oldest sample.
func (h *History) At(t time.Time) (requests, tokens int64) {
	var s sample
	for k := 1; k <= h.count; k++ {
		s = h.samples[(h.next+historySize-k)%historySize]
		if !s.at.After(t) {
			break
		}
	}
	return s.requests, s.tokens
}
