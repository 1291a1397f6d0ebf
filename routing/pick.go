package routing

import "slices"

// Candidate describes a target that may be picked for a request.
type Candidate struct {
	// Load is the number of requests of all instances at the target. The part
	// of the other instances dates from their last heartbeats.
	Load float64
	// OwnLoad is the part of Load that comes from this instance.
	OwnLoad float64
	// Slots is how many requests the target processes at the same time.
	Slots int
	// FailureRate is the recent share of requests that the target failed.
	FailureRate float64
	// Slowdown is the slowdown factor of the target: its time for a unit of
	// work relative to that of a healthy target. 1 is normal, zero unknown.
	Slowdown float64
	// Local is set if the target is in the data centre of this instance.
	Local bool
	// Connected is set if this instance has an idle connection to the target.
	Connected bool
	// Usable is set if the target may get the request now.
	Usable bool
	// Unresponsive is set if the target seems not to respond. It gets a request only if
	// no other target is usable.
	Unresponsive bool
}

const (
	// targetQueueShare is how many requests, as a share of the slots, may be
	// queued at a target in addition to those in progress. The queue hides the
	// time between a response and the next request.
	targetQueueShare = 0.25
	// failurePenalty is the load, as a share of the slots, that is added to the
	// score of a target that fails all requests.
	failurePenalty = 2.0
	// ownLoadWeight is the weight of this instance's own requests, multiplied
	// by the number of instances, against the reported load. With the reported
	// load alone, all instances would pick the same target until the next
	// heartbeat.
	ownLoadWeight = 0.5
	// remotePenalty prefers local targets of about the same load, because
	// traffic between data centres has a cost.
	remotePenalty = 0.05
	// brokenFailureRate is the failure rate from which a target gets requests
	// only if no other target has free capacity.
	brokenFailureRate = 0.6
)

// AvoidUnresponsive makes the unresponsive targets unusable if another one is usable, be
// it full: a request waits a shorter time for room there than for a response here.
func AvoidUnresponsive(candidates []Candidate) {
	responsive := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Usable && !c.Unresponsive })
	for i := range candidates {
		c := &candidates[i]
		c.Usable = c.Usable && (!responsive || !c.Unresponsive)
	}
}

// Full reports whether the target has no capacity for another request. A slow target
// has less: all ranks of its group wait for the work of the requests that it holds.
func (c *Candidate) Full() bool {
	return c.Load >= max(1, float64(c.Slots)*(1+targetQueueShare)/max(1, c.Slowdown))
}

// score returns the cost of sending the request to the target; the lowest is
// best.
func (c *Candidate) score(instances int) float64 {
	load := (1-ownLoadWeight)*c.Load + ownLoadWeight*c.OwnLoad*float64(instances)
	slowdown := max(1, c.Slowdown)
	s := slowdown * slowdown * (load + 1) / float64(max(1, c.Slots))
	s += failurePenalty * c.FailureRate
	if !c.Local {
		s += remotePenalty
	}
	if c.FailureRate >= brokenFailureRate {
		s += failurePenalty
	}
	return s
}

// Pick returns the index of the usable target with the lowest score that is not
// full, or -1 if there is none. instances is the number of instances that pick
// targets concurrently. offset rotates the order, so that they do not all pick
// the first of several equal targets.
func Pick(candidates []Candidate, instances, offset int) int {
	best, bestScore := -1, 0.0
	n := len(candidates)
	for k := range n {
		i := (k + offset) % n
		c := &candidates[i]
		if !c.Usable || c.Full() {
			continue
		}
		if s := c.score(instances); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// PickOfTwo returns the index of the better one of two usable targets that are not full,
// drawn at random, or -1 if there is none. It is for loads that all instances know: if
// each picked the target with the lowest load, all would pick the same one until the
// next report. The first one is drawn from the local targets with a connection, if there
// are any, since a new connection and traffic between data centres have a cost. draw
// returns a random number below n.
func PickOfTwo(candidates []Candidate, draw func(n int) int) int {
	var usable, near []int
	for i := range candidates {
		c := &candidates[i]
		if !c.Usable || c.Full() {
			continue
		}
		usable = append(usable, i)
		if c.Local && c.Connected {
			near = append(near, i)
		}
	}
	if len(usable) == 0 {
		return -1
	}
	if len(near) == 0 {
		near = usable
	}
	first, second := near[draw(len(near))], usable[draw(len(usable))]
	if candidates[second].knownScore() < candidates[first].knownScore() {
		return second
	}
	return first
}

// newConnectionPenalty prefers targets of about the same load to which there is a
// connection, because opening one takes time there.
const newConnectionPenalty = 0.04

// knownScore is the score of a target whose load is known.
func (c *Candidate) knownScore() float64 {
	known := *c
	known.OwnLoad = c.Load
	score := known.score(1)
	if !c.Connected {
		score += newConnectionPenalty
	}
	return score
}

// latestOutcomeWeight is the weight of the latest outcome in the failure rate
// of a target.
const latestOutcomeWeight = 0.15

// NextFailureRate returns the failure rate after one more outcome.
func NextFailureRate(rate float64, failed bool) float64 {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	return rate + latestOutcomeWeight*(outcome-rate)
}
