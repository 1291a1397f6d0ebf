package ranks

import "math/rand/v2"

// expectedCandidates is how many of the instances compete for a lease that has just
// become vacant, on average.
const expectedCandidates = 3.0

// candidacy decides whether this process competes for a vacant lease. Each attempt
// costs several calls to the store and only one succeeds, so that few of many
// instances should compete. It answers a load of hundreds of instances that start, or
// lose a coordinator, at the same moment.
type candidacy struct {
	// checks is the number of checks at which the lease was vacant.
	checks int
}

// competes reports whether to compete now. The chance doubles with each check at which
// the lease is still vacant: those who competed may all have failed.
func (c *candidacy) competes(vacant bool, instances int) bool {
	if !vacant {
		c.checks = 0
		return false
	}
	chance := expectedCandidates * float64(int(1)<<min(c.checks, 30)) / float64(max(1, instances))
	c.checks++
	return rand.Float64() < chance
}
