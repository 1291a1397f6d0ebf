package target

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// ModelRequest is the body of a dispatch to a model engine.
type ModelRequest struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	ResumeText string `json:"resume_text,omitempty"`
}

// serveDispatch runs one attempt. The attempt is cancelled when the entry sends
// Cancel or closes the stream.
func (t *Target) serveDispatch(st *wire.Stream, d *wirepb.Dispatch) {
	t.node.Clock.Observe(timeline.Timestamp(d.GetHlc()))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.GetRemainingMs())*time.Millisecond)
	defer cancel()
	go cancelOnClose(st, cancel)
	t.serveAttempt(ctx, st, d)
}

// sink takes the frames of an attempt; it is the attempt's stream.
type sink interface {
	Send(m proto.Message) error
}

func (t *Target) serveAttempt(ctx context.Context, st sink, d *wirepb.Dispatch) {
	if err := t.admit(d); err != nil {
		t.refuse(st, d, err)
		return
	}
	defer t.work.End()
	if err := st.Send(&wirepb.Frame{Body: &wirepb.Frame_Accepted{
		Accepted: &wirepb.Accepted{Incarnation: t.node.Incarnation},
	}}); err != nil {
		return
	}
	slot, err := t.enter(ctx, d)
	if err != nil {
		t.refuse(st, d, err)
		return
	}
	t.record(timeline.BackendStarted, d, nil)
	if t.model != nil {
		err = t.generate(ctx, st, d, slot)
	} else {
		err = t.call(ctx, st, d, slot)
	}
	slot.leave(err)
	t.record(timeline.BackendFinished, d, err)
	if err != nil {
		_ = st.Send(failureFrame(errkind.From(err), t.revision(), uint64(t.node.Clock.Now())))
	}
}

// admit has the last word on whether work may start. Admitted work must call
// t.work.End.
func (t *Target) admit(d *wirepb.Dispatch) error {
	if !t.work.Begin() {
		return errkind.New(errkind.Leaving, "target %s is stopping", t.node.Name)
	}
	err := t.mayStart(d)
	if err != nil {
		t.work.End()
	}
	return err
}

func (t *Target) mayStart(d *wirepb.Dispatch) error {
	if d.GetTargetIncarnation() != t.node.Incarnation {
		return errkind.New(errkind.StaleIncarnation, "dispatch names incarnation %x, this is %x",
			d.GetTargetIncarnation(), t.node.Incarnation)
	}
	c := t.config.Load()
	if c == nil {
		return errkind.New(errkind.NotReady, "target %s has no configuration", t.node.Name)
	}
	self, ok := c.Target(t.node.Name)
	if !ok || self.Backend != t.settings.Target.Backend {
		return errkind.New(errkind.Leaving, "target %s is not in revision %d", t.node.Name, c.Revision)
	}
	if c.IsLeaving(self) {
		return errkind.New(errkind.Leaving, "target %s is leaving since revision %d", t.node.Name, c.Revision)
	}
	return nil
}

func (t *Target) refuse(st sink, d *wirepb.Dispatch, err error) {
	t.record(timeline.Refused, d, err)
	_ = st.Send(failureFrame(errkind.From(err), t.revision(), uint64(t.node.Clock.Now())))
}

func (t *Target) record(kind timeline.Kind, d *wirepb.Dispatch, err error) {
	e := timeline.Event{
		Kind:        kind,
		RequestID:   d.GetRequestId(),
		OperationID: d.GetOperationId(),
		Attempt:     d.GetAttempt(),
		Customer:    d.GetCustomer(),
		Backend:     d.GetBackend(),
		Target:      t.node.Name,
		Revision:    t.revision(),
	}
	if err != nil {
		k := errkind.From(err)
		e.Error, e.DidRun = k.Kind.String(), k.DidRun.String()
	}
	t.node.Events.Record(e)
}

// cancelOnClose ends the attempt when the entry cancels it or goes away. The
// entry sends nothing else after the dispatch. The write deadline ends a Send
// that waits for the window of a stream that nobody reads any more; closing a
// stream does not.
func cancelOnClose(st *wire.Stream, cancel context.CancelFunc) {
	var c wirepb.Cancel
	_ = st.Recv(&c)
	cancel()
	_ = st.SetWriteDeadline(time.Unix(1, 0))
}

func (t *Target) generate(ctx context.Context, st sink, d *wirepb.Dispatch, slot *slot) error {
	var req ModelRequest
	if err := json.Unmarshal(d.GetBody(), &req); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "body of the dispatch")
	}
	deadline, _ := ctx.Deadline()
	finish, err := t.model.Generate(ctx, engine.Generation{
		RequestID:    d.GetRequestId(),
		Model:        req.Model,
		Prompt:       req.Prompt,
		MaxTokens:    req.MaxTokens,
		Priority:     int(d.GetPriority()),
		Deadline:     time.Until(deadline), // what the queue has left
		ResumeOffset: int(d.GetResumeOffset()),
		ResumeText:   req.ResumeText,
	}, func(tok engine.Token) error {
		at := time.Now()
		err := st.Send(&wirepb.Frame{Body: &wirepb.Frame_Tokens{
			Tokens: &wirepb.Tokens{Offset: uint32(tok.Offset), Text: []string{tok.Text}},
		}})
		slot.sent(at, time.Since(at))
		if err != nil {
			return errkind.Wrap(err, errkind.Canceled, "the entry abandoned the attempt")
		}
		return nil
	})
	if err != nil {
		return err
	}
	return st.Send(&wirepb.Frame{
		Hlc:  uint64(t.node.Clock.Now()),
		Body: &wirepb.Frame_End{End: &wirepb.End{FinishReason: finish.Reason, Tokens: uint32(finish.Tokens)}},
	})
}

func (t *Target) call(ctx context.Context, st sink, d *wirepb.Dispatch, slot *slot) error {
	header := http.Header{}
	for _, h := range d.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	reply, err := t.service.Call(ctx, engine.Call{
		Method:      d.GetMethod(),
		Operation:   d.GetOperation(),
		Query:       d.GetQuery(),
		Header:      header,
		Body:        d.GetBody(),
		Idempotent:  d.GetIdempotent(),
		OperationID: d.GetOperationId(),
	})
	if err != nil {
		return err
	}
	slot.status = reply.Status
	return sendReply(st, reply, uint64(t.node.Clock.Now()))
}

func sendReply(st sink, reply engine.Reply, hlc uint64) error {
	head := &wirepb.ResponseHead{Status: uint32(reply.Status)}
	for name, values := range reply.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, &wirepb.Header{Name: name, Value: v})
		}
	}
	for _, f := range []*wirepb.Frame{
		{Body: &wirepb.Frame_Head{Head: head}},
		{Body: &wirepb.Frame_Data{Data: reply.Body}},
		{Hlc: hlc, Body: &wirepb.Frame_End{End: &wirepb.End{FinishReason: "complete"}}},
	} {
		if err := st.Send(f); err != nil {
			return err
		}
	}
	return nil
}

func failureFrame(e *errkind.Error, revision, hlc uint64) *wirepb.Frame {
	return &wirepb.Frame{Hlc: hlc, Body: &wirepb.Frame_Failure{Failure: &wirepb.Failure{
		Kind:         uint32(e.Kind),
		DidRun:       uint32(e.DidRun),
		Message:      e.Message,
		RetryAfterMs: uint64(e.RetryAfter.Milliseconds()),
		Revision:     revision,
	}}}
}
