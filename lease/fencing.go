package lease

import "github.com/skylarkstep/skylarkstep/infra"

// revisionsPerEra is the distance between the fencing numbers of a revision and of
// the same number in the next era. A restore that loses fewer revisions than this
// repeats no fencing number. The store is restored from a copy that is some seconds
// old; at 5,000 changes a second this allows for 52 s. It is small, because map
// versions are multiples of fencing numbers and must stay exact in JSON.
const revisionsPerEra = 1 << 18

// FencingNumber returns the fencing number of a lease holder whose key was written
// at the revision. It increases with the revisions of an era and from each era to
// the next, although the store then gives out numbers again. In era 0 it is the
// revision itself.
func FencingNumber(revision int64) uint64 {
	return uint64(infra.RevisionNumber(revision) + infra.Era(revision)*revisionsPerEra)
}
