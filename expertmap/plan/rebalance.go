package plan

import (
	"slices"
)

// Limits bound one change of a map whose ranks may hold different numbers of
// experts.
type Limits struct {
	// SlotsPerRank is the most experts that a rank may hold in one set.
	SlotsPerRank int
	// NewPerRank is the most experts in one set that may be new to a rank.
	NewPerRank int
	// Slowdowns is how many times longer than usual each rank works; nil means
	// that all work as usual.
	Slowdowns []float64
}

func (l Limits) slowness(rank int) float64 {
	if rank >= len(l.Slowdowns) {
		return 1
	}
	return l.Slowdowns[rank]
}

// Placement is the experts of every rank in one set.
type Placement [][]int

// MaxRankLoad returns the time of the slowest rank over the mean load.
func (p Placement) MaxRankLoad(load []float64, l Limits) float64 {
	s := newSetState(p, load, l)
	mean := s.mean()
	if mean == 0 {
		return 1
	}
	return slices.Max(s.sums) / mean
}

// Copies returns the number of experts that are new to their ranks.
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

// Rebalance returns a placement with a lower peak under the given loads. A
// change must lower the peak by at least price times the mean for each expert
// that it copies.
func Rebalance(present Placement, load []float64, l Limits, price float64) Placement {
	s := newSetState(present, load, l)
	s.present = present
	mean := s.mean()
	if mean == 0 {
		return present
	}
	// Each round lowers the peak or ends the search.
	for range 4 * len(present) * l.SlotsPerRank {
		c, ok := s.best(price * mean)
		if !ok {
			break
		}
		s.do(c)
	}
	return s.ranks
}

// setState is one set under local search.
type setState struct {
	limits  Limits
	load    []float64
	present Placement
	ranks   Placement
	sums    []float64 // time of each rank
	holders [][]int   // ranks by expert
}

func newSetState(p Placement, load []float64, l Limits) *setState {
	s := &setState{limits: l, load: load, present: p, ranks: make(Placement, len(p)), sums: make([]float64, len(p)), holders: make([][]int, len(load))}
	for r, experts := range p {
		s.ranks[r] = slices.Clone(experts)
		for _, e := range experts {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	s.add()
	return s
}

// add computes the time of every rank from the loads of its experts.
func (s *setState) add() {
	clear(s.sums)
	for e, ranks := range s.holders {
		for _, r := range ranks {
			s.sums[r] += s.load[e] / float64(len(ranks)) * s.limits.slowness(r)
		}
	}
}

// mean returns the mean load of the ranks.
func (s *setState) mean() float64 {
	total := 0.0
	for e, ranks := range s.holders {
		if len(ranks) > 0 {
			total += s.load[e]
		}
	}
	return total / float64(len(s.sums))
}

// change gives an expert to a rank, and may take another from it. With swap,
// the first rank gets the other expert in exchange.
type change struct {
	from, to     int // from is -1 unless swap
	expert, drop int // drop is -1 if the rank has a free place
	copies       int
}

// spares returns how many experts of a rank are new to it.
func (s *setState) spares(r int) int {
	n := 0
	for _, e := range s.ranks[r] {
		if !slices.Contains(s.present[r], e) {
			n++
		}
	}
	return n
}

// best returns the change of the hottest rank that lowers the energy most for
// each copy. The energy is a high power of the loads, so that a change counts
// that helps one of several equally hot ranks.
func (s *setState) best(gain float64) (change, bool) {
	hot := 0
	for r, w := range s.sums {
		if w > s.sums[hot] {
			hot = r
		}
	}
	var found change
	score, ok := 0.0, false
	consider := func(c change) {
		before, after := s.effect(c)
		if before-after <= gain*float64(c.copies) {
			return
		}
		if v := (before - after) / float64(max(1, c.copies)); v > score {
			found, score, ok = c, v, true
		}
	}
	spares := make([]int, len(s.ranks))
	for r := range s.ranks {
		spares[r] = s.spares(r)
	}
	for _, e := range s.ranks[hot] {
		for to := range s.ranks {
			if to == hot || slices.Contains(s.ranks[to], e) {
				continue
			}
			s.changesTo(hot, to, e, spares, consider)
		}
	}
	return found, ok
}

func (s *setState) changesTo(hot, to, e int, spares []int, consider func(change)) {
	cost := s.newTo(to, e)
	if len(s.ranks[to]) < s.limits.SlotsPerRank && spares[to]+cost <= s.limits.NewPerRank {
		consider(change{from: -1, to: to, expert: e, drop: -1, copies: cost})
	}
	for _, f := range s.ranks[to] {
		freed := s.newTo(to, f)
		if spares[to]-freed+cost > s.limits.NewPerRank {
			continue
		}
		if len(s.holders[f]) > 1 {
			consider(change{from: -1, to: to, expert: e, drop: f, copies: cost})
		}
		if slices.Contains(s.ranks[hot], f) {
			continue
		}
		back := s.newTo(hot, f)
		if spares[hot]-s.newTo(hot, e)+back <= s.limits.NewPerRank {
			consider(change{from: hot, to: to, expert: e, drop: f, copies: cost + back})
		}
	}
}

// newTo returns 1 if the expert is not in the rank's present map.
func (s *setState) newTo(r, e int) int {
	if slices.Contains(s.present[r], e) {
		return 0
	}
	return 1
}

// effect returns the peak of the ranks that a change touches, before and after.
func (s *setState) effect(c change) (before, after float64) {
	delta := map[int]float64{}
	s.shift(delta, c.expert, c.from, c.to)
	if c.drop >= 0 {
		if c.from >= 0 {
			s.shift(delta, c.drop, c.to, c.from)
		} else {
			s.shift(delta, c.drop, c.to, -1)
		}
	}
	for r, w := range s.sums {
		d, touched := delta[r]
		if !touched {
			continue
		}
		d *= s.limits.slowness(r)
		before = max(before, w)
		after = max(after, w+d)
	}
	return before, after
}

// shift adds to delta what it means that one holder of e goes from a rank to
// another; -1 stands for no rank.
func (s *setState) shift(delta map[int]float64, e, from, to int) {
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

func (s *setState) do(c change) {
	s.replace(c.to, c.drop, c.expert)
	if c.from >= 0 {
		s.replace(c.from, c.expert, c.drop)
	}
	s.add()
}

// replace takes an expert from a rank and gives it another; -1 is none.
func (s *setState) replace(r, out, in int) {
	if i := slices.Index(s.ranks[r], out); i >= 0 {
		s.ranks[r] = slices.Delete(s.ranks[r], i, i+1)
		h := slices.Index(s.holders[out], r)
		s.holders[out] = slices.Delete(s.holders[out], h, h+1)
	}
	if in >= 0 {
		s.ranks[r] = append(s.ranks[r], in)
		s.holders[in] = append(s.holders[in], r)
	}
}
