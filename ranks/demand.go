package ranks

import (
	"math"
	"time"
)

// demand estimates how often each expert is chosen from the counts of the
// ranks. It is a pure state machine.
type demand struct {
	sets, experts int
	// memory is the age at which a choice counts a third.
	memory time.Duration
	level  [][]float64
	last   map[int]counted
	at     time.Time
	// fresh is the number of choices since the last change of the map.
	fresh float64
}

type counted struct {
	born   int64
	counts []uint64
}

func newDemand(sets, experts int, memory time.Duration) *demand {
	d := &demand{sets: sets, experts: experts, memory: memory, last: map[int]counted{}, level: make([][]float64, sets)}
	for s := range d.level {
		d.level[s] = make([]float64, experts)
	}
	return d
}

// observe takes in the counts of one round.
func (d *demand) observe(reports []Report, now time.Time) {
	if !d.at.IsZero() {
		keep := math.Exp(-now.Sub(d.at).Seconds() / d.memory.Seconds())
		for _, set := range d.level {
			for e := range set {
				set[e] *= keep
			}
		}
	}
	d.at = now
	for _, r := range reports {
		if len(r.Counts) != d.sets*d.experts {
			continue
		}
		if before, ok := d.last[r.Rank]; ok && before.born == r.Born {
			d.add(before.counts, r.Counts)
		}
		d.last[r.Rank] = counted{r.Born, r.Counts}
	}
}

// add counts what was chosen since the last report. Counts that have shrunk
// come from a rank that has started anew.
func (d *demand) add(before, after []uint64) {
	for i, n := range after {
		if n < before[i] {
			return
		}
	}
	for i, n := range after {
		chosen := float64(n - before[i])
		d.level[i/d.experts][i%d.experts] += chosen
		d.fresh += chosen
	}
}

// total returns the choices that count now.
func (d *demand) total() float64 {
	sum := 0.0
	for _, n := range d.level[0] {
		sum += n
	}
	return sum
}
