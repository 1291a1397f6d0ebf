package node

import (
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// PullReply returns the message that brings a process with the revision from up
// to date. It holds deltas, or a snapshot if the deltas since that revision are
// no longer kept.
func PullReply(r *configsync.Replica, from uint64) *wirepb.Control {
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

// ApplyDeltas applies the reply to a pull. The result gap is true if deltas are
// missing and the complete tree must be pulled.
func ApplyDeltas(r *configsync.Replica, d *wirepb.Deltas) (changed, gap bool, err error) {
	if len(d.GetSnapshot()) > 0 {
		changed, err = r.ApplySnapshot(d.GetSnapshotRevision(), d.GetSnapshot())
		return changed, false, err
	}
	return r.ApplyDeltas(DecodeDeltas(d.GetDeltas()))
}

// DecodeDeltas converts the deltas of a message.
func DecodeDeltas(messages []*wirepb.Delta) []config.Delta {
	out := make([]config.Delta, 0, len(messages))
	for _, x := range messages {
		out = append(out, config.Delta{
			Revision: x.GetRevision(), EditID: x.GetEditId(), Author: x.GetAuthor(), Patch: x.GetPatch(), Digest: x.GetDigest(),
		})
	}
	return out
}
