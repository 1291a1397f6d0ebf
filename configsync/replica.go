package configsync

import (
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// replicaDeltas bounds the deltas that a process keeps for others that are
// behind. At 18,000 changes a day they cover about ten minutes.
const replicaDeltas = 128

// Replica is the configuration in force in one process. Its revision never
// falls. It is not safe for concurrent use.
type Replica struct {
	config *config.Config
	tree   []byte
	digest string
	deltas []config.Delta // contiguous, the last one leads to the revision held
	offers map[string]offer
}

// offer is what one peer holds while this process has no configuration.
type offer struct {
	revision uint64
	tree     []byte
}

// Config returns the configuration in force, or nil.
func (r *Replica) Config() *config.Config { return r.config }

// Tree returns the tree of the configuration in force.
func (r *Replica) Tree() []byte { return r.tree }

// Digest returns the digest of the tree.
func (r *Replica) Digest() string { return r.digest }

// Revision returns the revision in force, or zero.
func (r *Replica) Revision() uint64 {
	if r.config == nil {
		return 0
	}
	return r.config.Revision
}

// ApplySnapshot takes a whole tree if its revision is higher than the one held.
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

// ApplyDeltas applies those that follow the revision held. Gap says that deltas are
// missing in between and a snapshot is needed; what was applied stays.
func (r *Replica) ApplyDeltas(list []config.Delta) (changed, gap bool, err error) {
	tree, applied := r.tree, []config.Delta(nil)
	revision := r.Revision()
	for _, d := range list {
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
	if extra := len(r.deltas) - replicaDeltas; extra > 0 {
		r.deltas = append([]config.Delta(nil), r.deltas[extra:]...)
	}
	return true, gap, nil
}

// DeltasSince returns the deltas after a revision, or false when the puller is too
// far behind and needs the whole tree.
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

// AddOffer counts what a peer holds while this process has no configuration and
// the key-value service does not answer. It takes the highest revision that
// two peers have reached, or all of them when only one is configured: a single
// peer may have missed the removal of a data centre.
func (r *Replica) AddOffer(peer string, configured int, revision uint64, tree []byte) (changed bool, err error) {
	if r.config != nil {
		return false, errkind.New(errkind.Internal, "offer to a process that has a configuration")
	}
	if r.offers == nil {
		r.offers = map[string]offer{}
	}
	if revision >= r.offers[peer].revision {
		r.offers[peer] = offer{revision, tree}
	}
	needed := min(2, max(configured, 1))
	var best offer
	for _, o := range r.offers {
		reached := 0
		for _, p := range r.offers {
			if p.revision >= o.revision {
				reached++
			}
		}
		if reached >= needed && o.revision > best.revision {
			best = o
		}
	}
	if best.revision == 0 {
		return false, nil
	}
	return r.ApplySnapshot(best.revision, best.tree)
}
