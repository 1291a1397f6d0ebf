package routing

import "time"

// RankMember is a rank of a group.
type RankMember struct {
	// Addr is the address at which the rank receives requests.
	Addr  string
	Group string
	Rank  int
}

// RankLoad is the number of requests at one rank of a group.
type RankLoad struct {
	// Running requests are processed, and Waiting ones wait for a slot.
	Running, Waiting int
	// Unresponsive is set if the rank has not replied lately, so that the numbers are
	// not true any longer.
	Unresponsive bool
}

// GroupLoad is the load of a rank group as its ranks have reported it.
type GroupLoad struct {
	Group, Backend string
	// AsOf is when the ranks were queried.
	AsOf time.Time
	// Step is the last step that a rank has begun. Each step is a pass of the group.
	Step uint64
	// Open is false while the group cannot serve: it is broken, or lacks ranks.
	Open bool
	// Ranks holds the load of each rank. That of a rank that has not reported is the
	// last one known.
	Ranks []RankLoad
	// Imbalance is the load of the most loaded rank relative to the mean, for the map
	// in use and the latest expert load, and Slowdown the slowdown factor of the
	// slowest rank.
	Imbalance, Slowdown float64
}

// Requests returns the number of requests at all ranks that respond.
func (l *GroupLoad) Requests() int {
	n := 0
	for _, r := range l.Ranks {
		if !r.Unresponsive {
			n += r.Running + r.Waiting
		}
	}
	return n
}

// Responsive returns the number of ranks that respond.
func (l *GroupLoad) Responsive() int {
	n := 0
	for _, r := range l.Ranks {
		if !r.Unresponsive {
			n++
		}
	}
	return n
}
