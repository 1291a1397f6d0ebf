package plan

import (
	"slices"
	"time"
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
	// CopyTime is the time in which a rank copies one expert, and SwitchTime the time
	// from when all ranks have their copies until the map is in use. If CopyTime is 0,
	// it is not known, and all copies are made in one step.
	CopyTime, SwitchTime time.Duration
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
// loads. Each change must lower the maximum time of the ranks that it affects by
// more than minGainPerCopy times the mean load for each expert copy.
func Rebalance(current Placement, load []float64, l Limits, minGainPerCopy float64) Placement {
	s := newSetState(current, load, l)
	s.current = current
	mean := s.meanLoad()
	if mean == 0 {
		return current
	}
	// Each iteration lowers the time of the slowest rank or ends the search.
	for range 4 * len(current) * l.SlotsPerRank {
		c, _, ok := s.bestChange(minGainPerCopy * mean)
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
	current   Placement // at the start of the search
	placement Placement // with the changes so far
	rankTimes []float64 // time of each rank
	holders   [][]int   // ranks of each expert
	shifts    loadShifts
	// copiesLeft returns how many more copies a rank may make; nil if only limits
	// restricts them.
	copiesLeft func(rank int) int
}

func newSetState(p Placement, load []float64, l Limits) *setState {
	s := &setState{limits: l, load: load, current: p, placement: make(Placement, len(p)), rankTimes: make([]float64, len(p)), holders: make([][]int, len(load)), shifts: newLoadShifts(len(p))}
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

// change adds an expert to a rank, which may drop another one for it. In a
// swap, fromRank loses the expert and gets the dropped one.
type change struct {
	fromRank, toRank int // fromRank is -1 unless the change is a swap
	expert, drop     int // drop is -1 if a free slot is used
	copies           int
}

// newExperts returns the number of experts that a rank has in the new placement
// but not in the current one.
func (s *setState) newExperts(r int) int {
	n := 0
	for _, e := range s.placement[r] {
		if !slices.Contains(s.current[r], e) {
			n++
		}
	}
	return n
}

// bestChange returns the change that takes load from the slowest rank and has
// the largest gain for each copy; a change without copies counts as one copy.
// The gain is the reduction of the maximum time among the ranks that the change
// affects. If several ranks are equally slow, a change that relieves only one of
// them therefore counts, although the maximum over all ranks stays the same.
func (s *setState) bestChange(gainPerCopy float64) (best change, gain float64, ok bool) {
	slowest := 0
	for r, w := range s.rankTimes {
		if w > s.rankTimes[slowest] {
			slowest = r
		}
	}
	consider := func(c change) {
		before, after := s.maxTimes(c)
		if before-after <= gainPerCopy*float64(c.copies) {
			return
		}
		if g := (before - after) / float64(max(1, c.copies)); g > gain {
			best, gain, ok = c, g, true
		}
	}
	room := make([]int, len(s.placement))
	for r := range s.placement {
		room[r] = s.limits.NewPerRank - s.newExperts(r)
		if s.copiesLeft != nil {
			room[r] = min(room[r], s.copiesLeft(r))
		}
	}
	for _, e := range s.placement[slowest] {
		for to := range s.placement {
			if to == slowest || slices.Contains(s.placement[to], e) {
				continue
			}
			s.considerChanges(slowest, to, e, room, consider)
		}
	}
	return best, gain, ok
}

// considerChanges passes to consider all changes that give expert e of the
// slowest rank to another rank within the limits: as a further replica in a free
// slot, as a further replica in place of an expert that has other replicas, or
// in a swap. room is the number of copies that each rank may still make.
func (s *setState) considerChanges(slowest, to, e int, room []int, consider func(change)) {
	copies := s.copiesFor(to, e)
	if len(s.placement[to]) < s.limits.SlotsPerRank && copies <= room[to] {
		consider(change{fromRank: -1, toRank: to, expert: e, drop: -1, copies: copies})
	}
	for _, other := range s.placement[to] {
		if copies > room[to]+s.copiesFor(to, other) {
			continue
		}
		if len(s.holders[other]) > 1 {
			consider(change{fromRank: -1, toRank: to, expert: e, drop: other, copies: copies})
		}
		if slices.Contains(s.placement[slowest], other) {
			continue
		}
		copiesBack := s.copiesFor(slowest, other)
		if copiesBack <= room[slowest]+s.copiesFor(slowest, e) {
			consider(change{fromRank: slowest, toRank: to, expert: e, drop: other, copies: copies + copiesBack})
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

// freedCopies returns the number of copies that a rank does not make if it drops an
// expert; -1 stands for none.
func (s *setState) freedCopies(r, e int) int {
	if e < 0 {
		return 0
	}
	return s.copiesFor(r, e)
}

// maxTimes returns the maximum time of the ranks that a change affects, before
// and after it.
func (s *setState) maxTimes(c change) (before, after float64) {
	s.shifts.clear()
	s.addLoadShift(c.expert, c.fromRank, c.toRank)
	if c.drop >= 0 {
		s.addLoadShift(c.drop, c.toRank, c.fromRank)
	}
	for _, r := range s.shifts.ranks {
		before = max(before, s.rankTimes[r])
		after = max(after, s.rankTimes[r]+s.shifts.byRank[r]*s.limits.slowdown(r))
	}
	return before, after
}

// loadShifts holds by how much a change shifts the load of each rank. A search
// evaluates very many changes, each of which affects a few of the ranks.
type loadShifts struct {
	byRank   []float64
	affected []bool
	ranks    []int // the affected ones
}

func newLoadShifts(ranks int) loadShifts {
	return loadShifts{byRank: make([]float64, ranks), affected: make([]bool, ranks)}
}

func (l *loadShifts) clear() {
	for _, r := range l.ranks {
		l.byRank[r], l.affected[r] = 0, false
	}
	l.ranks = l.ranks[:0]
}

func (l *loadShifts) add(r int, load float64) {
	if !l.affected[r] {
		l.affected[r] = true
		l.ranks = append(l.ranks, r)
	}
	l.byRank[r] += load
}

// addLoadShift adds the change of each rank's load if one replica of e
// moves between two ranks; -1 stands for no rank, so that a replica is added or
// removed.
func (s *setState) addLoadShift(e, from, to int) {
	replicasBefore := float64(len(s.holders[e]))
	if from >= 0 && to >= 0 {
		s.shifts.add(from, -s.load[e]/replicasBefore)
		s.shifts.add(to, s.load[e]/replicasBefore)
		return
	}
	replicasAfter := replicasBefore + 1
	if to < 0 {
		replicasAfter = replicasBefore - 1
	}
	for _, r := range s.holders[e] {
		if r != from {
			s.shifts.add(r, s.load[e]/replicasAfter-s.load[e]/replicasBefore)
		}
	}
	if from >= 0 {
		s.shifts.add(from, -s.load[e]/replicasBefore)
	}
	if to >= 0 {
		s.shifts.add(to, s.load[e]/replicasAfter)
	}
}

func (s *setState) apply(c change) {
	s.replaceExpert(c.toRank, c.drop, c.expert)
	if c.fromRank >= 0 {
		s.replaceExpert(c.fromRank, c.expert, c.drop)
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
