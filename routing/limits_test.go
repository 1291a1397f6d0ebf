package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a cold target that gets more requests in a second than it bears:
// the rate with half of it on top and five more.
func TestWarmUpBoundsAllInstances(t *testing.T) {
	const rate, instances, length = 36.0, 9, 5 * time.Second
	start := time.Unix(0, 0)
	shares := make([]WarmUpLimiter, instances)
	var sent []time.Time
	for at := time.Duration(0); at < length; at += 5 * time.Millisecond {
		now := start.Add(at)
		for i := range shares {
			ready := shares[i].CanTakeRequest(rate, instances, now)
			require.Equal(t, ready, shares[i].TakeRequest(rate, instances, now))
			if ready {
				sent = append(sent, now)
			}
		}
	}
	for i := range sent {
		n := len(since(sent[i:], sent[i])) - len(since(sent[i:], sent[i].Add(time.Second)))
		require.LessOrEqual(t, float64(n), 1.5*rate+5)
	}
	require.Greater(t, float64(len(sent)), 0.9*rate*length.Seconds(), "the target gets the work that it bears")
}

// Guards against instances that together make more further attempts in a window than
// the limits allow, whatever the requests and losses of each.
func TestRetrySharesKeepToLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := RetryLimits{Ratio: 0.2, Slack: 90, Window: 10 * time.Second}
		instances := rapid.IntRange(1, 9).Draw(t, "instances")
		shares := make([]*RetryBudget, instances)
		for i := range shares {
			shares[i] = NewRetryBudget(limits)
			shares[i].SetInstances(instances, time.Unix(0, 0))
		}
		var firsts, retries []time.Time
		for second := range 40 {
			busy := rapid.IntRange(0, 20).Draw(t, "requests")
			for k := range busy {
				now := time.Unix(int64(second), int64(k))
				s := shares[rapid.IntRange(0, instances-1).Draw(t, "instance")]
				s.RecordFirstAttempt(now)
				firsts = append(firsts, now)
				for range rapid.IntRange(0, 4).Draw(t, "losses") {
					if s.TakeRetry(now) {
						retries = append(retries, now)
					}
				}
			}
			end := time.Unix(int64(second)+1, 0)
			allowed := limits.Ratio*float64(len(since(firsts, end.Add(-limits.Window)))) + limits.Slack
			if n := len(since(retries, end.Add(-limits.Window))); float64(n) > allowed {
				t.Fatalf("%d further attempts in a window that allows %.0f", n, allowed)
			}
		}
	})
}

// Guards against a count of requests that grows while no further attempt is made.
func TestRetryShareForgetsRequests(t *testing.T) {
	s := NewRetryBudget(RetryLimits{Ratio: 0.2, Slack: 90, Window: time.Second})
	for i := range 10000 {
		s.RecordFirstAttempt(time.Unix(0, int64(i)*int64(10*time.Millisecond)))
	}
	require.Less(t, len(s.firsts), 1000)
}

// Guards against a request that takes the route of a shorter prefix or of another
// host, and against keys that are let through.
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
