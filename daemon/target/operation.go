package target

import (
	"context"
	"errors"
	"time"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// completionGrace is how long an operation may run past the deadline of its
// caller. Cancelling it at the deadline would make its outcome unknown, while a
// retry can fetch a response that arrives late.
const completionGrace = 10 * time.Second

// serveOperation runs a call under its operation id, or replays the response
// that is stored under the id. Every refusal closes the id first, so that
// not_run stays true even if another dispatch arrives later.
func (t *Target) serveOperation(ctx context.Context, st frameSender, d *wirepb.Dispatch) {
	id, err := atmostonce.ParseID(d.GetOperationId())
	if err != nil {
		t.refuse(st, d, errkind.Wrap(err, errkind.UnknownOperation, "dispatch").WithDidRun(errkind.Unknown))
		return
	}
	request := RequestOf(d)
	outcome, exec, err := t.operations.lookUp(id, request)
	replayed := true
	if err == nil && outcome.State == atmostonce.Absent {
		var refused error
		exec, refused = t.startOperation(ctx, st, d, id, request)
		replayed = refused != nil
		if refused != nil {
			if errors.Is(ctx.Err(), context.Canceled) {
				// The entry disconnected while the operation was queued. A retry
				// through another entry may run it.
				return
			}
			if t.operations.closeIfAbsent(id) == atmostonce.Closed {
				t.refuse(st, d, errkind.From(refused).WithDidRun(errkind.NotRun))
				return
			}
			// If the operation could not be closed, a retry has started it.
			outcome, exec, err = t.operations.lookUp(id, request)
		}
	}
	t.sendOutcome(ctx, st, d, outcome, exec, err, replayed)
}

// startOperation admits the operation and runs it independently of the stream,
// so that it completes even if the entry exits and the caller retries through
// another one.
func (t *Target) startOperation(
	ctx context.Context, st frameSender, d *wirepb.Dispatch, id atmostonce.ID, r atmostonce.Request,
) (*execution, error) {
	if err := t.admit(d); err != nil {
		return nil, err
	}
	_ = st.Send(&wirepb.Frame{Body: &wirepb.Frame_Accepted{Accepted: &wirepb.Accepted{Incarnation: t.node.Incarnation}}})
	slot, err := t.acquireSlot(ctx, d)
	if err != nil {
		t.work.End()
		return nil, err
	}
	exec, started := t.operations.begin(id, r)
	if !started {
		slot.release(errkind.New(errkind.Canceled, "not started"))
		t.work.End()
		return nil, errkind.New(errkind.OperationClosed, "operation %s was closed or started by another attempt", id)
	}
	go func() {
		defer t.work.End()
		t.execute(d, id, exec, slot)
	}()
	return exec, nil
}

func (t *Target) execute(d *wirepb.Dispatch, id atmostonce.ID, exec *execution, slot *slot) {
	timeout := time.Duration(d.GetRemainingMs())*time.Millisecond + completionGrace
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	t.recordEvent(timeline.BackendStarted, d, nil)
	call := engineCall(d)
	// The HTTP client retries idempotent calls on reused connections itself.
	call.Idempotent = false
	reply, err := t.service.Call(ctx, call)
	slot.serviceStatus = reply.Status
	slot.release(err)
	t.recordEvent(timeline.BackendFinished, d, err)
	t.operations.finish(id, exec, &atmostonce.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body}, err)
}

// sendOutcome waits for a running operation and sends its response or the
// reason why there is none.
func (t *Target) sendOutcome(
	ctx context.Context, st frameSender, d *wirepb.Dispatch, outcome atmostonce.Outcome, exec *execution, err error, replayed bool,
) {
	if err == nil && exec != nil {
		if replayed {
			// Without this frame the entry would take the waiting retry for a
			// stalled attempt.
			_ = st.Send(&wirepb.Frame{Body: &wirepb.Frame_Accepted{Accepted: &wirepb.Accepted{Incarnation: t.node.Incarnation}}})
		}
		select {
		case <-exec.done:
		case <-ctx.Done(): // the entry disconnected; the operation continues
			return
		}
		if exec.err != nil {
			t.refuse(st, d, exec.err)
			return
		}
		id, _ := atmostonce.ParseID(d.GetOperationId())
		outcome, _, err = t.operations.lookUp(id, RequestOf(d))
	}
	switch {
	case errors.Is(err, atmostonce.ErrRequestMismatch):
		t.refuse(st, d, errkind.Wrap(err, errkind.InvalidRequest, "operation id").WithDidRun(errkind.Unknown))
	case outcome.State == atmostonce.Finished:
		response := outcome.Response
		reply := engine.Response{Status: response.Status, Header: response.Header, Body: response.Body}
		_ = sendAll(st, replyFrames(reply, uint64(t.node.Clock.Now()), replayed))
	case outcome.State == atmostonce.Closed:
		t.refuse(st, d, errkind.New(errkind.OperationClosed, "the operation was closed before it ran; a new attempt needs a new id"))
	default:
		t.refuse(st, d, errkind.New(errkind.OperationUnknown, "the operation may have run; its response is not stored here"))
	}
}

// RequestOf returns the identity of a dispatch's request: its customer and a
// digest of everything that is sent to the back end.
func RequestOf(d *wirepb.Dispatch) atmostonce.Request {
	parts := [][]byte{[]byte(d.GetBackend()), []byte(d.GetOperation()), []byte(d.GetMethod()), []byte(d.GetQuery()), d.GetBody()}
	for _, h := range d.GetHeaders() {
		parts = append(parts, []byte(h.GetName()), []byte(h.GetValue()))
	}
	return atmostonce.Request{Customer: d.GetCustomer(), Digest: atmostonce.Digest(parts...)}
}

// serveOutcome replies with the outcome of an operation. It first closes an
// operation that has not started if the entry requests that.
func (t *Target) serveOutcome(st *wire.Stream, q *wirepb.Outcome) {
	reply := &wirepb.OutcomeReply{State: wirepb.OutcomeReply_STATE_UNKNOWN}
	if id, err := atmostonce.ParseID(q.GetOperationId()); err == nil {
		outcome := t.operations.outcomeFor(id, q)
		reply.State = outcomeStates[outcome.State]
		if response := outcome.Response; response != nil {
			reply.Head, reply.Data = responseHead(response.Status, response.Header), response.Body
		}
	}
	_ = st.Send(reply)
}

var outcomeStates = [...]wirepb.OutcomeReply_State{
	atmostonce.Absent:   wirepb.OutcomeReply_STATE_ABSENT,
	atmostonce.Closed:   wirepb.OutcomeReply_STATE_CLOSED,
	atmostonce.Running:  wirepb.OutcomeReply_STATE_RUNNING,
	atmostonce.Finished: wirepb.OutcomeReply_STATE_FINISHED,
	atmostonce.Unknown:  wirepb.OutcomeReply_STATE_UNKNOWN,
}
