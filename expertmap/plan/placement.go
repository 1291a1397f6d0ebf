// Package plan decides which ranks of a group hold replicas of which experts.
// It has no I/O and no clock.
//
// A Planner works on maps with a fixed number of slots per rank. A Tracker and
// Rebalance work on placements in which a rank may leave slots empty.
package plan

import "slices"

// Shape describes the size of a group and the speeds of its ranks.
type Shape struct {
	Ranks, Experts, Layers, SlotsPerRank int
	// Speeds are the relative speeds of the ranks; nil means that all are
	// equal.
	Speeds []float64
}

func (s Shape) speed(rank int) float64 {
	if s.Speeds == nil {
		return 1
	}
	return s.Speeds[rank]
}

// Layer lists the expert in every slot of one layer, rank after rank. The load
// of an expert is divided equally among its replicas.
type Layer []int

// Map is the placement of the experts in all layers.
type Map []Layer

// Fetches returns the number of slots of next whose expert the rank does not
// hold in m. The weights of these experts must be loaded.
func (m Map) Fetches(next Map, s Shape) int {
	n := 0
	for l := range m {
		for r := range s.Ranks {
			old := m[l][r*s.SlotsPerRank : (r+1)*s.SlotsPerRank]
			for _, e := range next[l][r*s.SlotsPerRank : (r+1)*s.SlotsPerRank] {
				if !slices.Contains(old, e) {
					n++
				}
			}
		}
	}
	return n
}

// RoundRobin assigns the experts to the ranks in turn.
func RoundRobin(s Shape) Map {
	m := make(Map, s.Layers)
	for l := range m {
		m[l] = make(Layer, s.Ranks*s.SlotsPerRank)
		for i := range m[l] {
			rank, slot := i%s.Ranks, i/s.Ranks
			m[l][rank*s.SlotsPerRank+slot] = i % s.Experts
		}
	}
	return m
}

// FromScratch gives the redundant slots to the experts with the highest load
// and packs all replicas, highest load first, each on the rank with the lowest
// load.
func FromScratch(s Shape, loads [][]float64) Map {
	m := make(Map, s.Layers)
	for l := range m {
		m[l] = packLayer(s, loads[l])
	}
	return m
}

func packLayer(s Shape, load []float64) Layer {
	replicas := make([]int, s.Experts)
	items := make([]int, 0, s.Ranks*s.SlotsPerRank)
	for e := range replicas {
		replicas[e] = 1
		items = append(items, e)
	}
	for len(items) < cap(items) {
		hot := 0
		for e := range replicas {
			if replicas[e] < s.Ranks && load[e]/float64(replicas[e]) > load[hot]/float64(replicas[hot]) {
				hot = e
			}
		}
		replicas[hot]++
		items = append(items, hot)
	}
	share := func(e int) float64 { return load[e] / float64(replicas[e]) }
	slices.SortStableFunc(items, func(a, b int) int {
		switch x, y := share(a), share(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return a - b
	})
	held := make([][]int, s.Ranks)
	sums := make([]float64, s.Ranks)
	for _, e := range items {
		best := -1
		for r := range held {
			if len(held[r]) == s.SlotsPerRank {
				continue
			}
			if best < 0 || preferRank(held, sums, e, r, best) {
				best = r
			}
		}
		held[best] = append(held[best], e)
		sums[best] += share(e) / s.speed(best)
	}
	return slices.Concat(held...)
}

// preferRank reports whether rank r is preferred to rank best for a replica of
// e: a rank that does not hold the expert yet comes first, then the one with
// the lower load.
func preferRank(held [][]int, sums []float64, e, r, best int) bool {
	has, bestHas := slices.Contains(held[r], e), slices.Contains(held[best], e)
	if has != bestHas {
		return bestHas
	}
	return sums[r] < sums[best]
}

// rankTimes returns the relative time that each rank needs for a layer.
func rankTimes(s Shape, l Layer, load []float64) []float64 {
	replicas := make([]int, s.Experts)
	for _, e := range l {
		replicas[e]++
	}
	sums := make([]float64, s.Ranks)
	for i, e := range l {
		sums[i/s.SlotsPerRank] += load[e] / float64(replicas[e]) / s.speed(i/s.SlotsPerRank)
	}
	return sums
}

// Skew returns the time of a step relative to its time under an even load. In
// every layer all ranks wait for the slowest one.
func Skew(s Shape, m Map, loads [][]float64) float64 {
	maxTime, meanTime := 0.0, 0.0
	speeds := 0.0
	for r := range s.Ranks {
		speeds += s.speed(r)
	}
	for l := range m {
		maxTime += slices.Max(rankTimes(s, m[l], loads[l]))
		total := 0.0
		for _, w := range loads[l] {
			total += w
		}
		meanTime += total / speeds
	}
	return maxTime / meanTime
}
