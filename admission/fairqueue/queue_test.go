package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// listModel is a reference implementation of the queue as a plain list.
type listModel struct {
	items []Item // in order of arrival
}

func (m *listModel) remove(id uint64) (Item, bool) {
	for i, it := range m.items {
		if it.ID == id {
			m.items = append(m.items[:i], m.items[i+1:]...)
			return it, true
		}
	}
	return Item{}, false
}

func (m *listModel) cost() (sum int) {
	for _, it := range m.items {
		sum += it.Cost
	}
	return sum
}

// Guards against lost or duplicate items, a wrong total cost, and an item that is
// served before an earlier item of the same customer with the same or a higher
// priority.
func TestOrderWithinCustomer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, m, id, now := New(), &listModel{}, uint64(0), time.Unix(0, 0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1, 2:
				id++
				it := drawItem(t, id, now)
				q.Push(it)
				m.items = append(m.items, it)
			case 3:
				it, ok := q.Pop()
				require.Equal(t, len(m.items) > 0, ok)
				if ok {
					requireFirst(t, m, it)
				}
			case 4:
				some := rapid.Uint64Range(1, id+1).Draw(t, "id")
				_, known := m.remove(some)
				require.Equal(t, known, q.Remove(some))
			case 5:
				it, ok := q.DropLongest()
				require.Equal(t, len(m.items) > 0, ok)
				m.remove(it.ID)
			case 6:
				for _, it := range q.Expire(now) {
					require.False(t, it.LatestStart.After(now))
					_, known := m.remove(it.ID)
					require.True(t, known)
				}
				for _, it := range m.items {
					require.True(t, it.LatestStart.After(now))
				}
			}
			require.Equal(t, len(m.items), q.Len())
			require.Equal(t, m.cost(), q.Cost())
		}
	})
}

func drawItem(t *rapid.T, id uint64, now time.Time) Item {
	return Item{
		ID:          id,
		Customer:    rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "customer"),
		Weight:      rapid.IntRange(1, 5).Draw(t, "weight"),
		Priority:    rapid.IntRange(-1, 1).Draw(t, "priority"),
		Cost:        rapid.IntRange(1, 50).Draw(t, "cost"),
		LatestStart: now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * time.Millisecond),
	}
}

// requireFirst checks that no item of the same customer should have been served
// before the popped one.
func requireFirst(t *rapid.T, m *listModel, popped Item) {
	it, known := m.remove(popped.ID)
	require.True(t, known)
	for _, other := range m.items {
		if other.Customer == it.Customer {
			require.LessOrEqual(t, other.Priority, it.Priority)
			require.True(t, other.Priority < it.Priority || other.ID > it.ID)
		}
	}
}

// Guards against a customer that gets more than its share while others wait. The
// service of two customers that both have queued work, divided by their weights,
// may differ by at most one item of each.
func TestFairShare(t *testing.T) {
	const maxCost = 50
	rapid.Check(t, func(t *rapid.T) {
		q, id := New(), uint64(0)
		weights := map[string]int{}
		for c := range rapid.IntRange(2, 6).Draw(t, "customers") {
			name := fmt.Sprint("c", c)
			weights[name] = rapid.IntRange(1, 8).Draw(t, "weight")
			for range 300 {
				id++
				q.Push(Item{ID: id, Customer: name, Weight: weights[name], Cost: rapid.IntRange(1, maxCost).Draw(t, "cost")})
			}
		}
		served := map[string]float64{}
		for range rapid.IntRange(1, 250).Draw(t, "pops") {
			it, _ := q.Pop()
			served[it.Customer] += float64(it.Cost) / float64(weights[it.Customer])
			for a, wa := range weights {
				for b, wb := range weights {
					require.LessOrEqual(t, served[a]-served[b], maxCost/float64(wa)+maxCost/float64(wb)+1e-6)
				}
			}
		}
	})
}

// Guards against a full queue that drops items of customers that are within their
// share.
func TestDropLongestTakesFromTheFlood(t *testing.T) {
	q := New()
	for i := range 100 {
		q.Push(Item{ID: uint64(i), Customer: "large", Weight: 4, Cost: 1})
	}
	for i := range 5 {
		q.Push(Item{ID: uint64(1000 + i), Customer: "small", Weight: 1, Cost: 1})
	}
	for i := range 75 {
		it, _ := q.DropLongest()
		require.Equal(t, "large", it.Customer, "drop %d", i)
		require.Equal(t, uint64(99-i), it.ID, "the last item to arrive is dropped first")
	}
}

// Guards against a wait estimate that makes a customer with little queued work
// wait for the whole queue of another customer.
func TestAheadCountsTheShare(t *testing.T) {
	q := New()
	for i := range 100 {
		q.Push(Item{ID: uint64(i), Customer: "large", Weight: 1, Cost: 10})
	}
	require.Equal(t, 0, q.CostAhead("small", 1, 0))
	require.Equal(t, 1000, q.CostAhead("large", 1, 0))
	require.Equal(t, 0, q.CostAhead("large", 1, 1), "a higher priority is served before the customer's other items")
	q.Push(Item{ID: 1000, Customer: "small", Weight: 1, Cost: 10})
	require.Equal(t, 20, q.CostAhead("small", 1, 0))
}
