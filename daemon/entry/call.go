package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/skylarkstep/skylarkstep/api/gen/callers"
	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
	"github.com/skylarkstep/skylarkstep/retry"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// maxCallAttempts is the maximum number of attempts for one call.
const maxCallAttempts = 3

// Call forwards a call to a plain service and returns its complete response.
func (s *callerService) Call(ctx context.Context, p *callers.CallPayload, body io.ReadCloser) (*callers.CallResult, io.ReadCloser, error) {
	snap, err := s.entry.readySnapshot()
	if err != nil {
		return nil, nil, err
	}
	backend, err := snap.plainService(p.BackEnd)
	if err != nil {
		return nil, nil, err
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
			id:       httpapi.RequestStateFrom(ctx).RequestID,
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
	c.recordEvent(timeline.RequestReceived, nil, 0, nil)
	reply, err := c.run(ctx, p.OperationID, p.IdempotencyKey)
	if err == nil {
		err = reply.verify()
	}
	c.recordEvent(timeline.RequestFinished, nil, 0, err)
	if err != nil {
		return nil, nil, err
	}
	st := httpapi.RequestStateFrom(ctx)
	st.Status = int(reply.head.GetStatus())
	result := &callers.CallResult{ContentType: reply.contentType(), RequestID: c.id}
	if st.OperationID != "" {
		result.OperationID = &st.OperationID
	}
	if reply.replayed {
		replayed := "true"
		result.Replayed = &replayed
	}
	return result, io.NopCloser(bytes.NewReader(reply.body)), nil
}

// call is a request to a plain service.
type call struct {
	request
	dispatch *wirepb.Dispatch
}

type callReply struct {
	head     *wirepb.ResponseHead
	body     []byte
	replayed bool // the response of an earlier attempt under the same id
}

// verify returns an error if the reply has no status that HTTP defines. The caller would
// get a status of 0 as 200.
func (r *callReply) verify() error {
	if status := int(r.head.GetStatus()); !httpclient.IsFinalStatus(status) {
		return errkind.New(errkind.BackendFailed, "the response has the status %d", status)
	}
	return nil
}

func (r *callReply) contentType() string {
	for _, h := range r.head.GetHeaders() {
		if http.CanonicalHeaderKey(h.GetName()) == "Content-Type" {
			return h.GetValue()
		}
	}
	return "application/octet-stream"
}

// run executes the call in the way that prevents a second execution:
//   - with an operation id: at the target incarnation that the id names;
//   - idempotent operations: at any target, with retries and hedging;
//   - with an idempotency key: under the operation id that the key is bound to;
//   - otherwise: under an internal operation id for each attempt.
func (c *call) run(ctx context.Context, operationID, key *string) (*callReply, error) {
	switch {
	case operationID != nil && key != nil:
		return nil, errkind.New(errkind.InvalidRequest, "a call must not carry both Operation-Id and Idempotency-Key")
	case operationID != nil:
		id, err := parseOperationID(*operationID)
		if err != nil {
			return nil, err
		}
		if id.Backend != c.backend {
			return nil, errkind.New(errkind.UnknownOperation, "the operation id belongs to back end %q", id.Backend)
		}
		return c.runWithID(ctx, id)
	case c.dispatch.GetIdempotent():
		return c.runIdempotent(ctx)
	case key != nil:
		return c.runWithKey(ctx, *key)
	default:
		return c.runWithInternalID(ctx)
	}
}

// canRetry reports whether the call may be attempted again: another target may
// succeed, a second execution is excluded or harmless, and the limit of
// attempts and the retry budget allow it. If so, it takes the retry from the
// budget.
func (c *call) canRetry(err *errkind.Error) bool {
	return c.attempts < maxCallAttempts && retry.Retryable(err, c.dispatch.GetIdempotent()) && c.reserveRetry(err)
}

// readReply reads the frames of the attempt up to its end frame.
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
			reply.replayed = body.End.GetReplayed()
			return reply, nil
		}
	}
}
