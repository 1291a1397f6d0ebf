package plan

import "slices"

// layerState is the state of a local search in one layer.
type layerState struct {
	shape     Shape
	load      []float64
	layer     Layer
	replicas  []int
	rankTimes []float64
	holders   [][]int // ranks of each expert, once for each replica
	loadDelta []float64
}

func newLayerState(s Shape, l Layer, load []float64) *layerState {
	st := &layerState{shape: s, load: load, layer: slices.Clone(l), replicas: make([]int, s.Experts), rankTimes: rankTimes(s, l, load)}
	for _, e := range l {
		st.replicas[e]++
	}
	st.holders, st.loadDelta = make([][]int, s.Experts), make([]float64, s.Ranks)
	st.rebuildHolders()
	return st
}

// rebuildHolders rebuilds the list of ranks that hold each expert.
func (st *layerState) rebuildHolders() {
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

func (st *layerState) replicaLoad(e int) float64 { return st.load[e] / float64(st.replicas[e]) }

// move is one change of a layer: slot gets newExpert, or slot and swapSlot
// exchange their experts. In a swap, slot is a slot of the slowest rank.
type move struct {
	slot, swapSlot int // swapSlot is -1 for a replacement
	newExpert      int // set for a replacement only
	maxTime        float64
	fetches        int
}

// improve applies the moves that lower the maximum rank time by at least
// gainPerFetch for each fetch, until that time is at most target.
func (st *layerState) improve(target, gainPerFetch float64) {
	for range 4 * len(st.layer) {
		slowest := 0
		for r, w := range st.rankTimes {
			if w > st.rankTimes[slowest] {
				slowest = r
			}
		}
		maxTime := st.rankTimes[slowest]
		if maxTime <= target {
			return
		}
		best := move{slot: -1, maxTime: maxTime}
		st.findSwaps(slowest, gainPerFetch, maxTime, &best)
		st.findReplacements(slowest, gainPerFetch, maxTime, &best)
		if best.slot < 0 {
			return
		}
		st.apply(best)
	}
}

// keepBetter replaces best by m if m has a higher gain for each fetch and
// reaches gainPerFetch. Only the ranks that a move changes count: a swap is
// accepted even if another rank still has the old maximum.
func keepBetter(m move, gainPerFetch, maxTime float64, best *move) {
	if maxTime-m.maxTime < gainPerFetch*float64(m.fetches) || m.maxTime >= maxTime {
		return
	}
	if best.slot < 0 || (maxTime-m.maxTime)*float64(best.fetches) > (maxTime-best.maxTime)*float64(m.fetches) {
		*best = m
	}
}

func (st *layerState) findSwaps(slowest int, gainPerFetch, maxTime float64, best *move) {
	n := st.shape.SlotsPerRank
	for i := slowest * n; i < (slowest+1)*n; i++ {
		a := st.layer[i]
		for j, b := range st.layer {
			r := j / n
			diff := st.replicaLoad(a) - st.replicaLoad(b)
			if r == slowest || diff <= 0 || st.rankTimes[r]+diff/st.shape.speed(r) >= maxTime || st.holds(r, a) || st.holds(slowest, b) {
				continue
			}
			slowestTime := st.rankTimes[slowest] - diff/st.shape.speed(slowest)
			otherTime := st.rankTimes[r] + diff/st.shape.speed(r)
			keepBetter(move{slot: i, swapSlot: j, maxTime: max(slowestTime, otherTime), fetches: 2}, gainPerFetch, maxTime, best)
		}
	}
}

// findReplacements considers moves that replace an expert with several replicas
// on another rank by a further replica of an expert of the slowest rank.
func (st *layerState) findReplacements(slowest int, gainPerFetch, maxTime float64, best *move) {
	n := st.shape.SlotsPerRank
	for j, old := range st.layer {
		r := j / n
		if r == slowest || st.replicas[old] < 2 {
			continue
		}
		for i := slowest * n; i < (slowest+1)*n; i++ {
			e := st.layer[i]
			if e == old || st.minTimeAfter(slowest, r, old, e) > maxTime-gainPerFetch || st.holds(r, e) {
				continue
			}
			m := move{slot: j, swapSlot: -1, newExpert: e, fetches: 1}
			m.maxTime = st.maxTimeAfter(m)
			keepBetter(m, gainPerFetch, maxTime, best)
		}
	}
}

// minTimeAfter returns a lower bound of the maximum rank time after a
// replacement. It rules out most candidates without the exact computation.
func (st *layerState) minTimeAfter(slowest, r, old, e int) float64 {
	next := st.load[e] / float64(st.replicas[e]+1)
	slowestTime := st.rankTimes[slowest] - (st.replicaLoad(e)-next)/st.shape.speed(slowest)
	otherTime := st.rankTimes[r] + (next-st.replicaLoad(old))/st.shape.speed(r)
	return max(slowestTime, otherTime)
}

// maxTimeAfter returns the maximum time after a replacement among the ranks
// that it changes: the holders of both experts and the rank of the slot.
func (st *layerState) maxTimeAfter(m move) float64 {
	old, e := st.layer[m.slot], m.newExpert
	next := st.load[e] / float64(st.replicas[e]+1)
	more := st.load[old]/float64(st.replicas[old]-1) - st.replicaLoad(old)
	r := m.slot / st.shape.SlotsPerRank
	st.loadDelta[r] = next - st.replicaLoad(old) - more
	for _, h := range st.holders[e] {
		st.loadDelta[h] += next - st.replicaLoad(e)
	}
	for _, h := range st.holders[old] {
		st.loadDelta[h] += more
	}
	maxTime := st.timeWithDelta(r)
	for _, h := range st.holders[e] {
		maxTime = max(maxTime, st.timeWithDelta(h))
	}
	for _, h := range st.holders[old] {
		maxTime = max(maxTime, st.timeWithDelta(h))
	}
	st.loadDelta[r] = 0
	for _, h := range st.holders[e] {
		st.loadDelta[h] = 0
	}
	for _, h := range st.holders[old] {
		st.loadDelta[h] = 0
	}
	return maxTime
}

func (st *layerState) timeWithDelta(rank int) float64 {
	return st.rankTimes[rank] + st.loadDelta[rank]/st.shape.speed(rank)
}

func (st *layerState) apply(m move) {
	if m.swapSlot >= 0 {
		st.layer[m.slot], st.layer[m.swapSlot] = st.layer[m.swapSlot], st.layer[m.slot]
	} else {
		st.replicas[st.layer[m.slot]]--
		st.replicas[m.newExpert]++
		st.layer[m.slot] = m.newExpert
	}
	st.rankTimes = rankTimes(st.shape, st.layer, st.load)
	st.rebuildHolders()
}
