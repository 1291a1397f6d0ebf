// Package plan decides which ranks of a group hold replicas of which experts.
// It has no I/O and no clock.
package plan

import "slices"

// Shape is the size of a group.
type Shape struct {
	Ranks, Experts, Layers, SlotsPerRank int
	// Speeds are relative speeds of the ranks; nil means all equal.
	Speeds []float64
}

func (s Shape) speed(rank int) float64 {
	if s.Speeds == nil {
		return 1
	}
	return s.Speeds[rank]
}

// Layer is the expert in every slot of one layer, rank after rank. The load of
// an expert is shared equally by its replicas.
type Layer []int

// Map is the placement of all layers.
type Map []Layer

// Fetches returns the slots of next whose expert the rank does not hold in m,
// that is the weights that must be loaded.
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

// RoundRobin deals the experts to the slots in turn.
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

// FromScratch gives the redundant slots to the hottest experts and packs all
// replicas longest first on the least loaded rank.
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
			if best < 0 || better(held, sums, e, r, best) {
				best = r
			}
		}
		held[best] = append(held[best], e)
		sums[best] += share(e) / s.speed(best)
	}
	return slices.Concat(held...)
}

// better prefers a rank that does not hold the expert yet, then the one with
// the lower load.
func better(held [][]int, sums []float64, e, r, best int) bool {
	has, bestHas := slices.Contains(held[r], e), slices.Contains(held[best], e)
	if has != bestHas {
		return bestHas
	}
	return sums[r] < sums[best]
}

// rankLoads returns the time of each rank in a layer.
func rankLoads(s Shape, l Layer, load []float64) []float64 {
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

// Skew returns the time of a step over the time it takes with the load spread
// evenly: in every layer all ranks wait for the slowest.
func Skew(s Shape, m Map, loads [][]float64) float64 {
	slowest, even := 0.0, 0.0
	speeds := 0.0
	for r := range s.Ranks {
		speeds += s.speed(r)
	}
	for l := range m {
		slowest += slices.Max(rankLoads(s, m[l], loads[l]))
		total := 0.0
		for _, w := range loads[l] {
			total += w
		}
		even += total / speeds
	}
	return slowest / even
}
