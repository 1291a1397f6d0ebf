package target

import (
	"context"
	"encoding/json"
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

// serveDispatch runs one attempt. It cancels the attempt when the entry sends
// Cancel or closes the stream.
func (t *Target) serveDispatch(st *wire.Stream, d *wirepb.Dispatch) {
	t.node.Clock.Observe(timeline.Timestamp(d.GetHlc()))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.GetRemainingMs())*time.Millisecond)
	defer cancel()
	go cancelOnClose(st, cancel)
	t.serveAttempt(ctx, st, d)
}

// frameSender sends the frames of an attempt. Outside tests it is a wire.Stream.
type frameSender interface {
	Send(m proto.Message) error
}

// serveAttempt queues an attempt, runs it and sends the frames of its response.
// Calls that may run only once go through serveOperation.
func (t *Target) serveAttempt(ctx context.Context, st frameSender, d *wirepb.Dispatch) {
	if t.service != nil && (!d.GetIdempotent() || d.GetOperationId() != "") {
		t.serveOperation(ctx, st, d)
		return
	}
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
	slot, err := t.acquireSlot(ctx, d)
	if err != nil {
		t.refuse(st, d, err)
		return
	}
	t.recordEvent(timeline.BackendStarted, d, nil)
	var finalFrames []*wirepb.Frame
	if t.model != nil {
		finalFrames, err = t.generate(ctx, st, d, slot)
	} else {
		finalFrames, err = t.call(ctx, d, slot)
	}
	slot.release(err)
	t.recordEvent(timeline.BackendFinished, d, err)
	if err != nil {
		finalFrames = []*wirepb.Frame{failureFrame(errkind.From(err), t.revision(), uint64(t.node.Clock.Now()))}
	}
	_ = sendAll(st, finalFrames)
}

// sendAll sends the frames that end a response. Callers first record the event
// that the back end has finished, so that the entry's events follow that one.
func sendAll(st frameSender, frames []*wirepb.Frame) error {
	if s, ok := st.(*wire.Stream); ok {
		return wire.SendAll(s, frames)
	}
	for _, f := range frames {
		if err := st.Send(f); err != nil {
			return err
		}
	}
	return nil
}

// admit decides whether an attempt may enter the queue. The caller must call
// t.work.End when admitted work is done.
func (t *Target) admit(d *wirepb.Dispatch) error {
	if !t.work.Begin() {
		return errkind.New(errkind.Leaving, "target %s is stopping", t.node.Name)
	}
	err := t.checkStart(d)
	if err != nil {
		t.work.End()
	}
	return err
}

// checkStart returns an error if the active configuration or the incarnation that
// the dispatch names rules out a start of the attempt.
func (t *Target) checkStart(d *wirepb.Dispatch) error {
	if d.GetTargetIncarnation() != t.node.Incarnation {
		return errkind.New(errkind.StaleIncarnation, "dispatch is for incarnation %x, this process is incarnation %x",
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

func (t *Target) refuse(st frameSender, d *wirepb.Dispatch, err error) {
	t.recordEvent(timeline.Refused, d, err)
	_ = st.Send(failureFrame(errkind.From(err), t.revision(), uint64(t.node.Clock.Now())))
}

func (t *Target) recordEvent(kind timeline.Kind, d *wirepb.Dispatch, err error) {
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

// cancelOnClose cancels the attempt when the entry cancels it or disconnects.
// The entry sends nothing else after the dispatch. The write deadline interrupts
// a Send that waits for the window of a stream that is no longer read; closing
// the stream does not interrupt it.
func cancelOnClose(st *wire.Stream, cancel context.CancelFunc) {
	var c wirepb.Cancel
	_ = st.Recv(&c)
	cancel()
	_ = st.SetWriteDeadline(time.Unix(1, 0))
}

// generate streams the tokens and returns the frame that ends the response.
func (t *Target) generate(ctx context.Context, st frameSender, d *wirepb.Dispatch, slot *slot) ([]*wirepb.Frame, error) {
	var req ModelRequest
	if err := json.Unmarshal(d.GetBody(), &req); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "decode the body of the dispatch")
	}
	deadline, _ := ctx.Deadline()
	sender := newTokenSender(st)
	finish, err := t.model.Generate(ctx, engine.Generation{
		RequestID:    d.GetRequestId(),
		Model:        req.Model,
		Prompt:       req.Prompt,
		MaxTokens:    req.MaxTokens,
		Priority:     int(d.GetPriority()),
		Deadline:     time.Until(deadline), // what remains after the time in the queue
		ResumeOffset: int(d.GetResumeOffset()),
		ResumeText:   req.ResumeText,
	}, func(tok engine.Token) error {
		at := time.Now()
		err := sender.add(tok)
		slot.recordToken(at, time.Since(at))
		if err != nil {
			return errkind.Wrap(err, errkind.Canceled, "the entry abandoned the attempt")
		}
		return nil
	})
	// The frame that ends the response must follow its tokens.
	if sendErr := sender.close(); err == nil && sendErr != nil {
		err = errkind.Wrap(sendErr, errkind.Canceled, "the entry abandoned the attempt")
	}
	if err != nil {
		return nil, err
	}
	return []*wirepb.Frame{{
		Hlc:  uint64(t.node.Clock.Now()),
		Body: &wirepb.Frame_End{End: &wirepb.End{FinishReason: finish.Reason, Tokens: uint32(finish.Tokens)}},
	}}, nil
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
