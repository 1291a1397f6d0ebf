package fairqueue

import (
	"container/heap"
	"slices"
	"time"
)

// Item is queued work. LatestStart is the latest time at which it may start.
type Item struct {
	ID          uint64
	Customer    string
	Weight      int
	Priority    int
	Cost        int
	LatestStart time.Time
}

// flow is the queued work of one customer. Items are ordered by priority, highest
// first, then by arrival.
type flow struct {
	name         string
	weight       float64 // of the item that was added while the flow was empty
	virtualStart float64 // virtual start time of the first item
	cost         int
	items        []Item
}

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	flows        map[string]*flow
	byID         map[uint64]*flow
	expiry       expiryHeap
	virtualTime  float64
	cost         int
	activeWeight float64 // sum over flows with items
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{flows: map[string]*flow{}, byID: map[uint64]*flow{}}
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.byID) }

// Cost returns the sum of the costs of all items.
func (q *Queue) Cost() int { return q.cost }

// Push adds an item. Its ID must not be in the queue.
func (q *Queue) Push(it Item) {
	it.Cost = max(it.Cost, 1)
	f := q.flows[it.Customer]
	if f == nil {
		f = &flow{name: it.Customer, virtualStart: q.virtualTime}
		q.flows[it.Customer] = f
	}
	if len(f.items) == 0 {
		f.virtualStart = max(f.virtualStart, q.virtualTime)
		f.weight = float64(max(it.Weight, 1))
		q.activeWeight += f.weight
	}
	at := len(f.items)
	for at > 0 && f.items[at-1].Priority < it.Priority {
		at--
	}
	f.items = slices.Insert(f.items, at, it)
	f.cost += it.Cost
	q.cost += it.Cost
	q.byID[it.ID] = f
	heap.Push(&q.expiry, expiry{it.LatestStart, it.ID})
}

// Pop removes and returns the item to be served next. It returns false for an
// empty queue.
func (q *Queue) Pop() (Item, bool) {
	var first *flow
	for _, f := range q.flows {
		if len(f.items) > 0 && (first == nil || servedBefore(f, first)) {
			first = f
		}
	}
	if first == nil {
		return Item{}, false
	}
	it := first.items[0]
	q.virtualTime = first.virtualStart
	first.virtualStart += float64(it.Cost) / first.weight
	q.removeAt(first, 0)
	return it, true
}

// servedBefore orders flows by virtual start time, then by customer name.
func servedBefore(a, b *flow) bool {
	return a.virtualStart < b.virtualStart || a.virtualStart == b.virtualStart && a.name < b.name
}

// removeAt removes item i of the flow. When it was the last item of the queue,
// the busy period ends.
func (q *Queue) removeAt(f *flow, i int) {
	it := f.items[i]
	f.items = slices.Delete(f.items, i, i+1)
	f.cost -= it.Cost
	q.cost -= it.Cost
	delete(q.byID, it.ID)
	if len(f.items) > 0 {
		return
	}
	q.activeWeight -= f.weight
	if len(q.byID) == 0 {
		q.reset()
	}
}

// reset starts a new busy period. Customers carry over no virtual start time from
// the last one, and the memory of customers without queued work is released.
func (q *Queue) reset() {
	clear(q.flows)
	q.expiry = q.expiry[:0]
	q.virtualTime, q.activeWeight, q.cost = 0, 0, 0
}

// Remove removes an item, for example because its caller cancelled the request. It
// returns false if the item is not in the queue.
func (q *Queue) Remove(id uint64) bool {
	f := q.byID[id]
	if f == nil {
		return false
	}
	q.removeAt(f, slices.IndexFunc(f.items, func(it Item) bool { return it.ID == id }))
	return true
}

// DropLongest removes and returns the last item of the customer with the most
// queued work in relation to its weight, so that customers within their share lose
// nothing. It returns false for an empty queue.
func (q *Queue) DropLongest() (Item, bool) {
	var longest *flow
	for _, f := range q.flows {
		if len(f.items) > 0 && (longest == nil || hasMoreQueued(f, longest)) {
			longest = f
		}
	}
	if longest == nil {
		return Item{}, false
	}
	last := len(longest.items) - 1
	it := longest.items[last]
	q.removeAt(longest, last)
	return it, true
}

// hasMoreQueued orders flows by queued cost in relation to weight, largest first,
// then by customer name.
func hasMoreQueued(a, b *flow) bool {
	x, y := float64(a.cost)/a.weight, float64(b.cost)/b.weight
	return x > y || x == y && a.name < b.name
}

// CostAhead returns the cost that is served before a new item of the customer: the
// customer's own items of the same or a higher priority, and the share that the
// other customers get in that time. It never exceeds the cost of all items.
func (q *Queue) CostAhead(customer string, weight, priority int) int {
	own, w, total := 0, float64(max(weight, 1)), q.activeWeight
	if f := q.flows[customer]; f != nil && len(f.items) > 0 {
		w = f.weight
		for _, it := range f.items {
			if it.Priority < priority {
				break
			}
			own += it.Cost
		}
	} else {
		total += w
	}
	return min(q.cost, int(float64(own)*total/w))
}

// Expire removes and returns the items whose LatestStart is not after now.
func (q *Queue) Expire(now time.Time) []Item {
	var out []Item
	for len(q.expiry) > 0 && !q.expiry[0].at.After(now) {
		x := heap.Pop(&q.expiry).(expiry)
		f := q.byID[x.id]
		if f == nil {
			continue
		}
		i := slices.IndexFunc(f.items, func(it Item) bool { return it.ID == x.id })
		out = append(out, f.items[i])
		q.removeAt(f, i)
	}
	return out
}

// NextExpiry returns the smallest LatestStart of all items, or zero for an empty
// queue.
func (q *Queue) NextExpiry() time.Time {
	for len(q.expiry) > 0 {
		if q.byID[q.expiry[0].id] != nil {
			return q.expiry[0].at
		}
		heap.Pop(&q.expiry)
	}
	return time.Time{}
}

type expiry struct {
	at time.Time
	id uint64
}

// expiryHeap is ordered by time. Entries of items that are no longer queued are
// skipped when they reach the top.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
