package configsync

import (
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// maxReplicaDeltas limits the deltas that a process keeps for peers with a lower
// revision. At 18,000 changes per day they cover about ten minutes.
const maxReplicaDeltas = 128

// Replica holds the active configuration of one process. Its revision never
// decreases. It is not safe for concurrent use.
type Replica struct {
	config *config.Config
	tree   []byte
	digest string
	deltas []config.Delta // contiguous; the last one leads to the active revision
	offers map[string]peerOffer
}

// peerOffer is the configuration that one peer has sent while this process has
// none.
type peerOffer struct {
	revision uint64
	tree     []byte
}

// Config returns the active configuration, or nil.
func (r *Replica) Config() *config.Config { return r.config }

// Tree returns the tree of the active configuration.
func (r *Replica) Tree() []byte { return r.tree }

// Digest returns the digest of the tree.
func (r *Replica) Digest() string { return r.digest }

// Revision returns the active revision, or zero.
func (r *Replica) Revision() uint64 {
	if r.config == nil {
		return 0
	}
	return r.config.Revision
}

// ApplySnapshot activates a whole tree if its revision is higher than the active
// one.
func (r *Replica) ApplySnapshot(revision uint64, tree []byte) (changed bool, err error) {
	if revision <= r.Revision() {
		return false, nil
	}
	c, err := config.FromTree(tree, revision)
	if err != nil {
		return false, err
	}
	r.config, r.tree, r.digest, r.deltas, r.offers = c, tree, config.Digest(tree), nil, nil
	return true, nil
}

// ApplyDeltas applies the deltas that follow the active revision and skips older
// ones. If gap is true, deltas are missing or do not fit and a snapshot is needed.
// Deltas before a missing one are applied; on an error, none are.
func (r *Replica) ApplyDeltas(deltas []config.Delta) (changed, gap bool, err error) {
	tree, applied := r.tree, []config.Delta(nil)
	revision := r.Revision()
	for _, d := range deltas {
		if d.Revision <= revision {
			continue
		}
		if d.Revision > revision+1 || tree == nil {
			gap = true
			break
		}
		next, err := d.Apply(tree)
		if err != nil {
			return false, true, err
		}
		tree, revision, applied = next, d.Revision, append(applied, d)
	}
	if len(applied) == 0 {
		return false, gap, nil
	}
	c, err := config.FromTree(tree, revision)
	if err != nil {
		return false, true, err
	}
	r.config, r.tree, r.digest = c, tree, config.Digest(tree)
	r.deltas = append(r.deltas, applied...)
	if extra := len(r.deltas) - maxReplicaDeltas; extra > 0 {
		r.deltas = append([]config.Delta(nil), r.deltas[extra:]...)
	}
	return true, gap, nil
}

// DeltasSince returns the deltas after a revision, or false if this process no
// longer has all of them, so that the peer that requests them needs a snapshot.
func (r *Replica) DeltasSince(from uint64) ([]config.Delta, bool) {
	if from >= r.Revision() {
		return nil, true
	}
	for i, d := range r.deltas {
		if d.Revision == from+1 {
			return r.deltas[i:], true
		}
	}
	return nil, false
}

// AddOffer records the configuration of a peer while this process has none and
// can't reach the key-value store. It activates the highest offered revision that
// at least two peers have reached; one is enough if only one is configured. A
// single peer may have missed the removal of a data centre.
func (r *Replica) AddOffer(peer string, configuredPeers int, revision uint64, tree []byte) (changed bool, err error) {
	if r.config != nil {
		return false, errkind.New(errkind.Internal, "configuration offered to a process that already has one")
	}
	if r.offers == nil {
		r.offers = map[string]peerOffer{}
	}
	if revision >= r.offers[peer].revision {
		r.offers[peer] = peerOffer{revision, tree}
	}
	requiredPeers := min(2, max(configuredPeers, 1))
	var best peerOffer
	for _, o := range r.offers {
		peersAtOrAbove := 0
		for _, p := range r.offers {
			if p.revision >= o.revision {
				peersAtOrAbove++
			}
		}
		if peersAtOrAbove >= requiredPeers && o.revision > best.revision {
			best = o
		}
	}
	if best.revision == 0 {
		return false, nil
	}
	return r.ApplySnapshot(best.revision, best.tree)
}
