// Package fetch schedules the fetches of all groups of a coordinator so that
// their rate stays within the limit of the weight store. It does no I/O and
// reads no clock.
package fetch

import (
	"container/heap"
	"time"
)

// Priority is the priority of a fetch; lower values start first.
type Priority uint8

// The priorities of fetches.
const (
	// ColdStart is a fetch without which the group can't serve callers.
	ColdStart Priority = iota
	// Switch is a fetch for a switch for which ranks may already wait.
	Switch
	// Rebalance is a fetch that only makes steps faster.
	Rebalance
)

// Fetch is one transfer from the weight store to a rank.
type Fetch struct {
	Group    string
	Rank     int
	Expert   int
	Layer    int
	Bytes    int64
	Priority Priority
}

type queuedFetch struct {
	fetch    Fetch
	sequence uint64
}

type queue []queuedFetch

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].fetch.Priority != q[j].fetch.Priority {
		return q[i].fetch.Priority < q[j].fetch.Priority
	}
	return q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(queuedFetch)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Scheduler is a token bucket with a priority queue in front. In any span of
// time d it starts fetches of at most burst + rate*d bytes. A fetch larger than
// the burst starts only when tokens for its whole size have accumulated.
type Scheduler struct {
	rate         float64 // bytes/s
	burst        float64
	tokens       float64
	refilledAt   time.Time
	queue        queue
	lastSequence uint64
}

// New returns a scheduler whose bucket is full at now.
func New(bytesPerSecond, burst float64, now time.Time) *Scheduler {
	return &Scheduler{rate: bytesPerSecond, burst: burst, tokens: burst, refilledAt: now}
}

// Add queues a fetch. Fetches of one priority start in the order in which they
// were added.
func (s *Scheduler) Add(f Fetch) {
	s.lastSequence++
	heap.Push(&s.queue, queuedFetch{f, s.lastSequence})
}

// Cancel removes the queued fetches of a group that have priority p, for
// instance those of an aborted switch, and returns their number.
func (s *Scheduler) Cancel(group string, p Priority) int {
	kept := s.queue[:0]
	for _, q := range s.queue {
		if q.fetch.Group != group || q.fetch.Priority != p {
			kept = append(kept, q)
		}
	}
	n := len(s.queue) - len(kept)
	clear(s.queue[len(kept):])
	s.queue = kept
	heap.Init(&s.queue)
	return n
}

// Queued returns the number of queued fetches.
func (s *Scheduler) Queued() int { return len(s.queue) }

// Start returns the fetches that may start now. Nothing overtakes a large fetch
// at the head of the queue, since smaller ones of lower priority could
// otherwise delay it forever.
func (s *Scheduler) Start(now time.Time) []Fetch {
	s.refill(now)
	var out []Fetch
	for len(s.queue) > 0 && s.tokens >= float64(s.queue[0].fetch.Bytes) {
		q := heap.Pop(&s.queue).(queuedFetch)
		s.tokens -= float64(q.fetch.Bytes)
		out = append(out, q.fetch)
	}
	return out
}

// refill adds the tokens for the time since the last call. If the clock has
// gone back, it adds none.
func (s *Scheduler) refill(now time.Time) {
	if d := now.Sub(s.refilledAt); d > 0 {
		s.tokens += s.rate * d.Seconds()
		s.refilledAt = now
	}
	limit := s.burst
	if len(s.queue) > 0 {
		limit = max(limit, float64(s.queue[0].fetch.Bytes))
	}
	s.tokens = min(s.tokens, limit)
}

// UntilNextStart returns the time until the next fetch may start, or 0 if none
// is queued.
func (s *Scheduler) UntilNextStart() time.Duration {
	if len(s.queue) == 0 {
		return 0
	}
	missing := float64(s.queue[0].fetch.Bytes) - s.tokens
	return max(0, time.Duration(missing/s.rate*float64(time.Second))+time.Nanosecond)
}
