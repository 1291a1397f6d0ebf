package experiment

import (
	"container/heap"
	"time"
)

// loop runs events in the order of their virtual time. Events at the same time run
// in the order in which they were added.
type loop struct {
	now     time.Time
	events  eventHeap
	lastSeq uint64
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

func newLoop() *loop { return &loop{now: time.Unix(0, 0)} }

func (l *loop) at(t time.Time, run func()) {
	l.lastSeq++
	heap.Push(&l.events, event{t, l.lastSeq, run})
}

func (l *loop) after(d time.Duration, run func()) { l.at(l.now.Add(d), run) }

// every runs the event after the delay first, and then once per period.
func (l *loop) every(first, period time.Duration, run func()) {
	l.after(first, func() {
		run()
		l.every(period, period, run)
	})
}

// runUntil runs all events before end and sets the time to end.
func (l *loop) runUntil(end time.Time) {
	for len(l.events) > 0 && l.events[0].at.Before(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return x
}
