package fairqueue

import (
	"container/heap"
	"slices"
	"time"
)

// Item is queued work. GiveUp is the last moment at which starting it helps.
type Item struct {
	ID          uint64
	Customer    string
	Weight      int
	Priority    int
	Cost        int
	LatestStart time.Time
}

// flow is the work of one customer. Items are ordered by priority, then arrival.
type flow struct {
	name   string
	weight float64
	start  float64 // virtual start time of the first item
	cost   int
	items  []Item
}

// Queue is not safe for concurrent use.
type Queue struct {
	flows   map[string]*flow
	byID    map[uint64]*flow
	expiry  expiryHeap
	virtual float64
	cost    int
	weight  float64 // sum over flows with items
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
		f = &flow{name: it.Customer, start: q.virtual}
		q.flows[it.Customer] = f
	}
	if len(f.items) == 0 {
		f.start = max(f.start, q.virtual)
		f.weight = float64(max(it.Weight, 1))
		q.weight += f.weight
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

// Pop removes the item that is served next.
func (q *Queue) Pop() (Item, bool) {
	var first *flow
	for _, f := range q.flows {
		if len(f.items) > 0 && (first == nil || before(f, first)) {
			first = f
		}
	}
	if first == nil {
		return Item{}, false
	}
	it := first.items[0]
	q.virtual = first.start
	first.start += float64(it.Cost) / first.weight
	q.take(first, 0)
	return it, true
}

func before(a, b *flow) bool {
	return a.start < b.start || a.start == b.start && a.name < b.name
}

// take removes one item and forgets what is no longer needed.
func (q *Queue) take(f *flow, i int) {
	it := f.items[i]
	f.items = slices.Delete(f.items, i, i+1)
	f.cost -= it.Cost
	q.cost -= it.Cost
	delete(q.byID, it.ID)
	if len(f.items) > 0 {
		return
	}
	q.weight -= f.weight
	if len(q.byID) == 0 {
		q.reset()
	}
}

// reset starts a new busy period. Customers keep no debt from the last one, and
// the memory of customers that went away is released.
func (q *Queue) reset() {
	clear(q.flows)
	q.expiry = q.expiry[:0]
	q.virtual, q.weight, q.cost = 0, 0, 0
}

// Remove takes an item out, for example because its caller went away.
func (q *Queue) Remove(id uint64) bool {
	f := q.byID[id]
	if f == nil {
		return false
	}
	q.take(f, slices.IndexFunc(f.items, func(it Item) bool { return it.ID == id }))
	return true
}

// DropLongest removes the last item of the customer with the most queued work
// for its weight. It makes room without touching customers within their share.
func (q *Queue) DropLongest() (Item, bool) {
	var longest *flow
	for _, f := range q.flows {
		if len(f.items) > 0 && (longest == nil || longer(f, longest)) {
			longest = f
		}
	}
	if longest == nil {
		return Item{}, false
	}
	last := len(longest.items) - 1
	it := longest.items[last]
	q.take(longest, last)
	return it, true
}

func longer(a, b *flow) bool {
	x, y := float64(a.cost)/a.weight, float64(b.cost)/b.weight
	return x > y || x == y && a.name < b.name
}

// CostAhead returns the cost that is served before a new item of the customer: its
// own work of the same or a higher priority together with what the other
// customers get in that time, and never more than everything queued.
func (q *Queue) CostAhead(customer string, weight, priority int) int {
	own, w, total := 0, float64(max(weight, 1)), q.weight
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

// Expire removes and returns the items whose time to give up has come.
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
		q.take(f, i)
	}
	return out
}

// NextExpiry returns the earliest time to give up, or zero for an empty queue.
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

// expiryHeap is ordered by time. Items that left the queue are skipped when they
// reach the top.
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
