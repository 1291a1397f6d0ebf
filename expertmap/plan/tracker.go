package plan

import (
	"math"
	"time"
)

// TrackerRules control how a Tracker follows the expert load and when it
// proposes a change of the map.
type TrackerRules struct {
	// DecayTime is the age at which an activation counts 1/e, about a third,
	// while the load is steady.
	DecayTime time.Duration
	// ShiftWindow is the span of the latest activations that are compared with
	// the earlier ones. If the shares of the experts differ by more than
	// ShiftDistance, the earlier activations are discarded.
	ShiftWindow   time.Duration
	ShiftDistance float64
	// ShiftNoiseRatio is how many times the usual distance also counts as a shift,
	// from MinShiftDistance on, if it lasts for a ShiftWindow. The latest requests of a
	// large group differ little from the earlier ones unless the load has shifted.
	ShiftNoiseRatio, MinShiftDistance float64
	// MinActivations is the number of activations in each set that a proposal
	// needs.
	MinActivations float64
	// MinGain is the amount by which a change must lower the time of a forward
	// pass, relative to the time under an even load.
	MinGain float64
	// MinGainPerCopy is the share of the mean load by which the maximum rank
	// load of a set must fall for each expert copy.
	MinGainPerCopy float64
	// MinChangeInterval is the minimum time between two changes.
	MinChangeInterval time.Duration
}

// DefaultTrackerRules are meant for groups whose expert load shifts every few
// seconds.
var DefaultTrackerRules = TrackerRules{
	DecayTime: 6 * time.Second, ShiftWindow: 200 * time.Millisecond, ShiftDistance: 0.2,
	ShiftNoiseRatio: 3, MinShiftDistance: 0.04,
	MinActivations: 3000, MinGain: 0.15, MinGainPerCopy: 0.10, MinChangeInterval: 200 * time.Millisecond,
}

// Sample holds the activations of every expert that one rank has counted since
// its start, one set after another.
type Sample struct {
	Rank        int
	StartedAtMs int64
	Counts      []uint64
}

// Tracker estimates the activations of each expert and proposes changes of the
// map. It does no I/O and reads no clock.
type Tracker struct {
	rules         TrackerRules
	sets, experts int
	activations   [][]float64    // by set and expert; older ones count less
	recent        []interval     // intervals of the last ShiftWindow
	lastSample    map[int]Sample // by rank
	observedAt    time.Time
	changedAt     time.Time
	// usualDistance is the moving average of the distances without a shift, and
	// distances the number of them. differsSince is since when the distance has been
	// unusual; zero if it is not.
	usualDistance float64
	distances     int
	differsSince  time.Time
	// shiftedAt is when the load was last found to have shifted, and shiftInterval the
	// usual time between two shifts.
	shiftedAt     time.Time
	shiftInterval time.Duration
}

// interval holds the activations between two observations.
type interval struct {
	end   time.Time
	added [][]float64
}

// NewTracker returns a tracker that has observed no activations.
func NewTracker(sets, experts int, r TrackerRules) *Tracker {
	return &Tracker{rules: r, sets: sets, experts: experts, activations: newTable(sets, experts), lastSample: map[int]Sample{}, shiftInterval: usualShiftInterval}
}

func newTable(sets, experts int) [][]float64 {
	t := make([][]float64, sets)
	for s := range t {
		t[s] = make([]float64, experts)
	}
	return t
}

// Observe adds the counts of some ranks.
func (t *Tracker) Observe(samples []Sample, now time.Time) {
	added := newTable(t.sets, t.experts)
	for _, s := range samples {
		if len(s.Counts) != t.sets*t.experts {
			continue
		}
		if before, ok := t.lastSample[s.Rank]; ok && before.StartedAtMs == s.StartedAtMs {
			t.addDifference(added, before.Counts, s.Counts)
		}
		t.lastSample[s.Rank] = s
	}
	if !t.observedAt.IsZero() {
		decay := math.Exp(-now.Sub(t.observedAt).Seconds() / t.rules.DecayTime.Seconds())
		scaleTable(t.activations, decay)
	}
	t.observedAt = now
	addTable(t.activations, added)
	t.recent = append(t.recent, interval{now, added})
	for len(t.recent) > 1 && now.Sub(t.recent[0].end) >= t.rules.ShiftWindow {
		t.recent = t.recent[1:]
	}
	t.detectShift(now)
}

// addDifference adds the activations between two samples of a rank. If a count
// has decreased, the rank has restarted and nothing is added.
func (t *Tracker) addDifference(added [][]float64, before, after []uint64) {
	for i, n := range after {
		if n < before[i] {
			return
		}
	}
	for i, n := range after {
		added[i/t.experts][i%t.experts] += float64(n - before[i])
	}
}

const (
	// usualDistanceWeight is the weight of the latest distance in the usual one.
	usualDistanceWeight = 0.1
	// minDistances is the number of distances from which on the usual one is known.
	minDistances = 5
)

// detectShift discards the earlier activations if the latest ones differ too
// much from them.
func (t *Tracker) detectShift(now time.Time) {
	latest := t.latest()
	if minTotal(latest) < t.rules.MinActivations {
		return
	}
	distance := shareDistance(latest, t.activations)
	if distance < t.shiftThreshold() {
		t.differsSince = time.Time{}
		t.usualDistance += usualDistanceWeight * (distance - t.usualDistance)
		t.distances++
		return
	}
	if t.differsSince.IsZero() {
		t.differsSince = now // the interval that ends now may be a mixture of both loads
		return
	}
	shifted := t.since(t.differsSince)
	if minTotal(shifted) < t.rules.MinActivations || distance < t.rules.ShiftDistance && now.Sub(t.differsSince) < t.rules.ShiftWindow {
		return
	}
	t.activations, t.differsSince = shifted, time.Time{}
	t.recordShift(now)
}

// latest returns the activations of the last intervals: of as few as hold enough of them,
// so that a shift is not hidden by what was before it.
func (t *Tracker) latest() [][]float64 {
	sum := newTable(t.sets, t.experts)
	for i := len(t.recent) - 1; i >= 0 && minTotal(sum) < t.rules.MinActivations; i-- {
		addTable(sum, t.recent[i].added)
	}
	return sum
}

// since returns the activations of the intervals of the last ShiftWindow that began at
// a time or later.
func (t *Tracker) since(begin time.Time) [][]float64 {
	sum := newTable(t.sets, t.experts)
	for _, w := range t.recent {
		if w.end.After(begin) {
			addTable(sum, w.added)
		}
	}
	return sum
}

// recordShift records that the load has shifted.
func (t *Tracker) recordShift(now time.Time) {
	if !t.shiftedAt.IsZero() {
		interval := min(maxShiftInterval, max(minShiftInterval, now.Sub(t.shiftedAt)))
		t.shiftInterval += time.Duration(shiftIntervalWeight * float64(interval-t.shiftInterval))
	}
	t.shiftedAt = now
}

// Shifting reports whether the latest load differs from the earlier one, but it is not
// certain yet that it has shifted.
func (t *Tracker) Shifting() bool { return !t.differsSince.IsZero() }

// shiftThreshold returns the distance from which on the load may have shifted.
func (t *Tracker) shiftThreshold() float64 {
	if t.distances < minDistances {
		return t.rules.ShiftDistance
	}
	return min(t.rules.ShiftDistance, max(t.rules.MinShiftDistance, t.rules.ShiftNoiseRatio*t.usualDistance))
}

// shareDistance returns half the sum of the differences of the experts' shares,
// averaged over sets: 0 for equal loads and 1 for disjoint ones. It returns 0
// if a set has no activations.
func shareDistance(a, b [][]float64) float64 {
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

// Activations returns the number of activations on which the estimate is based, in
// the set with the fewest.
func (t *Tracker) Activations() float64 { return minTotal(t.activations) }

// Imbalance returns the load of the most loaded rank relative to the mean, with a map
// and the load of the last ShiftWindow. If that is too little to tell, it uses the load
// on which the estimate is based; it returns 1 if there is none.
func (t *Tracker) Imbalance(current [][][]int, l Limits) float64 {
	latest := t.since(time.Time{})
	if minTotal(latest) < t.rules.MinActivations {
		latest = t.activations
	}
	imbalance := 0.0
	for s, set := range current {
		imbalance += Placement(set).MaxRankLoad(latest[s], l) / float64(len(current))
	}
	return imbalance
}

// Proposal is a proposed change of the map.
type Proposal struct {
	Map [][][]int
	// MaxRankLoad and PlannedMaxRankLoad are the times of a forward pass before
	// and after the change, relative to the time under an even load.
	MaxRankLoad, PlannedMaxRankLoad float64
	Copies                          int
}

// Propose returns a better map than the current one, and whether the change is
// worth its cost. While the load shifts, it proposes nothing: a map for a mixture of both
// loads would delay the one for the new load.
func (t *Tracker) Propose(current [][][]int, l Limits, now time.Time) (Proposal, bool) {
	if now.Sub(t.changedAt) < t.rules.MinChangeInterval || t.Activations() < t.rules.MinActivations || t.Shifting() {
		return Proposal{}, false
	}
	proposal := t.proposeOnce(current, l)
	if l.CopyTime > 0 {
		proposal = t.proposeSteps(current, l)
	}
	return proposal, proposal.MaxRankLoad-proposal.PlannedMaxRankLoad >= t.rules.MinGain
}

// proposeOnce plans a change with all copies in one step, each set for itself.
func (t *Tracker) proposeOnce(current [][][]int, l Limits) Proposal {
	proposal := Proposal{Map: make([][][]int, len(current))}
	sets := float64(len(current))
	for s, set := range current {
		load := t.activations[s]
		next := Rebalance(set, load, l, t.rules.MinGainPerCopy)
		proposal.MaxRankLoad += Placement(set).MaxRankLoad(load, l) / sets
		proposal.PlannedMaxRankLoad += next.MaxRankLoad(load, l) / sets
		proposal.Copies += Placement(set).Copies(next)
		proposal.Map[s] = next
	}
	return proposal
}

// MapChanged records that the group has used another map since now.
func (t *Tracker) MapChanged(now time.Time) { t.changedAt = now }

func scaleTable(t [][]float64, by float64) {
	for _, row := range t {
		for i := range row {
			row[i] *= by
		}
	}
}

func addTable(to, from [][]float64) {
	for s, row := range from {
		for e, n := range row {
			to[s][e] += n
		}
	}
}

// minTotal returns the total of the set with the fewest activations.
func minTotal(t [][]float64) float64 {
	n := total(t[0])
	for _, row := range t[1:] {
		n = min(n, total(row))
	}
	return n
}

func total(row []float64) float64 {
	n := 0.0
	for _, w := range row {
		n += w
	}
	return n
}
