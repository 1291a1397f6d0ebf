package target

import (
	"encoding/json"

	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// maxEventReply keeps a reply well below the largest message.
const maxEventReply = 4096

// serveEvents answers a query for events of the time line.
func (t *Target) serveEvents(st *wire.Stream, q *wirepb.EventQuery) {
	var f timeline.Filter
	if err := json.Unmarshal(q.GetFilter(), &f); err != nil {
		t.node.Log.Warn("event query refused", "error", err)
		return
	}
	batch, err := json.Marshal(t.node.Events.Query(&f, q.GetSince(), min(int(q.GetLimit()), maxEventReply)))
	if err != nil {
		t.node.Log.Error("encode events", "error", err)
		return
	}
	_ = st.Send(&wirepb.EventReply{Batch: batch})
}
