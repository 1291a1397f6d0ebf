package plan

import "slices"

// layerState is one layer under local search.
type layerState struct {
	shape    Shape
	load     []float64
	layer    Layer
	replicas []int
	sums     []float64
	holders  [][]int // ranks by expert, once for each replica
	delta    []float64
}

func newLayerState(s Shape, l Layer, load []float64) *layerState {
	st := &layerState{shape: s, load: load, layer: slices.Clone(l), replicas: make([]int, s.Experts), sums: rankLoads(s, l, load)}
	for _, e := range l {
		st.replicas[e]++
	}
	st.holders, st.delta = make([][]int, s.Experts), make([]float64, s.Ranks)
	st.index()
	return st
}

// index rebuilds the holders of every expert.
func (st *layerState) index() {
	for e := range st.holders {
		st.holders[e] = st.holders[e][:0]
	}
	for i, e := range st.layer {
		st.holders[e] = append(st.holders[e], i/st.shape.SlotsPerRank)
	}
}

func (st *layerState) holds(rank, e int) bool {
	n := st.shape.SlotsPerRank
	return slices.Contains(st.layer[rank*n:(rank+1)*n], e)
}

func (st *layerState) share(e int) float64 { return st.load[e] / float64(st.replicas[e]) }

// move changes one slot, or swaps two when b is a slot of the hottest rank too.
type move struct {
	slot, with int // with is -1 for a replacement
	expert     int // of a replacement
	peak       float64
	fetches    int
}

// improve makes the moves that lower the peak by at least gain for each fetch,
// until the peak is at most target.
func (st *layerState) improve(target, gain float64) {
	for range 4 * len(st.layer) {
		hot := 0
		for r, w := range st.sums {
			if w > st.sums[hot] {
				hot = r
			}
		}
		peak := st.sums[hot]
		if peak <= target {
			return
		}
		best := move{slot: -1, peak: peak}
		st.swaps(hot, gain, peak, &best)
		st.replacements(hot, gain, peak, &best)
		if best.slot < 0 {
			return
		}
		st.apply(best)
	}
}

// consider keeps the move with the highest gain for each fetch. A swap that
// leaves another rank at the old peak gains nothing yet, but still counts by
// the ranks that it touches.
func consider(m move, gain, peak float64, best *move) {
	if peak-m.peak < gain*float64(m.fetches) || m.peak >= peak {
		return
	}
	if best.slot < 0 || (peak-m.peak)*float64(best.fetches) > (peak-best.peak)*float64(m.fetches) {
		*best = m
	}
}

func (st *layerState) swaps(hot int, gain, peak float64, best *move) {
	n := st.shape.SlotsPerRank
	for i := hot * n; i < (hot+1)*n; i++ {
		a := st.layer[i]
		for j, b := range st.layer {
			r := j / n
			diff := st.share(a) - st.share(b)
			if r == hot || diff <= 0 || st.sums[r]+diff/st.shape.speed(r) >= peak || st.holds(r, a) || st.holds(hot, b) {
				continue
			}
			here := st.sums[hot] - diff/st.shape.speed(hot)
			there := st.sums[r] + diff/st.shape.speed(r)
			consider(move{slot: i, with: j, peak: max(here, there), fetches: 2}, gain, peak, best)
		}
	}
}

// replacements gives a slot of an expert with several replicas to an expert of
// the hottest rank.
func (st *layerState) replacements(hot int, gain, peak float64, best *move) {
	n := st.shape.SlotsPerRank
	for j, old := range st.layer {
		r := j / n
		if r == hot || st.replicas[old] < 2 {
			continue
		}
		for i := hot * n; i < (hot+1)*n; i++ {
			e := st.layer[i]
			if e == old || st.bound(hot, r, old, e) > peak-gain || st.holds(r, e) {
				continue
			}
			m := move{slot: j, with: -1, expert: e, fetches: 1}
			m.peak = st.peakAfter(m)
			consider(m, gain, peak, best)
		}
	}
}

// bound is a lower bound of the peak after a replacement. It saves the exact
// computation for most candidates.
func (st *layerState) bound(hot, r, old, e int) float64 {
	next := st.load[e] / float64(st.replicas[e]+1)
	here := st.sums[hot] - (st.share(e)-next)/st.shape.speed(hot)
	there := st.sums[r] + (next-st.share(old))/st.shape.speed(r)
	return max(here, there)
}

// peakAfter returns the highest load of the ranks that a replacement touches:
// the holders of both experts and the rank of the slot.
func (st *layerState) peakAfter(m move) float64 {
	old, e := st.layer[m.slot], m.expert
	next := st.load[e] / float64(st.replicas[e]+1)
	more := st.load[old]/float64(st.replicas[old]-1) - st.share(old)
	r := m.slot / st.shape.SlotsPerRank
	st.delta[r] = next - st.share(old) - more
	for _, h := range st.holders[e] {
		st.delta[h] += next - st.share(e)
	}
	for _, h := range st.holders[old] {
		st.delta[h] += more
	}
	peak := st.after(r)
	for _, h := range st.holders[e] {
		peak = max(peak, st.after(h))
	}
	for _, h := range st.holders[old] {
		peak = max(peak, st.after(h))
	}
	st.delta[r] = 0
	for _, h := range st.holders[e] {
		st.delta[h] = 0
	}
	for _, h := range st.holders[old] {
		st.delta[h] = 0
	}
	return peak
}

func (st *layerState) after(rank int) float64 {
	return st.sums[rank] + st.delta[rank]/st.shape.speed(rank)
}

func (st *layerState) apply(m move) {
	if m.with >= 0 {
		st.layer[m.slot], st.layer[m.with] = st.layer[m.with], st.layer[m.slot]
	} else {
		st.replicas[st.layer[m.slot]]--
		st.replicas[m.expert]++
		st.layer[m.slot] = m.expert
	}
	st.sums = rankLoads(st.shape, st.layer, st.load)
	st.index()
}
