package routing

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load of the replay: requests that last 1.5 s on average arrive at 7
// instances in front of 12 targets, which are 65% busy. Instances tell each other
// their requests every 250 ms.
const (
	replayInstances = 7
	replayTargets   = 12
	replaySlots     = 12
	replayRate      = 62.0 // requests per second
	replayHold      = 1500 * time.Millisecond
	replayBeat      = 250 * time.Millisecond
	replayLength    = 100 * time.Second
)

type eventKind uint8

const (
	arrival eventKind = iota
	departure
	beat
)

type event struct {
	at               time.Duration
	kind             eventKind
	instance, target int
}

type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type choice func(c []Candidate, instances, offset int) int

// leastLoad is the policy that Pick replaced.
func leastLoad(c []Candidate, _, offset int) int {
	best := offset
	for k := range c {
		if i := (k + offset) % len(c); c[i].Load < c[best].Load {
			best = i
		}
	}
	return best
}

// replay returns the share of the requests that were sent to a target whose slots
// were all busy.
func replay(pick choice, seed uint64) float64 {
	r := rand.New(rand.NewPCG(seed, seed))
	var own, told [replayInstances][replayTargets]float64
	var todo agenda
	for i := range replayInstances {
		heap.Push(&todo, event{at: time.Duration(r.Int64N(int64(replayBeat))), kind: beat, instance: i})
	}
	heap.Push(&todo, event{kind: arrival})
	requests, full := 0, 0
	for todo[0].at < replayLength {
		e := heap.Pop(&todo).(event)
		switch e.kind {
		case beat:
			told[e.instance] = own[e.instance]
			heap.Push(&todo, event{at: e.at + replayBeat, kind: beat, instance: e.instance})
		case departure:
			own[e.instance][e.target]--
		case arrival:
			i := r.IntN(replayInstances)
			candidates := make([]Candidate, replayTargets)
			busy := make([]float64, replayTargets)
			for t := range candidates {
				load := own[i][t]
				for other := range replayInstances {
					busy[t] += own[other][t]
					if other != i {
						load += told[other][t]
					}
				}
				candidates[t] = Candidate{Load: load, OwnLoad: own[i][t], Slots: replaySlots, Usable: true}
			}
			t := pick(candidates, replayInstances, r.IntN(replayTargets))
			requests++
			if busy[t] >= replaySlots {
				full++
			}
			own[i][t]++
			heap.Push(&todo, event{at: e.at + time.Duration(r.ExpFloat64()*float64(replayHold)), kind: departure, instance: i, target: t})
			heap.Push(&todo, event{at: e.at + time.Duration(r.ExpFloat64()/replayRate*float64(time.Second)), kind: arrival})
		}
	}
	return float64(full) / float64(requests)
}

// Guards against instances that all choose the target which was least loaded at
// the last heartbeat: requests then wait at a full target while others have
// room. The goal is at most one such request in 200.
func TestInstancesSpreadBetweenHeartbeats(t *testing.T) {
	const goal = 1.0 / 200
	for seed := uint64(1); seed <= 5; seed++ {
		require.Less(t, replay(Pick, seed), goal, "seed %d", seed)
		require.Greater(t, replay(leastLoad, seed), goal, "seed %d: the replayed load does not show the failure", seed)
	}
}

// Guards against a target that fails everything and is chosen because it is
// always idle, and against work for targets that must not get any.
func TestPick(t *testing.T) {
	idle := Candidate{Slots: 12, Usable: true, Local: true}
	with := func(change func(*Candidate)) Candidate {
		c := idle
		change(&c)
		return c
	}
	busy := with(func(c *Candidate) { c.Load = 9 })
	for name, tc := range map[string]struct {
		candidates []Candidate
		want       int
	}{
		"least loaded":          {[]Candidate{busy, idle}, 1},
		"failing but idle":      {[]Candidate{with(func(c *Candidate) { c.FailureRate = 0.7 }), busy}, 1},
		"only failing has room": {[]Candidate{with(func(c *Candidate) { c.FailureRate = 0.7 }), with(func(c *Candidate) { c.Load = 15 })}, 0},
		"not usable":            {[]Candidate{with(func(c *Candidate) { c.Usable = false }), busy}, 1},
		"all full":              {[]Candidate{with(func(c *Candidate) { c.Load = 15 })}, -1},
		"none":                  {nil, -1},
		"local of equals":       {[]Candidate{with(func(c *Candidate) { c.Local = false }), idle}, 1},
		"remote with more room": {[]Candidate{with(func(c *Candidate) { c.Local = false }), busy}, 0},
		"slow but idle":         {[]Candidate{with(func(c *Candidate) { c.Load = 4; c.Slowdown = 1.6 }), busy}, 1},
		"only slow has room":    {[]Candidate{with(func(c *Candidate) { c.Slowdown = 5 }), with(func(c *Candidate) { c.Load = 15 })}, 0},
		"more slots":            {[]Candidate{with(func(c *Candidate) { c.Load = 3; c.Slots = 4 }), busy, with(func(c *Candidate) { c.Load = 9; c.Slots = 24 })}, 2},
	} {
		for offset := range max(1, len(tc.candidates)) {
			require.Equal(t, tc.want, Pick(tc.candidates, 3, offset), name)
		}
	}
}
