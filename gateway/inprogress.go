package gateway

import (
	"sync"
	"time"
)

// inProgress holds the requests that have been sent to a target. Completed requests show
// late that the targets have become slower; those that have not completed show it as
// soon as they take longer than expected.
type inProgress struct {
	mu       sync.Mutex
	requests map[*exchange]*sentRequest
}

type sentRequest struct {
	group  workGroup
	size   float64
	sentAt time.Time
	// expected is how long such requests take; zero if that is not known yet.
	expected time.Duration
}

func (p *inProgress) begin(x *exchange, now time.Time) {
	r := &sentRequest{group: x.workGroup(), size: requestSize(x.meta), sentAt: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests == nil {
		p.requests = map[*exchange]*sentRequest{}
	}
	p.requests[x] = r
}

func (p *inProgress) end(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, x)
}

// slowdown returns by which factor requests of the same kind at the same back end take
// longer than expected, as far as those in progress other than the given one show; 1 if
// none does.
func (p *inProgress) slowdown(x *exchange, now time.Time, times *workTimes) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	slowdown := 1.0
	for o, r := range p.requests {
		if o == x || r.group.backend != x.backend || r.group.kind != x.route.Kind {
			continue
		}
		if r.expected == 0 {
			r.expected, _ = times.estimate(r.group, r.size)
		}
		if r.expected > 0 {
			slowdown = max(slowdown, float64(now.Sub(r.sentAt))/float64(r.expected))
		}
	}
	return slowdown
}
