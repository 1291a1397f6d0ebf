package node

import (
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// AnswerPull returns what a process that holds the revision lacks.
func AnswerPull(r *configsync.Replica, from uint64) *wirepb.Control {
	d := &wirepb.Deltas{}
	if list, ok := r.DeltasSince(from); ok {
		for _, x := range list {
			d.Deltas = append(d.Deltas, &wirepb.Delta{
				Revision: x.Revision, EditId: x.EditID, Author: x.Author, Patch: x.Patch, Digest: x.Digest,
			})
		}
	} else {
		d.Snapshot, d.SnapshotRevision = r.Tree(), r.Revision()
	}
	return &wirepb.Control{Body: &wirepb.Control_Deltas{Deltas: d}}
}

// TakeDeltas puts an answer to a pull into force. Gap says that the whole tree
// must be pulled.
func TakeDeltas(r *configsync.Replica, d *wirepb.Deltas) (changed, gap bool, err error) {
	if len(d.GetSnapshot()) > 0 {
		changed, err = r.ApplySnapshot(d.GetSnapshotRevision(), d.GetSnapshot())
		return changed, false, err
	}
	return r.ApplyDeltas(FromWire(d.GetDeltas()))
}

// FromWire returns the deltas of a message.
func FromWire(list []*wirepb.Delta) []config.Delta {
	out := make([]config.Delta, 0, len(list))
	for _, x := range list {
		out = append(out, config.Delta{
			Revision: x.GetRevision(), EditID: x.GetEditId(), Author: x.GetAuthor(), Patch: x.GetPatch(), Digest: x.GetDigest(),
		})
	}
	return out
}
