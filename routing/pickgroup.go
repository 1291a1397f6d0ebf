package routing

// GroupCandidate describes a rank group that may be picked for a request.
type GroupCandidate struct {
	// Room is the number of requests that the group could take, which is negative
	// while requests wait for it, and Limit the number that it may hold.
	Room, Limit float64
	// Local is set if the group is in the data centre of this instance.
	Local bool
}

const (
	// minRoomShare is the room that counts at least, as a share of the limit. Loads are
	// some hundred milliseconds old, and a group without room may have some by now.
	minRoomShare = 0.02
	// localGroupWeight prefers a local group of about the same room, because traffic
	// between data centres has a cost.
	localGroupWeight = 1.25
)

// PickGroup picks a group with a probability that grows with its room, and returns its
// index. All instances know the same loads: if each picked the group with the most
// room, they would fill it together before the next loads. draw is a random number in
// [0,1). It returns -1 if there is no group.
func PickGroup(groups []GroupCandidate, draw float64) int {
	total := 0.0
	for i := range groups {
		total += groups[i].weight()
	}
	remaining := draw * total
	for i := range groups {
		if remaining -= groups[i].weight(); remaining < 0 {
			return i
		}
	}
	return len(groups) - 1
}

func (g *GroupCandidate) weight() float64 {
	w := max(g.Room, minRoomShare*g.Limit)
	if g.Local {
		w *= localGroupWeight
	}
	return w
}
