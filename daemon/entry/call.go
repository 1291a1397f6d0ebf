package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/skylarkstep/skylarkstep/api/gen/callers"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// maxCallAttempts bounds the targets that one call is tried on.
const maxCallAttempts = 3

// Call passes a call through to a plain service.
func (s *callerService) Call(ctx context.Context, p *callers.CallPayload, body io.ReadCloser) (*callers.CallResult, io.ReadCloser, error) {
	snap, err := s.entry.ready()
	if err != nil {
		return nil, nil, err
	}
	backend, ok := snap.config.Backend(p.BackEnd)
	if !ok || backend.Kind != config.KindService {
		return nil, nil, errkind.New(errkind.UnknownBackend, "no plain service is named %q", p.BackEnd)
	}
	if p.OperationID != nil || p.IdempotencyKey != nil {
		return nil, nil, errkind.New(errkind.UnknownOperation, "operation ids and keys are not accepted by this version")
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.InvalidRequest, "read the body")
	}
	deadline := time.Now().Add(time.Duration(p.DeadlineMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &call{
		request: request{
			entry:    s.entry,
			id:       httpapi.StateFrom(ctx).RequestID,
			customer: customerFrom(ctx),
			backend:  backend.Name,
			deadline: deadline,
		},
		dispatch: &wirepb.Dispatch{
			Operation:  p.Operation,
			Idempotent: snap.config.IsIdempotent(backend.Name, p.Operation),
			Method:     http.MethodPost,
			Headers:    []*wirepb.Header{{Name: "Content-Type", Value: p.ContentType}},
			Body:       data,
		},
	}
	c.record(timeline.RequestReceived, nil, 0, nil)
	reply, err := c.run(ctx)
	c.record(timeline.RequestFinished, nil, 0, err)
	if err != nil {
		return nil, nil, err
	}
	httpapi.StateFrom(ctx).Status = int(reply.head.GetStatus())
	return &callers.CallResult{ContentType: reply.contentType(), RequestID: c.id}, io.NopCloser(bytes.NewReader(reply.body)), nil
}

// call is one call to a plain service.
type call struct {
	request
	dispatch *wirepb.Dispatch
}

type callReply struct {
	head *wirepb.ResponseHead
	body []byte
}

func (r *callReply) contentType() string {
	for _, h := range r.head.GetHeaders() {
		if http.CanonicalHeaderKey(h.GetName()) == "Content-Type" {
			return h.GetValue()
		}
	}
	return "application/octet-stream"
}

// run tries targets until one answers. A non-idempotent call is tried again
// only after an answer that it did not run.
func (c *call) run(ctx context.Context) (*callReply, error) {
	for {
		to, err := c.pick()
		if err != nil {
			return nil, err
		}
		reply, err := c.once(ctx, to)
		if err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			return nil, errkind.From(ctx.Err())
		}
		if !c.mayRetry(errkind.From(err)) {
			return nil, err
		}
	}
}

func (c *call) mayRetry(err *errkind.Error) bool {
	if c.attempts >= maxCallAttempts || !err.Kind.Answer().TryElsewhere {
		return false
	}
	return c.dispatch.GetIdempotent() || err.DidRun == errkind.NotRun
}

func (c *call) once(ctx context.Context, to *route) (*callReply, error) {
	a, err := c.start(ctx, to, c.dispatch)
	if err != nil {
		return nil, err
	}
	reply, err := a.readReply()
	a.end(err)
	return reply, err
}

func (a *attempt) readReply() (*callReply, error) {
	reply := &callReply{}
	for {
		f, err := a.recv()
		if err != nil {
			return nil, err
		}
		switch body := f.GetBody().(type) {
		case *wirepb.Frame_Head:
			reply.head = body.Head
		case *wirepb.Frame_Data:
			reply.body = append(reply.body, body.Data...)
		case *wirepb.Frame_End:
			return reply, nil
		}
	}
}
