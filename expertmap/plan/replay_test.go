package plan

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recorded holds the activation counts of all ranks together at one moment of a
// recorded day.
type recorded struct {
	Seconds float64  `json:"t"`
	Counts  []uint64 `json:"counts"`
}

const (
	replaySets, replayExperts, replayRanks = 4, 72, 12
	// replayOrderTime is the time that the orders of a switch take,
	// replayCopyTime the time to copy one expert.
	replayOrderTime = 200 * time.Millisecond
	replayCopyTime  = 35 * time.Millisecond
	replayPoll      = 300 * time.Millisecond
	// replayShiftPoll is the interval of reads while the load seems to shift.
	replayShiftPoll = 50 * time.Millisecond
)

func readRecording(t testing.TB, file string) []recorded {
	f, err := os.Open(file)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	z, err := gzip.NewReader(f)
	require.NoError(t, err)
	var all []recorded
	lines := bufio.NewScanner(z)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r recorded
		require.NoError(t, json.Unmarshal(lines.Bytes(), &r))
		all = append(all, r)
	}
	require.NoError(t, lines.Err())
	return all
}

type replayResult struct {
	skew             float64
	copies, switches int
}

// replay runs a tracker on recorded counts. The resulting skew is that of the
// forward passes that the group would have made, not the planned one.
func replay(records []recorded, rules TrackerRules, poll time.Duration) replayResult {
	at := func(r recorded) time.Time { return time.Unix(0, int64(r.Seconds*1e9)) }
	t := NewTracker(replaySets, replayExperts, rules)
	l := Limits{SlotsPerRank: 8, NewPerRank: 3}
	current := make([][][]int, replaySets)
	for s := range current {
		current[s] = roundRobinPlacement(replayRanks, replayExperts)
	}
	var pending [][][]int
	var switchAt, readAt time.Time
	var res replayResult
	weight := 0.0
	for i, r := range records {
		now := at(r)
		if i > 0 {
			skew, n := skewBetween(current, records[i-1].Counts, r.Counts)
			res.skew += skew * n
			weight += n
		}
		if pending != nil && !now.Before(switchAt) {
			current, pending = pending, nil
			t.MapChanged(now)
		}
		interval := poll
		if t.Shifting() {
			interval = replayShiftPoll
		}
		if now.Sub(readAt) < interval {
			continue
		}
		readAt = now
		t.Observe([]Sample{{Counts: r.Counts}}, now)
		if pending != nil {
			continue
		}
		if p, ok := t.Propose(current, l, now); ok {
			pending = p.Map
			switchAt = now.Add(replayOrderTime + time.Duration(maxCopiesPerRank(current, p.Map))*replayCopyTime)
			res.copies += p.Copies
			res.switches++
		}
	}
	res.skew /= weight
	return res
}

// maxCopiesPerRank returns the largest number of experts that one rank copies.
func maxCopiesPerRank(current, next [][][]int) int {
	most := 0
	for r := range current[0] {
		n := 0
		for s := range current {
			n += Placement{current[s][r]}.Copies(Placement{next[s][r]})
		}
		most = max(most, n)
	}
	return most
}

func skewBetween(m [][][]int, before, after []uint64) (skew, activations float64) {
	for s := range m {
		load := make([]float64, replayExperts)
		for e := range load {
			load[e] = float64(after[s*replayExperts+e]) - float64(before[s*replayExperts+e])
			activations += load[e]
		}
		skew += Placement(m[s]).MaxRankLoad(load, Limits{}) / float64(len(m))
	}
	return skew, activations
}

func replayAll(t testing.TB, rules TrackerRules, poll time.Duration) replayResult {
	files, err := filepath.Glob("testdata/*.jsonl.gz")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	var sum replayResult
	for _, f := range files {
		r := replay(readRecording(t, f), rules, poll)
		sum.skew += r.skew / float64(len(files))
		sum.copies += r.copies
		sum.switches += r.switches
	}
	return sum
}

// Guards against a tracker that averages over a sudden change of the expert
// load. On the recorded days, forward passes under the former rules took 1.97
// times as long as with an even load, since maps were planned for a load of
// which half no longer applied.
func TestTrackerFollowsShifts(t *testing.T) {
	former := TrackerRules{
		DecayTime: 1500 * time.Millisecond, ShiftWindow: 400 * time.Millisecond, ShiftDistance: math.Inf(1),
		MinActivations: 3000, MinGain: 0.10, MinGainPerCopy: 0.04, MinChangeInterval: 900 * time.Millisecond,
	}
	before := replayAll(t, former, 300*time.Millisecond)
	after := replayAll(t, DefaultTrackerRules, 150*time.Millisecond)
	t.Logf("skew %.3f -> %.3f, copies %d -> %d, switches %d -> %d",
		before.skew, after.skew, before.copies, after.copies, before.switches, after.switches)
	require.Less(t, after.skew, before.skew-0.2)
	require.Less(t, after.copies, before.copies)
}

// Guards against counts of a restarted rank that are taken for negative or
// doubled load.
func TestTrackerRestartedRank(t *testing.T) {
	tr := NewTracker(1, 2, DefaultTrackerRules)
	now := time.Unix(0, 0)
	tr.Observe([]Sample{{Rank: 0, StartedAtMs: 1, Counts: []uint64{100, 50}}}, now)
	tr.Observe([]Sample{{Rank: 0, StartedAtMs: 1, Counts: []uint64{160, 60}}}, now)
	require.Equal(t, 70.0, tr.Activations())
	tr.Observe([]Sample{{Rank: 0, StartedAtMs: 2, Counts: []uint64{30, 10}}}, now)
	tr.Observe([]Sample{{Rank: 0, StartedAtMs: 2, Counts: []uint64{5, 5}}}, now)
	require.Equal(t, 70.0, tr.Activations())
}
