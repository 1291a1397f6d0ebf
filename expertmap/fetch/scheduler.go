// Package fetch schedules the fetches of all groups of a coordinator so that
// the rate of the weight store is never exceeded. It has no I/O and no clock.
package fetch

import (
	"container/heap"
	"time"
)

// Priority orders fetches. A lower value goes first.
type Priority uint8

// The priorities.
const (
	// ColdStart is a fetch that a group needs before it serves callers.
	ColdStart Priority = iota
	// Switch is a fetch of a switch that ranks may already wait for.
	Switch
	// Rebalance only makes steps faster.
	Rebalance
)

// Fetch is one transfer from the weight store.
type Fetch struct {
	Group    string
	Rank     int
	Expert   int
	Layer    int
	Bytes    int64
	Priority Priority
}

type item struct {
	fetch Fetch
	order uint64
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].fetch.Priority != q[j].fetch.Priority {
		return q[i].fetch.Priority < q[j].fetch.Priority
	}
	return q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Scheduler is a token bucket with a priority queue in front. In any span of
// time d it starts fetches of at most burst + rate*d bytes, and a fetch larger
// than the burst starts only when its whole size has been saved up.
type Scheduler struct {
	rate   float64 // bytes/s
	burst  float64
	tokens float64
	last   time.Time
	queue  queue
	order  uint64
}

// New returns a scheduler whose bucket is full at now.
func New(bytesPerSecond, burst float64, now time.Time) *Scheduler {
	return &Scheduler{rate: bytesPerSecond, burst: burst, tokens: burst, last: now}
}

// Add queues a fetch. Fetches of one priority start in the order in which they
// were added.
func (s *Scheduler) Add(f Fetch) {
	s.order++
	heap.Push(&s.queue, item{f, s.order})
}

// Cancel drops the queued fetches of a group, such as those of an aborted
// switch, and returns their number.
func (s *Scheduler) Cancel(group string, p Priority) int {
	kept := s.queue[:0]
	for _, x := range s.queue {
		if x.fetch.Group != group || x.fetch.Priority != p {
			kept = append(kept, x)
		}
	}
	n := len(s.queue) - len(kept)
	clear(s.queue[len(kept):])
	s.queue = kept
	heap.Init(&s.queue)
	return n
}

// Queued returns the number of fetches that wait.
func (s *Scheduler) Queued() int { return len(s.queue) }

// Start returns the fetches that may start now. A large fetch at the head is
// not overtaken, or smaller ones of lower priority could delay it forever.
func (s *Scheduler) Start(now time.Time) []Fetch {
	s.refill(now)
	var out []Fetch
	for len(s.queue) > 0 && s.tokens >= float64(s.queue[0].fetch.Bytes) {
		x := heap.Pop(&s.queue).(item)
		s.tokens -= float64(x.fetch.Bytes)
		out = append(out, x.fetch)
	}
	return out
}

// refill adds the tokens of the time since the last call. A clock that goes
// back adds none.
func (s *Scheduler) refill(now time.Time) {
	if d := now.Sub(s.last); d > 0 {
		s.tokens += s.rate * d.Seconds()
		s.last = now
	}
	limit := s.burst
	if len(s.queue) > 0 {
		limit = max(limit, float64(s.queue[0].fetch.Bytes))
	}
	s.tokens = min(s.tokens, limit)
}

// UntilNextStart returns how long it takes until a fetch may start; zero when none waits.
func (s *Scheduler) UntilNextStart() time.Duration {
	if len(s.queue) == 0 {
		return 0
	}
	missing := float64(s.queue[0].fetch.Bytes) - s.tokens
	return max(0, time.Duration(missing/s.rate*float64(time.Second))+time.Nanosecond)
}
