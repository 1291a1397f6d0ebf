package groupqueue

import (
	"cmp"
	"time"
)

// Priority orders requests; the lower one is more urgent.
type Priority struct {
	// First is the priority of the customer, or that of the route if the customer has
	// none. Route is that of the route.
	First, Route int
}

// Compare returns a negative number if p is more urgent than o.
func (p Priority) Compare(o Priority) int {
	return cmp.Or(cmp.Compare(p.First, o.First), cmp.Compare(p.Route, o.Route))
}

// Request is a request that wants a place at the group.
type Request struct {
	// Source is the instance that received the request, and ID its number there.
	Source string
	ID     uint64
	// Identity is the same for each repeat of the request; empty if unknown.
	Identity string
	Priority Priority
	// GoalBy is when the first part of the response should arrive, and LatestStart the
	// time from which on sending the request is of no use.
	GoalBy, LatestStart time.Time
}

// waiter is a request in the queue.
type waiter struct {
	Request
	arrivedAt time.Time
	returned  bool
}

// compareWaiters returns a negative number if a goes first. firstPart is the time from
// the start of a request to the first part of its response.
func compareWaiters(a, b *waiter, now time.Time, firstPart time.Duration) int {
	return cmp.Or(
		a.Priority.Compare(b.Priority),
		cmp.Compare(a.class(now, firstPart), b.class(now, firstPart)),
		a.arrivedAt.Compare(b.arrivedAt),
		cmp.Compare(a.Source, b.Source),
		cmp.Compare(a.ID, b.ID),
	)
}

// The classes of equally urgent requests, in their order.
const (
	classReturned = iota
	classInTime
	classLate
)

func (w *waiter) class(now time.Time, firstPart time.Duration) int {
	switch {
	case w.returned:
		return classReturned
	case now.Add(firstPart).After(w.GoalBy):
		return classLate
	default:
		return classInTime
	}
}
