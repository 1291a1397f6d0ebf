package routing

// Candidate is what a choice knows about one target.
type Candidate struct {
	// Load is the number of requests that all instances have at the target, as
	// far as this one knows: what it has heard of the others is a little old.
	Load float64
	// OwnLoad is the part of the load that comes from this instance.
	OwnLoad float64
	// Slots is how many requests the target works on at once.
	Slots int
	// FailureRate is the recent share of requests that the target failed.
	FailureRate float64
	// Slowdown is the target's time for a piece of work over that of a sound one;
	// zero if nothing is known.
	Slowdown float64
	// Local targets are in the data centre of this instance.
	Local bool
	// Usable targets may get the request now.
	Usable bool
}

const (
	// queueShare is the part of the slots that may wait at a target beyond
	// those at work. It hides the time between an answer and the next request.
	queueShare = 0.25
	// failurePenalty is how much load, as a share of the slots, a target that
	// fails everything seems to have.
	failurePenalty = 2.0
	// ownShare is the weight of an instance's own requests, as if all instances had
	// as many, against the load that was heard. By the latter alone, all
	// instances would choose the same target until the next heartbeat.
	ownShare = 0.5
	// remotePenalty prefers local targets of about the same load, since bytes
	// between data centres cost.
	remotePenalty = 0.05
	// brokenFailures is the failure share from which a target gets work only
	// when no other has room.
	brokenFailures = 0.6
)

// Full reports whether the target has no room for another request.
func (c *Candidate) Full() bool {
	return c.Load >= float64(c.Slots)*(1+queueShare)
}

func (c *Candidate) score(instances int) float64 {
	load := (1-ownShare)*c.Load + ownShare*c.OwnLoad*float64(instances)
	slow := max(1, c.Slowdown)
	s := slow * slow * (load + 1) / float64(max(1, c.Slots))
	s += failurePenalty * c.FailureRate
	if !c.Local {
		s += remotePenalty
	}
	if c.FailureRate >= brokenFailures {
		s += failurePenalty
	}
	return s
}

// Pick returns the index of the best usable target that is not full, or -1, for
// one of some instances that choose at the same time. offset rotates the order,
// so that not all choose the first of equal targets.
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

// failureWeight is the weight of the latest outcome of a target.
const failureWeight = 0.15

// NextFailureRate returns the failure share after one more outcome.
func NextFailureRate(share float64, failed bool) float64 {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	return share + failureWeight*(outcome-share)
}
