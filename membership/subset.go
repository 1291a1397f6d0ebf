package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// MaxSessions is the number of targets of one back end to which an entry keeps
// sessions.
const MaxSessions = 100

// Member is a process that may be selected.
type Member struct {
	Name       string
	DataCentre string
}

// Subset returns the n members with the highest rendezvous hash with self,
// spread over the data centres in proportion to their sizes. It returns all
// members if there are no more than n. A change of one member affects about 1/n
// of the pairs.
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
		sortByScore(self, list)
		// Rounding down keeps the sum of the shares at n or below.
		share := n * len(list) / len(members)
		chosen, rest = append(chosen, list[:share]...), append(rest, list[share:]...)
	}
	sortByScore(self, rest)
	chosen = append(chosen, rest[:n-len(chosen)]...)
	sortByScore(self, chosen)
	return chosen
}

// sortByScore sorts members by descending score with self, then by name.
func sortByScore(self string, members []Member) {
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

// Score returns the rendezvous hash of a pair. The FNV hashes of similar names
// are close together, so the bits are mixed once more.
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
