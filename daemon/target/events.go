package target

import (
	"encoding/json"

	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// maxEventsPerReply keeps a reply well below the size limit of a message.
const maxEventsPerReply = 4096

// serveEvents replies to a query for events of the timeline.
func (t *Target) serveEvents(st *wire.Stream, q *wirepb.EventQuery) {
	var f timeline.Filter
	if err := json.Unmarshal(q.GetFilter(), &f); err != nil {
		t.node.Log.Warn("event query refused", "error", err)
		return
	}
	batch, err := json.Marshal(t.node.Events.Query(&f, q.GetSince(), min(int(q.GetLimit()), maxEventsPerReply)))
	if err != nil {
		t.node.Log.Error("encode events", "error", err)
		return
	}
	_ = st.Send(&wirepb.EventReply{Batch: batch})
}
