package node

import (
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// PullReply returns what a process that holds the revision lacks.
func PullReply(r *configsync.Replica, from uint64) *wirepb.Control {
	d := &wirepb.Deltas{}
	if list, ok := r.Since(from); ok {
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

// ApplyDeltas puts an answer to a pull into force. Gap says that the whole tree
// must be pulled.
func ApplyDeltas(r *configsync.Replica, d *wirepb.Deltas) (changed, gap bool, err error) {
	if len(d.GetSnapshot()) > 0 {
		changed, err = r.Snapshot(d.GetSnapshotRevision(), d.GetSnapshot())
		return changed, false, err
	}
	return r.Deltas(DecodeDeltas(d.GetDeltas()))
}

// DecodeDeltas returns the deltas of a message.
func DecodeDeltas(list []*wirepb.Delta) []config.Delta {
	out := make([]config.Delta, 0, len(list))
	for _, x := range list {
		out = append(out, config.Delta{
			Revision: x.GetRevision(), EditID: x.GetEditId(), Author: x.GetAuthor(), Patch: x.GetPatch(), Digest: x.GetDigest(),
		})
	}
	return out
}
