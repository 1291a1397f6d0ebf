package membership

import "slices"

// PeerDegree is how many entries an entry chooses as peers. Sessions work in
// both directions, so that an entry has about twice as many.
const PeerDegree = 8

// Peers returns the entries that self chooses for announcements: half in its
// own data centre, half elsewhere, by rendezvous hash. All are chosen when
// there are no more than n.
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
	rank(self.Name, near)
	rank(self.Name, far)
	take := min(len(near), max(n/2, n-len(far)))
	return slices.Concat(near[:take], far[:min(len(far), n-take)])
}
