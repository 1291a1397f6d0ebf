package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/balancer/leastload"
	"github.com/skylarkstep/skylarkstep/balancer/prefix"
)

// testSnapshot returns a snapshot of n targets with load reports in three data
// centres.
func testSnapshot(n int) balancer.Snapshot {
	s := balancer.Snapshot{DataCentre: "dc-0"}
	for i := range n {
		s.Targets = append(s.Targets, balancer.Target{
			Name: targetName(i), DataCentre: dataCentre(i), HasReport: true, Running: 4, RunningTokens: 200, Limit: 16,
			UnitTime: 5 * time.Millisecond, Own: &balancer.Counter{},
		})
	}
	return s
}

// Guards against a policy that ignores the customer's allowed data centres, the
// failed targets or the slow ones, and against one that picks remote targets while
// local ones have free slots.
func TestEveryPolicyKeepsTheRules(t *testing.T) {
	for _, p := range Policies() {
		t.Run(p.Name, func(t *testing.T) {
			s := testSnapshot(12)
			s.Targets[3].Slow = true
			picker := p.Build(0).Build(s)
			r := balancer.Request{PrefixHash: 1, Tokens: 10}
			for r.Random = range 200 {
				r.PrefixHash = balancer.Mix(r.Random)
				i, err := picker.Pick(r)
				require.NoError(t, err)
				assert.Equal(t, "dc-0", s.Targets[i].DataCentre)
				assert.NotEqual(t, 3, i, "picked the slow target while others have free slots")
			}
			r.Allowed = func(dc string) bool { return dc == "dc-2" }
			r.Avoid = func(name string) bool { return name == targetName(2) }
			for r.Random = range 200 {
				i, err := picker.Pick(r)
				require.NoError(t, err)
				assert.Equal(t, "dc-2", s.Targets[i].DataCentre)
				assert.NotEqual(t, 2, i)
			}
			r.Avoid = func(string) bool { return true }
			_, err := picker.Pick(r)
			assert.ErrorIs(t, err, balancer.ErrNoTarget)
		})
	}
}

// Guards against requests that queue in the local data centre while remote ones have
// free slots, and against a fixed order among the remote ones.
func TestSpillOverByLoad(t *testing.T) {
	s := testSnapshot(12)
	for i := range s.Targets {
		s.Targets[i].Running = map[string]int{"dc-0": 20, "dc-1": 14, "dc-2": 2}[s.Targets[i].DataCentre]
	}
	picker := leastload.Builder{}.Build(s)
	picks := map[string]int{}
	for random := range uint64(200) {
		i, err := picker.Pick(balancer.Request{Tokens: 10, Random: random})
		require.NoError(t, err)
		picks[s.Targets[i].DataCentre]++
	}
	assert.Zero(t, picks["dc-0"], "its targets have queues")
	// Four distinct targets of eight are all in dc-1 for 1 request in 70. Repeated
	// draws of a target make that more frequent.
	assert.Greater(t, picks["dc-2"], 180, "the least loaded data centre, whatever its name: %v", picks)
}

// Guards against herding: several entries have the same stale report, in which one
// target is idle and the others are half full. A policy that picks the minimum of
// the report sends all requests to that target.
func TestStaleReportMakesNoHerd(t *testing.T) {
	const entries, picks = 6, 30
	for _, age := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		got, naive := make([]int, 12), make([]int, 12)
		for e := range entries {
			s := testSnapshot(12)
			for i := range s.Targets {
				s.Targets[i].DataCentre, s.Targets[i].ReportAge = "dc-0", age
				s.Targets[i].Running = min(8, 8*i) // target 0 is idle
			}
			picker := leastload.Builder{}.Build(s)
			for k := range picks {
				i, err := picker.Pick(balancer.Request{Tokens: 10, Random: balancer.Mix(uint64(e*1000 + k))})
				require.NoError(t, err)
				got[i]++
				s.Targets[i].Own.Requests.Add(1)
				naive[leastReported(s.Targets)]++
			}
		}
		fair := entries * picks / 12
		assert.LessOrEqual(t, got[0], 2*fair, "age %v: %v", age, got)
		assert.Equal(t, entries*picks, naive[0], "the naive policy must herd")
	}
}

func leastReported(targets []balancer.Target) int {
	best := 0
	for i := range targets {
		if targets[i].Running < targets[best].Running {
			best = i
		}
	}
	return best
}

// Guards against own requests that are counted twice, in the report and in the
// counter.
func TestOwnRequestsAreCountedOnce(t *testing.T) {
	s := testSnapshot(1)
	s.Targets[0].Running, s.Targets[0].OwnRequestsAtReport = 10, 7
	s.Targets[0].Own.Requests.Store(9)
	assert.InDelta(t, 12, balancer.NewView(s.Targets).Requests(0), 1e-9, "3 of others, 9 own")
}

// Guards against a sample of the wrong time when the own requests are subtracted
// from a report that arrives late.
func TestHistory(t *testing.T) {
	var h balancer.History
	c := &balancer.Counter{}
	start := time.Unix(0, 0)
	for i := range 100 {
		c.Requests.Store(int64(i))
		h.Record(start.Add(time.Duration(i)*250*time.Millisecond), c)
	}
	now := start.Add(99 * 250 * time.Millisecond)
	for age, want := range map[time.Duration]int64{0: 98, 2 * time.Second: 90, 10 * time.Second: 58, time.Hour: 52} {
		got, _ := h.At(now.Add(-age))
		assert.Equal(t, want, got, "age %v", age)
	}
}

// Guards against prefixes that change their target when another target joins, and
// against a popular prefix that overloads its target.
func TestPrefixAffinityIsBounded(t *testing.T) {
	s := testSnapshot(36)
	owner := func(s balancer.Snapshot, prefixHash uint64) int {
		i, err := prefix.Builder{}.Build(s).Pick(balancer.Request{PrefixHash: prefixHash, Tokens: 10})
		require.NoError(t, err)
		return i
	}
	moved := 0
	joined := balancer.Snapshot{DataCentre: s.DataCentre, Targets: append(testSnapshot(36).Targets, testSnapshot(37).Targets[36])}
	for p := range uint64(300) {
		if owner(s, balancer.Mix(p)) != owner(joined, balancer.Mix(p)) {
			moved++
		}
	}
	assert.Less(t, moved, 60, "of 300 prefixes, with one target in 13 new")

	picker := prefix.Builder{}.Build(s)
	most := int64(0)
	for random := range uint64(100) {
		i, err := picker.Pick(balancer.Request{PrefixHash: 7, Tokens: 10, Random: random})
		require.NoError(t, err)
		most = max(most, s.Targets[i].Own.Requests.Add(1))
	}
	assert.LessOrEqual(t, most, int64(14), "100 requests over 12 local targets")
}

// Guards against memory allocations in Pick, which runs for every request.
func TestPickDoesNotAllocate(t *testing.T) {
	for _, p := range Policies() {
		picker := p.Build(0).Build(testSnapshot(300))
		r := balancer.Request{PrefixHash: 3, Tokens: 10, Avoid: func(name string) bool { return name == "" }}
		assert.Zero(t, testing.AllocsPerRun(100, func() {
			r.Random = balancer.Mix(r.Random)
			_, _ = picker.Pick(r)
		}), p.Name)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, p := range Policies() {
		for _, n := range []int{12, 1000, 10000} {
			b.Run(fmt.Sprintf("%s/%d", p.Name, n), func(b *testing.B) {
				picker := p.Build(0).Build(testSnapshot(n))
				b.ReportAllocs()
				r := balancer.Request{Tokens: 10}
				for b.Loop() {
					r.Random = balancer.Mix(r.Random)
					r.PrefixHash = r.Random
					_, _ = picker.Pick(r)
				}
			})
		}
	}
}

// BenchmarkBuild measures the time and memory of building a picker.
func BenchmarkBuild(b *testing.B) {
	for _, n := range []int{12, 1000, 10000} {
		s := testSnapshot(n)
		b.Run(fmt.Sprint("prefix/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				prefix.Builder{}.Build(s)
			}
		})
	}
}
