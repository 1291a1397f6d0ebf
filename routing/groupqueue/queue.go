package groupqueue

import (
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// loadTimeout is the age of a report from which on the load of the group is not
	// known. Nobody is kept waiting by an old report.
	loadTimeout = 700 * time.Millisecond
	// arrivalDelay is the time from a grant until the rank counts the request.
	arrivalDelay = 15 * time.Millisecond
	// arrivalHalfLife is the half-life of the rates of arrivals by priority.
	arrivalHalfLife = 700 * time.Millisecond
	// minRateShare is the part of the group's rate on which any request may count,
	// whatever more urgent ones arrive.
	minRateShare = 0.1
	// returnShare is the part of the group's rate that callers who come back may use.
	returnShare = 0.5
	// minRetryAfter is the least time after which a rejected caller should return.
	minRetryAfter = 200 * time.Millisecond
	// rejectedMemory is how long a rejected request is remembered, and maxRejected the
	// number of them.
	rejectedMemory = 10 * time.Second
	maxRejected    = 4096
	// maxWaiting bounds the queue. Each request in it is held by an instance, whose
	// memory is smaller than that.
	maxWaiting = 4096
)

// Load is the load of the group as its ranks have reported it.
type Load struct {
	// AsOf is when the ranks were queried.
	AsOf time.Time
	// InProgress is the number of requests at the ranks, and Limit the number that
	// they may hold together.
	InProgress, Limit float64
	// Rate is the number of responses per second that the group completes with
	// InProgress requests, and FullRate that with as many as the limit allows.
	Rate, FullRate float64
	// FirstPart is the time from the start of a request to the first part of its
	// response.
	FirstPart time.Duration
}

// Verdict is the decision on a request.
type Verdict struct {
	Request
	// Granted is set if the request may be sent. Otherwise the caller should come
	// back after RetryAfter.
	Granted    bool
	RetryAfter time.Duration
	// Ahead is the number of requests that were to be served before, and Waited how
	// long the request was in the queue.
	Ahead  int
	Waited time.Duration
}

// Queue is the queue of one group.
type Queue struct {
	load    Load
	granted []time.Time // of the grants that the load does not include
	waiting []*waiter   // in the order of the last call of sort
	// arrivals holds the rate of requests by priority.
	arrivals map[Priority]*routing.DecayingCount
	// deferred is the number of rejected callers that have not come back yet, by the
	// times that they were told, as of deferredAt.
	deferred   float64
	deferredAt time.Time
	rejected   map[string]time.Time
}

// New returns an empty queue of a group whose load is not known.
func New() *Queue {
	return &Queue{arrivals: map[Priority]*routing.DecayingCount{}, rejected: map[string]time.Time{}}
}

// SetLoad sets the load. Call Next after it.
func (q *Queue) SetLoad(l Load, now time.Time) {
	if l.AsOf.Before(q.load.AsOf) {
		return
	}
	q.load = l
	q.granted = slices.DeleteFunc(q.granted, func(at time.Time) bool { return at.Before(l.AsOf.Add(-arrivalDelay)) })
	q.updateDeferred(now)
}

// known reports whether the load is recent enough to decide by.
func (q *Queue) known(now time.Time) bool {
	return !q.load.AsOf.IsZero() && now.Sub(q.load.AsOf) < loadTimeout
}

// InProgress estimates the number of requests at the ranks now: those reported, those
// granted since, less those that have been completed since.
func (q *Queue) InProgress(now time.Time) float64 {
	completed := min(q.load.InProgress, q.load.Rate*now.Sub(q.load.AsOf).Seconds())
	return q.load.InProgress - completed + float64(len(q.granted))
}

// Waiting returns the number of requests in the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Full reports whether the group has no room for one more request.
func (q *Queue) Full(now time.Time) bool {
	return q.known(now) && q.InProgress(now)+1 > q.load.Limit
}

// Add adds a request to the queue. It returns a verdict, and true, if there is one at
// once.
func (q *Queue) Add(r Request, now time.Time) (Verdict, bool) {
	q.arrival(r.Priority).Increment(now, arrivalHalfLife)
	w := &waiter{Request: r, arrivedAt: now, returned: q.takeRejected(r.Identity, now)}
	if !q.known(now) {
		return q.grant(w, now), true
	}
	ahead := q.ahead(w, now)
	switch {
	case ahead == 0 && !q.Full(now):
		return q.grant(w, now), true
	case len(q.waiting) >= maxWaiting || now.Add(q.wait(w, ahead, now)).After(r.LatestStart):
		return q.reject(w, ahead, now), true
	}
	q.waiting = append(q.waiting, w)
	return Verdict{}, false
}

// Withdraw removes a request that does not want its place any more.
func (q *Queue) Withdraw(source string, id uint64) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool { return w.Source == source && w.ID == id })
}

// WithdrawAll removes all requests of an instance.
func (q *Queue) WithdrawAll(source string) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool { return w.Source == source })
}

// Next returns the verdicts that are due: it grants the free places in order, and
// rejects requests that will not start in time.
func (q *Queue) Next(now time.Time) []Verdict {
	q.sort(now)
	var verdicts []Verdict
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		switch {
		case !q.Full(now) && len(kept) == 0:
			verdicts = append(verdicts, q.grant(w, now))
		case now.Add(q.wait(w, len(kept), now)).After(w.LatestStart):
			verdicts = append(verdicts, q.reject(w, len(kept), now))
		default:
			kept = append(kept, w)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return verdicts
}

func (q *Queue) sort(now time.Time) {
	slices.SortFunc(q.waiting, func(a, b *waiter) int { return compareWaiters(a, b, now, q.load.FirstPart) })
}

// ahead returns the number of waiting requests that go before a new one.
func (q *Queue) ahead(w *waiter, now time.Time) int {
	n := 0
	for _, other := range q.waiting {
		if compareWaiters(other, w, now, q.load.FirstPart) < 0 {
			n++
		}
	}
	return n
}

// wait estimates how long a request waits with a number of others before it. More
// urgent ones that arrive meanwhile go first too.
func (q *Queue) wait(w *waiter, ahead int, now time.Time) time.Duration {
	places := float64(ahead+1) - max(0, q.load.Limit-q.InProgress(now))
	if places <= 0 {
		return 0
	}
	urgent := 0.0
	for p, count := range q.arrivals {
		if p.Compare(w.Priority) < 0 {
			urgent += count.Rate(now, arrivalHalfLife)
		}
	}
	free := max(minRateShare*q.load.FullRate, q.load.FullRate-urgent)
	return seconds(places / max(free, 0.1))
}

func (q *Queue) arrival(p Priority) *routing.DecayingCount {
	count := q.arrivals[p]
	if count == nil {
		count = &routing.DecayingCount{}
		q.arrivals[p] = count
	}
	return count
}

func (q *Queue) grant(w *waiter, now time.Time) Verdict {
	if q.known(now) {
		q.granted = append(q.granted, now)
	}
	return Verdict{Request: w.Request, Granted: true, Waited: now.Sub(w.arrivedAt)}
}

// reject rejects a request. The group takes callers that come back one after the
// other, after those that wait now.
func (q *Queue) reject(w *waiter, ahead int, now time.Time) Verdict {
	q.updateDeferred(now)
	q.deferred++
	q.rememberRejected(w.Identity, now)
	places := float64(len(q.waiting)) + q.deferred
	retryAfter := max(minRetryAfter, seconds(places/max(returnShare*q.load.FullRate, 1)))
	return Verdict{Request: w.Request, RetryAfter: retryAfter, Ahead: ahead, Waited: now.Sub(w.arrivedAt)}
}

// updateDeferred forgets the rejected callers that have come back since the last call.
func (q *Queue) updateDeferred(now time.Time) {
	if !q.deferredAt.IsZero() {
		q.deferred = max(0, q.deferred-returnShare*q.load.FullRate*now.Sub(q.deferredAt).Seconds())
	}
	q.deferredAt = now
}

func (q *Queue) rememberRejected(identity string, now time.Time) {
	if identity == "" {
		return
	}
	for id, at := range q.rejected {
		if now.Sub(at) > rejectedMemory {
			delete(q.rejected, id)
		}
	}
	if len(q.rejected) < maxRejected {
		q.rejected[identity] = now
	}
}

// takeRejected reports whether a request was rejected before, and forgets it.
func (q *Queue) takeRejected(identity string, now time.Time) bool {
	at, ok := q.rejected[identity]
	delete(q.rejected, identity)
	return ok && now.Sub(at) <= rejectedMemory
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
