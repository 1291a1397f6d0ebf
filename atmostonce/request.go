package atmostonce

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// Digest returns a digest of the parts of a request. Each part is preceded by
// its length, so that no two lists of parts have the same digest.
func Digest(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(p)
	}
	var d [sha256.Size]byte
	h.Sum(d[:0])
	return d
}

// MaxSuccessors is the maximum number of targets that may store the responses
// of a stopped one. An entry queries them one after the other.
const MaxSuccessors = 3

// Successors returns the targets that store the responses of a stopping
// incarnation, best first. They are ranked by rendezvous hashing, so that an
// entry can compute them.
func Successors(targets []string, stopped string, incarnation uint64) []string {
	type ranked struct {
		name   string
		weight uint64
	}
	var all []ranked
	for _, name := range targets {
		if name == stopped {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(name+"\x00"+stopped+"\x00"), incarnation))
		all = append(all, ranked{name, h.Sum64()})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	var names []string
	for _, r := range all[:min(len(all), MaxSuccessors)] {
		names = append(names, r.name)
	}
	return names
}
