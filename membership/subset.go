package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// MaxSessions is how many targets of one back end an entry keeps sessions to.
const MaxSessions = 100

// Member is one process that may be chosen.
type Member struct {
	Name       string
	DataCentre string
}

// Subset returns the n members with the highest rendezvous hash against self,
// spread over data centres in proportion to their size: all of them when there
// are no more than n. A change of one member moves about 1/n of the pairs.
func Subset(self string, members []Member, n int) []Member {
	if len(members) <= n {
		return members
	}
	byDC := map[string][]Member{}
	for _, m := range members {
		byDC[m.DataCentre] = append(byDC[m.DataCentre], m)
	}
	var chosen, rest []Member
	for _, list := range byDC {
		rank(self, list)
		// Rounded down, so that the shares never add up to more than n.
		share := n * len(list) / len(members)
		chosen, rest = append(chosen, list[:share]...), append(rest, list[share:]...)
	}
	rank(self, rest)
	chosen = append(chosen, rest[:n-len(chosen)]...)
	rank(self, chosen)
	return chosen
}

// rank sorts by falling hash, then by name.
func rank(self string, members []Member) {
	type scored struct {
		Member
		score uint64
	}
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{m, Score(self, m.Name)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	for i := range list {
		members[i] = list[i].Member
	}
}

// Score is the rendezvous hash of a pair. FNV alone leaves scores of similar
// names close together, so the bits are mixed once more.
func Score(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
