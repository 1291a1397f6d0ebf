package routing

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The simulated load: requests that take 1.5 s on average arrive at 7 instances
// in front of 12 targets, of whose slots 65% are busy. The instances report
// their requests to each other every 250 ms.
const (
	simInstances = 7
	simTargets   = 12
	simSlots     = 12
	simRate      = 62.0 // requests per second
	simSlotTime  = 1500 * time.Millisecond
	simHeartbeat = 250 * time.Millisecond
	simLength    = 100 * time.Second
)

type eventKind uint8

const (
	arrival eventKind = iota
	departure
	heartbeat
)

type event struct {
	at               time.Duration
	kind             eventKind
	instance, target int
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type policy func(c []Candidate, instances, offset int) int

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

// simulate returns the share of the requests that were sent to a target whose
// slots were all busy.
func simulate(pick policy, seed uint64) float64 {
	r := rand.New(rand.NewPCG(seed, seed))
	var own, reported [simInstances][simTargets]float64
	var events eventQueue
	for i := range simInstances {
		heap.Push(&events, event{at: time.Duration(r.Int64N(int64(simHeartbeat))), kind: heartbeat, instance: i})
	}
	heap.Push(&events, event{kind: arrival})
	requests, full := 0, 0
	for events[0].at < simLength {
		e := heap.Pop(&events).(event)
		switch e.kind {
		case heartbeat:
			reported[e.instance] = own[e.instance]
			heap.Push(&events, event{at: e.at + simHeartbeat, kind: heartbeat, instance: e.instance})
		case departure:
			own[e.instance][e.target]--
		case arrival:
			i := r.IntN(simInstances)
			candidates := make([]Candidate, simTargets)
			busy := make([]float64, simTargets)
			for t := range candidates {
				load := own[i][t]
				for other := range simInstances {
					busy[t] += own[other][t]
					if other != i {
						load += reported[other][t]
					}
				}
				candidates[t] = Candidate{Load: load, OwnLoad: own[i][t], Slots: simSlots, Usable: true}
			}
			t := pick(candidates, simInstances, r.IntN(simTargets))
			requests++
			if busy[t] >= simSlots {
				full++
			}
			own[i][t]++
			heap.Push(&events, event{at: e.at + time.Duration(r.ExpFloat64()*float64(simSlotTime)), kind: departure, instance: i, target: t})
			heap.Push(&events, event{at: e.at + time.Duration(r.ExpFloat64()/simRate*float64(time.Second)), kind: arrival})
		}
	}
	return float64(full) / float64(requests)
}

// Guards against instances that all pick the target which was least loaded at
// the last heartbeat: requests are then queued at a full target while others
// have free slots. At most one request in 200 may be.
func TestInstancesSpreadBetweenHeartbeats(t *testing.T) {
	const goal = 1.0 / 200
	for seed := uint64(1); seed <= 5; seed++ {
		require.Less(t, simulate(Pick, seed), goal, "seed %d", seed)
		require.Greater(t, simulate(leastLoad, seed), goal, "seed %d: the simulated load does not cause the failure", seed)
	}
}

// Guards against a target that fails all requests and is picked because it is
// always idle, and against requests to targets that must not get any.
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
		"least loaded":                {[]Candidate{busy, idle}, 1},
		"failing but idle":            {[]Candidate{with(func(c *Candidate) { c.FailureRate = 0.7 }), busy}, 1},
		"only failing has free slots": {[]Candidate{with(func(c *Candidate) { c.FailureRate = 0.7 }), with(func(c *Candidate) { c.Load = 15 })}, 0},
		"not usable":                  {[]Candidate{with(func(c *Candidate) { c.Usable = false }), busy}, 1},
		"all full":                    {[]Candidate{with(func(c *Candidate) { c.Load = 15 })}, -1},
		"none":                        {nil, -1},
		"local of two equal targets":  {[]Candidate{with(func(c *Candidate) { c.Local = false }), idle}, 1},
		"remote with more free slots": {[]Candidate{with(func(c *Candidate) { c.Local = false }), busy}, 0},
		"slow but idle":               {[]Candidate{with(func(c *Candidate) { c.Load = 4; c.Slowdown = 1.6 }), busy}, 1},
		"only slow has free slots":    {[]Candidate{with(func(c *Candidate) { c.Slowdown = 5 }), with(func(c *Candidate) { c.Load = 15 })}, 0},
		"more slots":                  {[]Candidate{with(func(c *Candidate) { c.Load = 3; c.Slots = 4 }), busy, with(func(c *Candidate) { c.Load = 9; c.Slots = 24 })}, 2},
	} {
		for offset := range max(1, len(tc.candidates)) {
			require.Equal(t, tc.want, Pick(tc.candidates, 3, offset), name)
		}
	}
}

// Guards against a slow rank that is filled like the others once the back end has more
// requests than slots: every step of the group then waits for it.
func TestSlowTargetTakesLessUnderOverload(t *testing.T) {
	candidates := make([]Candidate, 4)
	for i := range candidates {
		candidates[i] = Candidate{Slots: 12, Usable: true}
	}
	candidates[0].Slowdown = 12
	for {
		i := Pick(candidates, 1, 0)
		if i < 0 {
			break
		}
		candidates[i].Load++
		candidates[i].OwnLoad++
	}
	require.InDelta(t, 2, candidates[0].Load, 1)
	require.InDelta(t, 15, candidates[1].Load, 0.5)
}

// Guards against requests that wait at a target which does not respond while others,
// though full now, will have room.
func TestUnresponsiveTargetIsTheLastResort(t *testing.T) {
	responsive := Candidate{Slots: 10, Load: 9, Usable: true}
	full := Candidate{Slots: 10, Load: 20, Usable: true}
	left := Candidate{Slots: 10}
	idle := Candidate{Slots: 10, Usable: true, Unresponsive: true}
	for _, c := range []struct {
		candidates []Candidate
		want       int
	}{
		{[]Candidate{idle, responsive}, 1},
		{[]Candidate{idle, full}, -1},
		{[]Candidate{idle, left}, 0},
		{[]Candidate{idle}, 0},
	} {
		AvoidUnresponsive(c.candidates)
		require.Equal(t, c.want, Pick(c.candidates, 1, 0))
	}
}
