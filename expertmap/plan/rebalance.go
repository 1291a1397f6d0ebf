package plan

import (
	"slices"
)

// Limits restrict one change of a map in which ranks may hold different numbers
// of experts.
type Limits struct {
	// SlotsPerRank is the maximum number of experts that a rank holds in one
	// set.
	SlotsPerRank int
	// NewPerRank is the maximum number of experts in one set that are new to a
	// rank.
	NewPerRank int
	// Slowdowns are the slowdown factors of the ranks; 1 is normal. Ranks
	// without an entry count as normal.
	Slowdowns []float64
}

func (l Limits) slowdown(rank int) float64 {
	if rank >= len(l.Slowdowns) {
		return 1
	}
	return l.Slowdowns[rank]
}

// Placement lists the experts of every rank in one set.
type Placement [][]int

// MaxRankLoad returns the time of the slowest rank relative to the mean load.
func (p Placement) MaxRankLoad(load []float64, l Limits) float64 {
	s := newSetState(p, load, l)
	mean := s.meanLoad()
	if mean == 0 {
		return 1
	}
	return slices.Max(s.rankTimes) / mean
}

// Copies returns the number of expert copies: experts in next that are new to
// their ranks.
func (p Placement) Copies(next Placement) int {
	n := 0
	for r := range next {
		for _, e := range next[r] {
			if !slices.Contains(p[r], e) {
				n++
			}
		}
	}
	return n
}

// Rebalance returns a placement with a lower maximum rank load under the given
// loads. Each change must lower the maximum by at least minGainPerCopy times
// the mean load for each expert copy.
func Rebalance(current Placement, load []float64, l Limits, minGainPerCopy float64) Placement {
	s := newSetState(current, load, l)
	s.current = current
	mean := s.meanLoad()
	if mean == 0 {
		return current
	}
	// Each iteration lowers the load of the slowest rank or ends the search.
	for range 4 * len(current) * l.SlotsPerRank {
		c, ok := s.bestChange(minGainPerCopy * mean)
		if !ok {
			break
		}
		s.apply(c)
	}
	return s.placement
}

// setState is the state of a local search in one set.
type setState struct {
	limits    Limits
	load      []float64
	current   Placement
	placement Placement
	rankTimes []float64 // time of each rank
	holders   [][]int   // ranks of each expert
}

func newSetState(p Placement, load []float64, l Limits) *setState {
	s := &setState{limits: l, load: load, current: p, placement: make(Placement, len(p)), rankTimes: make([]float64, len(p)), holders: make([][]int, len(load))}
	for r, experts := range p {
		s.placement[r] = slices.Clone(experts)
		for _, e := range experts {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	s.computeTimes()
	return s
}

// computeTimes computes the time of every rank from the loads of its experts.
func (s *setState) computeTimes() {
	clear(s.rankTimes)
	for e, ranks := range s.holders {
		for _, r := range ranks {
			s.rankTimes[r] += s.load[e] / float64(len(ranks)) * s.limits.slowdown(r)
		}
	}
}

// meanLoad returns the mean load of the ranks.
func (s *setState) meanLoad() float64 {
	total := 0.0
	for e, ranks := range s.holders {
		if len(ranks) > 0 {
			total += s.load[e]
		}
	}
	return total / float64(len(s.rankTimes))
}

// change adds an expert to rank to, which may drop another one. In a swap, from
// is the rank that gives up the expert and gets the dropped one.
type change struct {
	from, to     int // from is -1 unless the change is a swap
	expert, drop int // drop is -1 if rank to has a free slot
	copies       int
}

// newExperts returns the number of experts of a rank that are new to it.
func (s *setState) newExperts(r int) int {
	n := 0
	for _, e := range s.placement[r] {
		if !slices.Contains(s.current[r], e) {
			n++
		}
	}
	return n
}

// bestChange returns the change that takes load from the slowest rank with the
// largest gain for each copy. The gain is the fall of the maximum time among
// the ranks that the change affects, so that a change also counts if it helps
// only one of several equally slow ranks.
func (s *setState) bestChange(gainPerCopy float64) (change, bool) {
	slowest := 0
	for r, w := range s.rankTimes {
		if w > s.rankTimes[slowest] {
			slowest = r
		}
	}
	var found change
	score, ok := 0.0, false
	consider := func(c change) {
		before, after := s.maxTimes(c)
		if before-after <= gainPerCopy*float64(c.copies) {
			return
		}
		if v := (before - after) / float64(max(1, c.copies)); v > score {
			found, score, ok = c, v, true
		}
	}
	newByRank := make([]int, len(s.placement))
	for r := range s.placement {
		newByRank[r] = s.newExperts(r)
	}
	for _, e := range s.placement[slowest] {
		for to := range s.placement {
			if to == slowest || slices.Contains(s.placement[to], e) {
				continue
			}
			s.considerChanges(slowest, to, e, newByRank, consider)
		}
	}
	return found, ok
}

func (s *setState) considerChanges(slowest, to, e int, newByRank []int, consider func(change)) {
	copies := s.copiesFor(to, e)
	if len(s.placement[to]) < s.limits.SlotsPerRank && newByRank[to]+copies <= s.limits.NewPerRank {
		consider(change{from: -1, to: to, expert: e, drop: -1, copies: copies})
	}
	for _, f := range s.placement[to] {
		freed := s.copiesFor(to, f)
		if newByRank[to]-freed+copies > s.limits.NewPerRank {
			continue
		}
		if len(s.holders[f]) > 1 {
			consider(change{from: -1, to: to, expert: e, drop: f, copies: copies})
		}
		if slices.Contains(s.placement[slowest], f) {
			continue
		}
		copiesBack := s.copiesFor(slowest, f)
		if newByRank[slowest]-s.copiesFor(slowest, e)+copiesBack <= s.limits.NewPerRank {
			consider(change{from: slowest, to: to, expert: e, drop: f, copies: copies + copiesBack})
		}
	}
}

// copiesFor returns the number of copies that giving the expert to the rank
// takes: 0 if the rank holds it in the current placement, otherwise 1.
func (s *setState) copiesFor(r, e int) int {
	if slices.Contains(s.current[r], e) {
		return 0
	}
	return 1
}

// maxTimes returns the maximum time of the ranks that a change affects, before
// and after it.
func (s *setState) maxTimes(c change) (before, after float64) {
	delta := map[int]float64{}
	s.addLoadShift(delta, c.expert, c.from, c.to)
	if c.drop >= 0 {
		if c.from >= 0 {
			s.addLoadShift(delta, c.drop, c.to, c.from)
		} else {
			s.addLoadShift(delta, c.drop, c.to, -1)
		}
	}
	for r, w := range s.rankTimes {
		d, touched := delta[r]
		if !touched {
			continue
		}
		d *= s.limits.slowdown(r)
		before = max(before, w)
		after = max(after, w+d)
	}
	return before, after
}

// addLoadShift adds to delta the change of each rank's load if one replica of e
// moves between two ranks; -1 stands for no rank, so that a replica is added or
// removed.
func (s *setState) addLoadShift(delta map[int]float64, e, from, to int) {
	n := float64(len(s.holders[e]))
	if from >= 0 && to >= 0 {
		delta[from] -= s.load[e] / n
		delta[to] += s.load[e] / n
		return
	}
	m := n + 1
	if to < 0 {
		m = n - 1
	}
	for _, r := range s.holders[e] {
		if r != from {
			delta[r] += s.load[e]/m - s.load[e]/n
		}
	}
	if from >= 0 {
		delta[from] -= s.load[e] / n
	}
	if to >= 0 {
		delta[to] += s.load[e] / m
	}
}

func (s *setState) apply(c change) {
	s.replaceExpert(c.to, c.drop, c.expert)
	if c.from >= 0 {
		s.replaceExpert(c.from, c.expert, c.drop)
	}
	s.computeTimes()
}

// replaceExpert removes an expert from a rank and adds another; -1 stands for
// none.
func (s *setState) replaceExpert(r, remove, add int) {
	if i := slices.Index(s.placement[r], remove); i >= 0 {
		s.placement[r] = slices.Delete(s.placement[r], i, i+1)
		h := slices.Index(s.holders[remove], r)
		s.holders[remove] = slices.Delete(s.holders[remove], h, h+1)
	}
	if add >= 0 {
		s.placement[r] = append(s.placement[r], add)
		s.holders[add] = append(s.holders[add], r)
	}
}
