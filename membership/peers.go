package membership

import "slices"

// PeerDegree is how many peers an entry selects. Sessions work in both
// directions, so an entry has about twice as many sessions to peers.
const PeerDegree = 8

// Peers returns the n entries to which self announces changes: half in its own
// data centre and half in others, by rendezvous hash. If one half has too few
// entries, the other half fills up. It returns all other entries if there are
// no more than n.
func Peers(self Member, entries []Member, n int) []Member {
	var near, far []Member
	for _, m := range entries {
		switch {
		case m.Name == self.Name:
		case m.DataCentre == self.DataCentre:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	sortByScore(self.Name, near)
	sortByScore(self.Name, far)
	nearCount := min(len(near), max(n/2, n-len(far)))
	return slices.Concat(near[:nearCount], far[:min(len(far), n-nearCount)])
}
