package target

import (
	"context"
	"net/http"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// call runs an idempotent call and returns the frames of its response. Calls
// that may run only once go through serveOperation.
func (t *Target) call(ctx context.Context, d *wirepb.Dispatch, slot *slot) ([]*wirepb.Frame, error) {
	reply, err := t.service.Call(ctx, engineCall(d))
	if err != nil {
		return nil, err
	}
	slot.serviceStatus = reply.Status
	return replyFrames(reply, uint64(t.node.Clock.Now()), false), nil
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

func replyFrames(reply engine.Response, hlc uint64, replayed bool) []*wirepb.Frame {
	return []*wirepb.Frame{
		{Body: &wirepb.Frame_Head{Head: responseHead(reply.Status, reply.Header)}},
		{Body: &wirepb.Frame_Data{Data: reply.Body}},
		{Hlc: hlc, Body: &wirepb.Frame_End{End: &wirepb.End{FinishReason: "complete", Replayed: replayed}}},
	}
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
