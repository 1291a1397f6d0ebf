package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// WatchRank returns the rank by which members are selected as watchers. All
// instances compute the same rank, and it does not follow the order of names.
func WatchRank(dataCentre, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(dataCentre + "/" + name))
	return h.Sum64()
}

// Watchers returns n members that watch the key-value store on behalf of all.
// They are in different data centres if possible, so that one remains if a data
// centre fails.
func Watchers(all []Member, n int) []Member {
	ranked := slices.SortedFunc(slices.Values(all), func(a, b Member) int {
		return cmp.Or(cmp.Compare(WatchRank(b.DataCentre, b.Name), WatchRank(a.DataCentre, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	var perDataCentre, others []Member
	for _, m := range ranked {
		if slices.ContainsFunc(perDataCentre, func(f Member) bool { return f.DataCentre == m.DataCentre }) {
			others = append(others, m)
		} else {
			perDataCentre = append(perDataCentre, m)
		}
	}
	chosen := slices.Concat(perDataCentre, others)
	return chosen[:min(n, len(chosen))]
}
