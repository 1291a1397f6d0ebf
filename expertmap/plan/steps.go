package plan

import (
	"slices"
	"time"
)

// The load that steps answer: the expert load of a group shifts every few seconds, and
// copying all experts that the new load asks for takes a large part of that time. The
// rank that copies most decides when the group can switch. A first step of the copies
// that bring most, few for each rank, is in use after a fraction of that time, and the
// rest follows in the next one.

const (
	// quickCopyTime is the time in which the copies of a quick step are made.
	quickCopyTime = 250 * time.Millisecond
	// mediumFactor is how many times the copies of a quick step a medium one makes.
	mediumFactor = 3
	// usualShiftInterval is the time between two shifts of the load until some are
	// known, and minShiftInterval and maxShiftInterval the bounds of what is learned.
	usualShiftInterval = 3 * time.Second
	minShiftInterval   = 1500 * time.Millisecond
	maxShiftInterval   = 10 * time.Second
	// shiftIntervalWeight is the weight of the latest interval between shifts.
	shiftIntervalWeight = 0.3
)

// step is a proposal with the number of copies of the rank that makes most.
type step struct {
	Proposal
	mostCopies int
}

// proposeSteps returns the best first step towards a map for the loads.
func (t *Tracker) proposeSteps(current [][][]int, l Limits) Proposal {
	quick := max(1, int(quickCopyTime/l.CopyTime))
	full := t.propose(current, l, t.sets*l.NewPerRank)
	best, bestCost := full, t.cost(full, full, l)
	for _, copies := range []int{quick, mediumFactor * quick} {
		if copies >= full.mostCopies {
			break
		}
		s := t.propose(current, l, copies)
		if cost := t.cost(s, full, l); cost < bestCost && s.MaxRankLoad-s.PlannedMaxRankLoad >= t.rules.MinGain {
			best, bestCost = s, cost
		}
	}
	return best.Proposal
}

// cost returns the sum over time of the maximum rank load until the next shift of the
// load, if a step is made and the rest of the full change follows.
func (t *Tracker) cost(s, full step, l Limits) float64 {
	left := t.shiftInterval.Seconds()
	sum := 0.0
	spend := func(d time.Duration, load float64) {
		span := min(left, d.Seconds())
		left -= span
		sum += span * load
	}
	spend(l.stepTime(s.mostCopies), s.MaxRankLoad)
	if s.mostCopies < full.mostCopies {
		spend(l.stepTime(full.mostCopies-s.mostCopies), s.PlannedMaxRankLoad)
	}
	return sum + left*full.PlannedMaxRankLoad
}

// stepTime returns the time from a plan until its map is in use.
func (l Limits) stepTime(mostCopies int) time.Duration {
	return l.SwitchTime + time.Duration(mostCopies)*l.CopyTime
}

// propose plans a change in which no rank makes more than maxCopies copies.
func (t *Tracker) propose(current [][][]int, l Limits, maxCopies int) step {
	search := newSetsSearch(current, t.activations, l, maxCopies)
	search.run(t.rules.MinGainPerCopy)
	s := step{Proposal: Proposal{Map: make([][][]int, len(current))}}
	sets := float64(len(current))
	for i, set := range current {
		next := search.sets[i].placement
		s.MaxRankLoad += Placement(set).MaxRankLoad(t.activations[i], l) / sets
		s.PlannedMaxRankLoad += next.MaxRankLoad(t.activations[i], l) / sets
		s.Copies += Placement(set).Copies(next)
		s.Map[i] = next
	}
	s.mostCopies = slices.Max(search.copies)
	return s
}

// setsSearch is a local search in all sets together, which share the copies that each
// rank may make.
type setsSearch struct {
	sets      []*setState
	means     []float64
	copies    []int // of each rank, in all sets
	maxCopies int
	best      []setChange // the best change of each set
}

// setChange is a change of one set with its gain for each copy, relative to the mean
// load of the set.
type setChange struct {
	change
	gain float64
	ok   bool
}

func newSetsSearch(current [][][]int, loads [][]float64, l Limits, maxCopies int) *setsSearch {
	s := &setsSearch{maxCopies: maxCopies, copies: make([]int, len(current[0]))}
	for i, set := range current {
		st := newSetState(set, loads[i], l)
		st.current = set
		st.copiesLeft = s.copiesLeft
		s.sets = append(s.sets, st)
		s.means = append(s.means, st.meanLoad())
	}
	s.best = make([]setChange, len(s.sets))
	return s
}

// copiesLeft returns how many more copies a rank may make.
func (s *setsSearch) copiesLeft(rank int) int { return s.maxCopies - s.copies[rank] }

// run makes the changes of all sets, the one with the largest gain for each copy first,
// until none gains more than minGainPerCopy.
func (s *setsSearch) run(minGainPerCopy float64) {
	for i := range s.sets {
		s.find(i, minGainPerCopy)
	}
	limit := 4 * len(s.sets) * len(s.copies) * s.sets[0].limits.SlotsPerRank
	for range limit {
		i := s.bestSet()
		if i < 0 {
			return
		}
		if !s.fits(i) { // another set has used up the copies of a rank
			s.find(i, minGainPerCopy)
			continue
		}
		s.apply(i)
		s.find(i, minGainPerCopy)
	}
}

func (s *setsSearch) find(i int, minGainPerCopy float64) {
	if s.means[i] == 0 {
		s.best[i] = setChange{}
		return
	}
	c, gain, ok := s.sets[i].bestChange(minGainPerCopy * s.means[i])
	s.best[i] = setChange{change: c, gain: gain / s.means[i], ok: ok}
}

func (s *setsSearch) bestSet() int {
	best := -1
	for i, c := range s.best {
		if c.ok && (best < 0 || c.gain > s.best[best].gain) {
			best = i
		}
	}
	return best
}

// fits reports whether the ranks may still make the copies of the best change of a set.
func (s *setsSearch) fits(i int) bool {
	c, st := s.best[i].change, s.sets[i]
	if st.copiesFor(c.toRank, c.expert) > s.copiesLeft(c.toRank)+st.freedCopies(c.toRank, c.drop) {
		return false
	}
	return c.fromRank < 0 || st.copiesFor(c.fromRank, c.drop) <= s.copiesLeft(c.fromRank)+st.freedCopies(c.fromRank, c.expert)
}

// apply makes the best change of a set.
func (s *setsSearch) apply(i int) {
	st, c := s.sets[i], s.best[i].change
	ranks := []int{c.toRank}
	if c.fromRank >= 0 {
		ranks = append(ranks, c.fromRank)
	}
	for _, r := range ranks {
		s.copies[r] -= st.newExperts(r)
	}
	st.apply(c)
	for _, r := range ranks {
		s.copies[r] += st.newExperts(r)
	}
}
