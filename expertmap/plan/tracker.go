package plan

import (
	"math"
	"time"
)

// TrackerRules say how a Tracker follows demand and when a change of the map
// pays.
type TrackerRules struct {
	// DecayTime is the age at which a choice counts a third while demand is steady.
	DecayTime time.Duration
	// ShiftWindow is the span of the latest choices that are compared with those
	// before. If their shares differ by more than ShiftDistance, the older ones
	// are forgotten.
	ShiftWindow   time.Duration
	ShiftDistance float64
	// MinActivations is the evidence that a plan needs, in choices of a set.
	MinActivations float64
	// MinGain is the share by which a change must lower the time of a pass.
	MinGain float64
	// MinGainPerCopy is the share of the mean load by which the peak of a set must
	// fall for each expert that is copied.
	MinGainPerCopy float64
	// MinChangeInterval is the shortest time between two changes.
	MinChangeInterval time.Duration
}

// DefaultTrackerRules are used for groups whose demand shifts every few seconds.
var DefaultTrackerRules = TrackerRules{
	DecayTime: 6 * time.Second, ShiftWindow: 200 * time.Millisecond, ShiftDistance: 0.2,
	MinActivations: 3000, MinGain: 0.15, MinGainPerCopy: 0.10, MinChangeInterval: 200 * time.Millisecond,
}

// Sample is the cumulative choices of every expert, set after set, that one
// rank has counted since its start.
type Sample struct {
	Rank        int
	StartedAtMs int64
	Counts      []uint64
}

// Tracker estimates how often each expert is chosen and proposes changes of the
// map. It is a state machine without I/O.
type Tracker struct {
	rules         TrackerRules
	sets, experts int
	level         [][]float64
	recent        []window
	last          map[int]Sample
	at            time.Time
	changed       time.Time
}

// window is the choices of one interval.
type window struct {
	end   time.Time
	added [][]float64
}

// NewTracker returns a tracker without choices.
func NewTracker(sets, experts int, r TrackerRules) *Tracker {
	return &Tracker{rules: r, sets: sets, experts: experts, level: table(sets, experts), last: map[int]Sample{}}
}

func table(sets, experts int) [][]float64 {
	t := make([][]float64, sets)
	for s := range t {
		t[s] = make([]float64, experts)
	}
	return t
}

// Observe takes in the counts of some ranks.
func (t *Tracker) Observe(samples []Sample, now time.Time) {
	added := table(t.sets, t.experts)
	for _, s := range samples {
		if len(s.Counts) != t.sets*t.experts {
			continue
		}
		if before, ok := t.last[s.Rank]; ok && before.StartedAtMs == s.StartedAtMs {
			t.add(added, before.Counts, s.Counts)
		}
		t.last[s.Rank] = s
	}
	if !t.at.IsZero() {
		keep := math.Exp(-now.Sub(t.at).Seconds() / t.rules.DecayTime.Seconds())
		scale(t.level, keep)
	}
	t.at = now
	sum(t.level, added)
	t.recent = append(t.recent, window{now, added})
	for len(t.recent) > 1 && now.Sub(t.recent[0].end) >= t.rules.ShiftWindow {
		t.recent = t.recent[1:]
	}
	t.noticeShift()
}

// add adds what was chosen between two reports. Counts that have shrunk come
// from a rank that has started anew.
func (t *Tracker) add(added [][]float64, before, after []uint64) {
	for i, n := range after {
		if n < before[i] {
			return
		}
	}
	for i, n := range after {
		added[i/t.experts][i%t.experts] += float64(n - before[i])
	}
}

// noticeShift forgets older choices if the latest differ too much from them.
func (t *Tracker) noticeShift() {
	latest := table(t.sets, t.experts)
	for _, w := range t.recent {
		sum(latest, w.added)
	}
	if total(latest[0]) < t.rules.MinActivations || distance(latest, t.level) < t.rules.ShiftDistance {
		return
	}
	t.level = latest
}

// distance is half the sum of the differences of the shares, averaged over sets:
// 0 for equal demand and 1 for disjoint.
func distance(a, b [][]float64) float64 {
	d := 0.0
	for s := range a {
		x, y := total(a[s]), total(b[s])
		if x == 0 || y == 0 {
			return 0
		}
		for e := range a[s] {
			d += math.Abs(a[s][e]/x - b[s][e]/y)
		}
	}
	return d / 2 / float64(len(a))
}

// Activations returns how many choices of a set the estimate rests on.
func (t *Tracker) Activations() float64 { return total(t.level[0]) }

// Proposal is a change of the map.
type Proposal struct {
	Map [][][]int
	// MaxRankLoad and PlannedMaxRankLoad are the time of a pass before and after, over that of an
	// even load.
	MaxRankLoad, PlannedMaxRankLoad float64
	Copies                          int
}

// Propose returns a better map than the present one, if a change pays.
func (t *Tracker) Propose(present [][][]int, l Limits, now time.Time) (Proposal, bool) {
	if now.Sub(t.changed) < t.rules.MinChangeInterval || t.Activations() < t.rules.MinActivations {
		return Proposal{}, false
	}
	p := Proposal{Map: make([][][]int, len(present))}
	sets := float64(len(present))
	for s, set := range present {
		load := t.level[s]
		next := Rebalance(set, load, l, t.rules.MinGainPerCopy)
		p.MaxRankLoad += Placement(set).MaxRankLoad(load, l) / sets
		p.PlannedMaxRankLoad += next.MaxRankLoad(load, l) / sets
		p.Copies += Placement(set).Copies(next)
		p.Map[s] = next
	}
	return p, p.MaxRankLoad-p.PlannedMaxRankLoad >= t.rules.MinGain
}

// MapChanged tells that the group uses another map since now.
func (t *Tracker) MapChanged(now time.Time) { t.changed = now }

func scale(t [][]float64, by float64) {
	for _, row := range t {
		for i := range row {
			row[i] *= by
		}
	}
}

func sum(to, from [][]float64) {
	for s, row := range from {
		for e, n := range row {
			to[s][e] += n
		}
	}
}

func total(row []float64) float64 {
	n := 0.0
	for _, w := range row {
		n += w
	}
	return n
}
