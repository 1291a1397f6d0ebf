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

// completionGrace is how long an operation goes on after the deadline of its
// caller. Cutting it at the deadline would turn an answer that a repeat can
// fetch into an unknown one.
const completionGrace = 10 * time.Second

// serveOperation runs a call under its operation id, or repeats the answer that
// the id already has. Every refusal closes the id first, so that not_run stays
// true whatever dispatch arrives later.
func (t *Target) serveOperation(ctx context.Context, st sink, d *wirepb.Dispatch) {
	id, err := atmostonce.ParseID(d.GetOperationId())
	if err != nil {
		t.refuse(st, d, errkind.Wrap(err, errkind.UnknownOperation, "dispatch").WithDidRun(errkind.Unknown))
		return
	}
	request := RequestOf(d)
	known, x, err := t.operations.look(id, request)
	replayed := true
	if err == nil && known.State == atmostonce.Absent {
		var refused error
		x, refused = t.startOperation(ctx, st, d, id, request)
		replayed = refused != nil
		if refused != nil {
			if errors.Is(ctx.Err(), context.Canceled) {
				// The entry went away while the operation was queued. A repeat at
				// another entry may run it.
				return
			}
			if t.operations.close(id) == atmostonce.Closed {
				t.refuse(st, d, errkind.From(refused).WithDidRun(errkind.NotRun))
				return
			}
			// An operation that could not be closed was started by a repeat.
			known, x, err = t.operations.look(id, request)
		}
	}
	t.answerOperation(ctx, st, d, known, x, err, replayed)
}

// startOperation admits the operation and runs it apart from the stream, so
// that it completes when the entry dies and the caller repeats elsewhere.
func (t *Target) startOperation(
	ctx context.Context, st sink, d *wirepb.Dispatch, id atmostonce.ID, r atmostonce.Request,
) (*execution, error) {
	if err := t.admit(d); err != nil {
		return nil, err
	}
	_ = st.Send(&wirepb.Frame{Body: &wirepb.Frame_Accepted{Accepted: &wirepb.Accepted{Incarnation: t.node.Incarnation}}})
	slot, err := t.enter(ctx, d)
	if err != nil {
		t.work.End()
		return nil, err
	}
	x, started := t.operations.begin(id, r)
	if !started {
		slot.leave(errkind.New(errkind.Canceled, "not started"))
		t.work.End()
		return nil, errkind.New(errkind.OperationClosed, "operation %s was closed or started by another attempt", id)
	}
	go func() {
		defer t.work.End()
		t.execute(d, id, x, slot)
	}()
	return x, nil
}

func (t *Target) execute(d *wirepb.Dispatch, id atmostonce.ID, x *execution, slot *slot) {
	bound := time.Duration(d.GetRemainingMs())*time.Millisecond + completionGrace
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	t.record(timeline.BackendStarted, d, nil)
	call := engineCall(d)
	// The client repeats idempotent calls on reused connections by itself.
	call.Idempotent = false
	reply, err := t.service.Call(ctx, call)
	slot.status = reply.Status
	slot.leave(err)
	t.record(timeline.BackendFinished, d, err)
	t.operations.end(id, x, &atmostonce.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body}, err)
}

// answerOperation waits for a running operation and sends what is known.
func (t *Target) answerOperation(
	ctx context.Context, st sink, d *wirepb.Dispatch, known atmostonce.Outcome, x *execution, err error, replayed bool,
) {
	if err == nil && x != nil {
		if replayed {
			// A repeat that waits is not a stalled attempt.
			_ = st.Send(&wirepb.Frame{Body: &wirepb.Frame_Accepted{Accepted: &wirepb.Accepted{Incarnation: t.node.Incarnation}}})
		}
		select {
		case <-x.done:
		case <-ctx.Done(): // the entry went away; the operation goes on
			return
		}
		if x.err != nil {
			t.refuse(st, d, x.err)
			return
		}
		id, _ := atmostonce.ParseID(d.GetOperationId())
		known, _, err = t.operations.look(id, RequestOf(d))
	}
	switch {
	case errors.Is(err, atmostonce.ErrRequestMismatch):
		t.refuse(st, d, errkind.Wrap(err, errkind.InvalidRequest, "operation id").WithDidRun(errkind.Unknown))
	case known.State == atmostonce.Finished:
		a := known.Response
		reply := engine.Reply{Status: a.Status, Header: a.Header, Body: a.Body}
		_ = sendAll(st, replyFrames(reply, uint64(t.node.Clock.Now()), replayed))
	case known.State == atmostonce.Closed:
		t.refuse(st, d, errkind.New(errkind.OperationClosed, "the operation was closed before it ran; a new attempt needs a new id"))
	default:
		t.refuse(st, d, errkind.New(errkind.OperationUnknown, "the operation may have run; its answer is not kept here"))
	}
}

// RequestOf identifies the request of a dispatch by all that the back end sees
// of it.
func RequestOf(d *wirepb.Dispatch) atmostonce.Request {
	parts := [][]byte{[]byte(d.GetBackend()), []byte(d.GetOperation()), []byte(d.GetMethod()), []byte(d.GetQuery()), d.GetBody()}
	for _, h := range d.GetHeaders() {
		parts = append(parts, []byte(h.GetName()), []byte(h.GetValue()))
	}
	return atmostonce.Request{Customer: d.GetCustomer(), Digest: atmostonce.Digest(parts...)}
}

// serveOutcome tells what became of an operation, and closes it first if the
// entry asks for that and it has not started.
func (t *Target) serveOutcome(st *wire.Stream, q *wirepb.Outcome) {
	reply := &wirepb.OutcomeReply{State: wirepb.OutcomeReply_STATE_UNKNOWN}
	if id, err := atmostonce.ParseID(q.GetOperationId()); err == nil {
		known := t.operations.outcome(id, q)
		reply.State = outcomeStates[known.State]
		if a := known.Response; a != nil {
			reply.Head, reply.Data = responseHead(a.Status, a.Header), a.Body
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
