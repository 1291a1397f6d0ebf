package promptcache

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(1000, 0)

const testCapacity = 10_000 // tokens

var testCosts = Costs{ReadToken: 16 * time.Microsecond, PerRequest: 3 * time.Millisecond, SlotTime: 2 * time.Second}

// prompt returns a prompt with a shared part and one of its own.
func prompt(shared string, sharedTokens, ownTokens int) []Part {
	return []Part{{shared, sharedTokens}, {fmt.Sprint("own-", rand.Uint64()), ownTokens}}
}

// Guards against a target that is taken to hold what was never sent there, or to hold the
// part of a prompt that belongs to one request.
func TestOnlySharedBeginningsAreHeld(t *testing.T) {
	table := NewTable(testCapacity)
	parts := []Part{{"system", 500}, {"document", 1500}, {"question", 100}}
	require.Zero(t, table.Held("t", 1, parts, testStart))
	table.Record("t", 1, parts, 0, testStart)
	require.Equal(t, 2000, table.Held("t", 1, parts, testStart).Tokens)
	require.Equal(t, 500, table.Held("t", 1, []Part{{"system", 500}, {"other", 900}, {"question", 100}}, testStart).Tokens)
	require.Zero(t, table.Held("t", 1, []Part{{"document", 1500}, {"question", 100}}, testStart).Tokens, "not at the beginning")
	require.Zero(t, table.Held("other", 1, parts, testStart).Tokens)
	require.Zero(t, table.Held("t", 1, []Part{{"question", 100}}, testStart).Tokens)
}

// Guards against a target that has started again and is taken to hold what it held before.
func TestRestartedTargetHoldsNothing(t *testing.T) {
	table := NewTable(testCapacity)
	parts := prompt("system", 2000, 100)
	table.Record("t", 1, parts, 0, testStart)
	require.Zero(t, table.Held("t", 2, parts, testStart).Tokens)
	table.Record("t", 2, prompt("other", 100, 100), 0, testStart)
	require.Zero(t, table.Held("t", 1, parts, testStart).Tokens)
	table.Remove("t")
	require.Zero(t, table.Held("t", 2, prompt("other", 100, 100), testStart).Tokens)
}

// Guards against a target whose memory has been filled since, also by requests of other
// instances, and against what was not used for a long time.
func TestHoldingFadesWithWhatIsRead(t *testing.T) {
	for _, others := range []float64{0, 3} {
		table := NewTable(testCapacity)
		parts := prompt("system", 2000, 100)
		table.Record("t", 1, parts, others, testStart)
		last := 1.1
		n := 0
		for ; table.Held("t", 1, parts, testStart).Tokens > 0; n++ {
			chance := table.Held("t", 1, parts, testStart).Chance
			require.Less(t, chance, last)
			last = chance
			table.Record("t", 1, prompt(fmt.Sprint("s", n), 1000, 0), others, testStart)
		}
		require.InDelta(t, testCapacity/1000/(1+others), n, 2)
	}
	table := NewTable(testCapacity)
	parts := prompt("system", 2000, 100)
	table.Record("t", 1, parts, 0, testStart)
	require.Zero(t, table.Held("t", 1, parts, testStart.Add(maxAge+time.Second)).Tokens)
}

// Guards against a table that grows with the parts that were ever sent.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(1 << 30)
	for i := range 3 * maxEntries {
		table.Record("t", 1, prompt(fmt.Sprint("s", i), 10, 10), 0, testStart.Add(time.Duration(i)*time.Millisecond))
	}
	require.LessOrEqual(t, len(table.targets["t"].entries), maxEntries)
	require.Positive(t, table.Held("t", 1, prompt(fmt.Sprint("s", 3*maxEntries-1), 10, 10), testStart.Add(2*time.Second)).Tokens)
}

// Guards against a choice by what is held alone, or by the load alone.
func TestSavingIsWeighedAgainstTheWait(t *testing.T) {
	long, short := Holding{Tokens: 4000, Chance: 0.9}, Holding{Tokens: 40, Chance: 1}
	for name, c := range map[string]struct {
		options []Option
		want    int
	}{
		"a long part, same load":            {[]Option{{4, 10, Holding{}}, {4, 10, long}}, 1},
		"a long part, a little more load":   {[]Option{{4, 10, Holding{}}, {5, 10, long}}, 1},
		"a long part, but no slot":          {[]Option{{4, 10, Holding{}}, {10, 10, long}}, 0},
		"a long part, but far more load":    {[]Option{{1, 10, Holding{}}, {8, 10, long}}, 0},
		"a short part":                      {[]Option{{4, 10, Holding{}}, {4, 10, short}}, 0},
		"a short part, more load":           {[]Option{{4, 10, Holding{}}, {5, 10, short}}, 0},
		"probably evicted":                  {[]Option{{4, 10, Holding{}}, {4, 10, Holding{4000, 0.02}}}, 0},
		"both hold it":                      {[]Option{{4, 10, long}, {4, 10, long}}, 0},
		"the one with the lower load saves": {[]Option{{4, 10, long}, {5, 10, long}}, 0},
		"the longer one of two":             {[]Option{{4, 10, Holding{}}, {4, 10, Holding{1000, 1}}, {4, 10, long}}, 2},
	} {
		require.Equal(t, c.want, Weigh(c.options, 4, testCosts), name)
	}
}

// replayTarget is an engine with a bounded cache of beginnings, least recently used first.
type replayTarget struct {
	cache  []string
	load   int
	read   int // tokens
	served int
}

// firstPart returns the time until the first part of a response.
func (r *replayTarget) firstPart(parts []Part, size int) time.Duration {
	wait := Option{Load: float64(r.load), Slots: 10}.wait(testCosts)
	tokens := parts[1].Tokens
	if i := slices.Index(r.cache, parts[0].ID); i >= 0 {
		r.cache = slices.Delete(r.cache, i, i+1)
	} else {
		tokens += parts[0].Tokens
	}
	r.cache = append(r.cache, parts[0].ID)
	if len(r.cache) > size {
		r.cache = r.cache[1:]
	}
	r.read += tokens
	r.served++
	return wait + time.Duration(tokens)*testCosts.ReadToken
}

// replayResult is what callers got.
type replayResult struct {
	median, p99 time.Duration
	tokens      int
	busiest     float64 // requests of the busiest target relative to the mean
}

// replay sends prompts with shared parts of 3,000 tokens to ten targets that hold three of
// them each. weigh takes what they hold into account, and popular is the share of the
// requests that have the same part.
func replay(weigh bool, popular float64) replayResult {
	const targets, cacheSize, requests, parts, loadMean = 10, 3, 4000, 20, 5
	rng := rand.New(rand.NewPCG(3, 1))
	table := NewTable(cacheSize * 3000)
	engines := make([]replayTarget, targets)
	var ends [][2]int // the requests in progress: when they end, and where they are
	var times []time.Duration
	for i := range requests {
		now := testStart.Add(time.Duration(i) * 40 * time.Millisecond)
		ends = slices.DeleteFunc(ends, func(e [2]int) bool {
			if e[0] <= i {
				engines[e[1]].load--
			}
			return e[0] <= i
		})
		id := fmt.Sprint("part-", rng.IntN(parts))
		if rng.Float64() < popular {
			id = "popular"
		}
		p := prompt(id, 3000, 200)
		picked := rng.IntN(targets)
		if other := rng.IntN(targets); engines[other].load < engines[picked].load {
			picked = other
		}
		if weigh {
			options, index := []Option{{Load: float64(engines[picked].load), Slots: 10, Holding: table.Held(fmt.Sprint(picked), 1, p, now)}}, []int{picked}
			mean := 0.0
			for k := range engines {
				mean += float64(engines[k].load) / targets
				options, index = append(options, Option{Load: float64(engines[k].load), Slots: 10, Holding: table.Held(fmt.Sprint(k), 1, p, now)}), append(index, k)
			}
			picked = index[Weigh(options, mean, testCosts)]
		}
		table.Record(fmt.Sprint(picked), 1, p, 0, now)
		times = append(times, engines[picked].firstPart(p, cacheSize))
		engines[picked].load++
		ends = append(ends, [2]int{i + int(rng.ExpFloat64()*loadMean*targets), picked})
	}
	slices.Sort(times)
	r := replayResult{median: times[len(times)/2], p99: times[len(times)*99/100]}
	for k := range engines {
		r.tokens += engines[k].read
		r.busiest = max(r.busiest, float64(engines[k].served)*targets/requests)
	}
	return r
}

// Guards against a choice that gains nothing where prompts share long parts and engines
// hold some of them.
func TestWeighingSavesReading(t *testing.T) {
	byLoad, weighed := replay(false, 0), replay(true, 0)
	t.Logf("by load: %+v, weighed: %+v", byLoad, weighed)
	require.Less(t, weighed.tokens, byLoad.tokens*2/3)
	require.Less(t, weighed.median, byLoad.median*2/3)
	require.LessOrEqual(t, weighed.p99, byLoad.p99)
}

// Guards against a part of nine in ten requests that makes its target the slowest.
func TestPopularPartDoesNotFillItsTarget(t *testing.T) {
	byLoad, weighed := replay(false, 0.9), replay(true, 0.9)
	t.Logf("by load: %+v, weighed: %+v", byLoad, weighed)
	require.LessOrEqual(t, weighed.tokens, byLoad.tokens)
	require.LessOrEqual(t, weighed.p99, byLoad.p99+10*time.Millisecond)
	require.Less(t, weighed.busiest, 1.5)
}
