package balancer

import "time"

const (
	historySize = 24
	// historyStep is the shortest time between two samples, so that the history
	// covers reports of up to 12 s of age in 600 bytes a target.
	historyStep = 500 * time.Millisecond
)

// History remembers what this entry had in progress at one target, for the
// correction of load reports that arrive late. It is used by one goroutine.
type History struct {
	samples [historySize]sample
	next    int
	count   int
}

type sample struct {
	at               time.Time
	requests, tokens int64
}

// Record samples the counter, unless the last sample is recent.
func (h *History) Record(now time.Time, c *Counter) {
	if h.count > 0 && now.Sub(h.samples[(h.next+historySize-1)%historySize].at) < historyStep {
		return
	}
	h.samples[h.next] = sample{now, c.Requests.Load(), c.Tokens.Load()}
	h.next = (h.next + 1) % historySize
	h.count = min(h.count+1, historySize)
}

// At returns what was in progress at the given time: the last sample before it,
// or the oldest one.
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
