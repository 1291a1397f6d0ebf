package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a target that gets more requests in a second of its warm-up
// than it can handle: the rate, plus half of it, plus five.
func TestWarmUpBoundsAllInstances(t *testing.T) {
	const rate, instances, length = 36.0, 9, 5 * time.Second
	start := time.Unix(0, 0)
	limiters := make([]WarmUpLimiter, instances)
	var sent []time.Time
	for at := time.Duration(0); at < length; at += 5 * time.Millisecond {
		now := start.Add(at)
		for i := range limiters {
			ready := limiters[i].CanTakeRequest(rate, instances, now)
			require.Equal(t, ready, limiters[i].TakeRequest(rate, instances, now))
			if ready {
				sent = append(sent, now)
			}
		}
	}
	for i := range sent {
		n := len(dropBefore(sent[i:], sent[i])) - len(dropBefore(sent[i:], sent[i].Add(time.Second)))
		require.LessOrEqual(t, float64(n), 1.5*rate+5)
	}
	require.Greater(t, float64(len(sent)), 0.9*rate*length.Seconds(), "the target gets the requests that it can handle")
}

// Guards against many instances that together send more requests in a second to a
// target in its warm-up than it can handle, and against instances that may send to
// none of the targets.
func TestWarmUpBoundsManyInstances(t *testing.T) {
	for _, rate := range []float64{1, 14, 36} {
		for _, instances := range []int{1, 2, 9, 23, 42, 100} {
			sent := sendDuringWarmUp(rate, instances)
			for i := range sent {
				n := len(dropBefore(sent[i:], sent[i])) - len(dropBefore(sent[i:], sent[i].Add(time.Second)))
				require.LessOrEqual(t, float64(n), 1.5*rate+5, "%d instances, rate %v", instances, rate)
			}
			if rate >= 14 {
				require.Greater(t, float64(len(sent)), 0.8*rate*warmUpLength.Seconds(), "%d instances, rate %v", instances, rate)
			}
		}
	}
	const instances, targets = 42, 63
	for position := range instances {
		mine := 0
		for n := range targets {
			if IsSender(fmt.Sprintf("i-%d", n), position, instances, WarmUpSenders(14, instances)) {
				mine++
			}
		}
		require.Positive(t, mine, "instance %d has no target", position)
	}
}

const warmUpLength = 5 * time.Second

// sendDuringWarmUp returns when instances that always have requests send them to a
// target in its warm-up.
func sendDuringWarmUp(rate float64, instances int) []time.Time {
	senders := WarmUpSenders(rate, instances)
	limiters := make([]WarmUpLimiter, instances)
	var sent []time.Time
	for at := time.Duration(0); at < warmUpLength; at += 5 * time.Millisecond {
		now := time.Unix(0, 0).Add(at)
		for i := range limiters {
			if IsSender("i-1", i, instances, senders) && limiters[i].TakeRequest(rate, senders, now) {
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// Guards against instances that together make more retries in a window than the
// limits allow, for any requests and failures of each.
func TestRetryBudgetsKeepToLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := RetryLimits{Ratio: 0.2, Slack: 90, Window: 10 * time.Second}
		instances := rapid.IntRange(1, 9).Draw(t, "instances")
		budgets := make([]*RetryBudget, instances)
		for i := range budgets {
			budgets[i] = NewRetryBudget(limits)
			budgets[i].SetInstances(instances, time.Unix(0, 0))
		}
		var firstAttempts, retries []time.Time
		for second := range 40 {
			requests := rapid.IntRange(0, 20).Draw(t, "requests")
			for k := range requests {
				now := time.Unix(int64(second), int64(k))
				budget := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
				budget.RecordFirstAttempt(now)
				firstAttempts = append(firstAttempts, now)
				for range rapid.IntRange(0, 4).Draw(t, "losses") {
					if budget.TakeRetry(now) {
						retries = append(retries, now)
					}
				}
			}
			end := time.Unix(int64(second)+1, 0)
			allowed := limits.Ratio*float64(len(dropBefore(firstAttempts, end.Add(-limits.Window)))) + limits.Slack
			if n := len(dropBefore(retries, end.Add(-limits.Window))); float64(n) > allowed {
				t.Fatalf("%d retries in a window that allows %.0f", n, allowed)
			}
		}
	})
}

// Guards against records of requests that accumulate while no retry is made.
func TestRetryBudgetDropsOldRequests(t *testing.T) {
	budget := NewRetryBudget(RetryLimits{Ratio: 0.2, Slack: 90, Window: time.Second})
	for i := range 10000 {
		budget.RecordFirstAttempt(time.Unix(0, int64(i)*int64(10*time.Millisecond)))
	}
	require.Less(t, len(budget.firstAttempts), 1000)
}

// Guards against a request that takes the route of a shorter prefix or of
// another host, and against invalid keys that are accepted.
func TestTable(t *testing.T) {
	split := []WeightedBackend{{Backend: "b", Weight: 1}}
	table := NewTable(&Config{
		Routes: []Route{
			{Name: "short", Host: "h", Prefix: "/a/", Split: split},
			{Name: "long", Host: "h", Prefix: "/a/b/", Split: split, Public: true},
			{Name: "other", Host: "o", Prefix: "/a/b/c/", Split: split},
		},
		Customers: []Customer{{Name: "c", Keys: []string{"k"}, Priority: new(int)}},
	})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b/c/x": "long", "/a/b/?q=/a/": "long", "/a/": "short", "/a": "", "/": "", "/ab/": ""} {
		r, err := table.Route("h", path)
		if want == "" {
			require.Error(t, err, path)
			continue
		}
		require.NoError(t, err, path)
		require.Equal(t, want, r.Name, path)
	}
	short, err := table.Route("h", "/a/x")
	require.NoError(t, err)
	long, err := table.Route("h", "/a/b/x")
	require.NoError(t, err)
	c, err := table.Customer(short, "k")
	require.NoError(t, err)
	require.Equal(t, "c", c.Name)
	require.Equal(t, 0, Priority(&Route{Priority: 3}, c), "the customer's priority takes precedence")
	for _, key := range []string{"", "other", "K"} {
		_, err = table.Customer(short, key)
		require.Error(t, err, key)
	}
	_, err = table.Customer(long, "")
	require.NoError(t, err, "a public route needs no key")
}
