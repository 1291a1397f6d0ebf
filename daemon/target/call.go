package target

import (
	"context"
	"net/http"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// call runs an idempotent call. Calls that may run only once go through
// serveOperation.
func (t *Target) call(ctx context.Context, st sink, d *wirepb.Dispatch, slot *slot) error {
	reply, err := t.service.Call(ctx, engineCall(d))
	if err != nil {
		return err
	}
	slot.status = reply.Status
	return sendReply(st, reply, uint64(t.node.Clock.Now()), false)
}

func engineCall(d *wirepb.Dispatch) engine.Call {
	header := http.Header{}
	for _, h := range d.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	return engine.Call{
		Method:      d.GetMethod(),
		Operation:   d.GetOperation(),
		Query:       d.GetQuery(),
		Header:      header,
		Body:        d.GetBody(),
		Idempotent:  d.GetIdempotent(),
		OperationID: d.GetOperationId(),
	}
}

func sendReply(st sink, reply engine.Reply, hlc uint64, replayed bool) error {
	for _, f := range []*wirepb.Frame{
		{Body: &wirepb.Frame_Head{Head: responseHead(reply.Status, reply.Header)}},
		{Body: &wirepb.Frame_Data{Data: reply.Body}},
		{Hlc: hlc, Body: &wirepb.Frame_End{End: &wirepb.End{FinishReason: "complete", Replayed: replayed}}},
	} {
		if err := st.Send(f); err != nil {
			return err
		}
	}
	return nil
}

func responseHead(status int, header http.Header) *wirepb.ResponseHead {
	head := &wirepb.ResponseHead{Status: uint32(status)}
	for name, values := range header {
		for _, v := range values {
			head.Headers = append(head.Headers, &wirepb.Header{Name: name, Value: v})
		}
	}
	return head
}
