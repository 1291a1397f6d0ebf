package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// WatchRank orders the members that may watch a service for others. It is the
// same everywhere and does not follow the order of names.
func WatchRank(dataCentre, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(dataCentre + "/" + name))
	return h.Sum64()
}

// Watchers chooses n members that watch a service for all. They are in different
// data centres if possible, so that the loss of one leaves another.
func Watchers(all []Member, n int) []Member {
	ranked := slices.SortedFunc(slices.Values(all), func(a, b Member) int {
		return cmp.Or(cmp.Compare(WatchRank(b.DataCentre, b.Name), WatchRank(a.DataCentre, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	var first, further []Member
	for _, m := range ranked {
		if slices.ContainsFunc(first, func(f Member) bool { return f.DataCentre == m.DataCentre }) {
			further = append(further, m)
		} else {
			first = append(first, m)
		}
	}
	chosen := slices.Concat(first, further)
	return chosen[:min(n, len(chosen))]
}
