package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/mirror"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// pullTimeout is how long the reply to a request for changes may take until another
// peer is asked.
const pullTimeout = 300 * time.Millisecond

// requestChanges asks a peer for the changes after a revision, unless a reply of
// another peer is awaited: all peers tell of a change at about the same time, and it
// may be large.
func (c *control) requestChanges(session *wire.Session, after int64, now time.Time) {
	if now.Before(c.pullPendingUntil) {
		return
	}
	c.pullPendingUntil = now.Add(pullTimeout)
	pull := &wirepb.StorePull{FromRevision: infra.RevisionNumber(after), FromEra: infra.Era(after)}
	c.sendAsync(session, &wirepb.PeerFrame{Body: &wirepb.PeerFrame_Pull{Pull: pull}})
}

// encodeDelta converts a delta to its message. All its revisions and leases are of
// one era, which the message holds once.
func encodeDelta(d mirror.Delta) *wirepb.StoreDelta {
	w := &wirepb.StoreDelta{Full: d.Full, Revision: infra.RevisionNumber(d.Revision), Era: infra.Era(d.Revision)}
	for _, it := range d.Items {
		w.Items = append(w.Items, &wirepb.StoreItem{
			Key: it.Key, Value: it.Value, ModRevision: infra.RevisionNumber(it.ModRevision), Lease: it.Lease.Number,
		})
	}
	for _, del := range d.Deleted {
		w.Deleted = append(w.Deleted, &wirepb.StoreItem{Key: del.Key, ModRevision: infra.RevisionNumber(del.Revision)})
	}
	return w
}

func decodeDelta(w *wirepb.StoreDelta) mirror.Delta {
	era := w.GetEra()
	d := mirror.Delta{Full: w.GetFull(), Revision: infra.NewRevision(era, w.GetRevision())}
	for _, it := range w.GetItems() {
		decoded := infra.Item{Key: it.GetKey(), Value: it.GetValue(), ModRevision: infra.NewRevision(era, it.GetModRevision())}
		if it.GetLease() != 0 {
			decoded.Lease = infra.LeaseID{Era: era, Number: it.GetLease()}
		}
		d.Items = append(d.Items, decoded)
	}
	for _, del := range w.GetDeleted() {
		d.Deleted = append(d.Deleted, mirror.Deletion{Key: del.GetKey(), Revision: infra.NewRevision(era, del.GetModRevision())})
	}
	return d
}
