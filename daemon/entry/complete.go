package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/skylarkstep/skylarkstep/api/gen/callers"
	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/daemon/target"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Limits of the attempts of one generation.
const (
	// maxModelAttempts is the maximum number of consecutive attempts that return
	// no token.
	maxModelAttempts = 3
	// maxStreamAttempts is the maximum number of all attempts. It prevents targets
	// that fail after a few tokens each from multiplying the prefill work of a
	// long response.
	maxStreamAttempts = 6
)

// callerWriteTimeout is the time without progress after which a response to a
// caller that does not read is aborted.
const callerWriteTimeout = 30 * time.Second

// generation is a model request and the state of its response.
type generation struct {
	request
	body         target.ModelRequest
	payload      *callers.CompletePayload
	offset       int             // number of tokens that the caller has
	text         strings.Builder // text of these tokens
	attempt      *attempt
	pendingFrame *wirepb.Frame
	out          *eventWriter // nil until WriteTo is called
	// failures counts the attempts that failed since the last one that returned a
	// token, including that one. lastFailure is the error of the most recent
	// attempt.
	failures    int
	lastFailure error
	// startOffset is the token offset at which the current attempt began, and
	// currentTarget its target.
	startOffset   int
	currentTarget string
	cancel        context.CancelFunc
	ctx           context.Context
}

// Complete generates text. It returns only when the first token has arrived, so
// that a request that fails earlier gets an error response with its own HTTP
// status.
func (s *callerService) Complete(ctx context.Context, p *callers.CompletePayload) (*callers.CompleteResult, io.ReadCloser, error) {
	snap, err := s.entry.readySnapshot()
	if err != nil {
		return nil, nil, err
	}
	backend, ok := snap.config.BackendForModel(p.Model)
	if !ok {
		return nil, nil, errkind.New(errkind.UnknownModel, "no back end serves model %q", p.Model)
	}
	deadline := time.Now().Add(time.Duration(p.DeadlineMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	g := &generation{
		request: request{
			entry:      s.entry,
			id:         httpapi.RequestStateFrom(ctx).RequestID,
			customer:   customerFrom(ctx),
			backend:    backend.Name,
			deadline:   deadline,
			maxTokens:  p.MaxTokens,
			prefixHash: prefixHash(p.Prompt),
		},
		body:    target.ModelRequest{Model: p.Model, Prompt: p.Prompt, MaxTokens: p.MaxTokens},
		payload: p,
		offset:  p.FromOffset,
		cancel:  cancel,
		ctx:     ctx,
	}
	g.text.WriteString(p.FromText)
	g.recordEvent(timeline.RequestReceived, nil, 0, nil)
	if err := g.nextFrame(); err != nil {
		g.finish(err)
		return nil, nil, err
	}
	return &callers.CompleteResult{ContentType: "text/event-stream", RequestID: g.id}, g, nil
}

// nextFrame stores the next frame of the response in pendingFrame. When an
// attempt fails, it starts further ones while that can help.
func (g *generation) nextFrame() error {
	for {
		if g.attempt == nil {
			if err := g.startAttempt(); err != nil {
				return err
			}
		}
		f, err := g.attempt.recv()
		if err == nil {
			err = g.checkFrame(f)
		}
		if err == nil {
			if f.GetAccepted() != nil {
				continue
			}
			g.pendingFrame = f
			return nil
		}
		if g.ctx.Err() != nil {
			err = errkind.From(g.ctx.Err())
		}
		g.attempt.end(err)
		g.attempt = nil
		if g.out != nil {
			// The next attempt may take seconds until its first token.
			g.out.flush()
		}
		if !g.shouldContinue(err) {
			return g.finalError(err)
		}
	}
}

// checkFrame rejects a frame that would leave a gap in the response or end it
// too early.
func (g *generation) checkFrame(frame *wirepb.Frame) error {
	switch body := frame.GetBody().(type) {
	case *wirepb.Frame_Tokens:
		if int(body.Tokens.GetOffset()) > g.offset {
			return errkind.New(errkind.BackendFailed, "received token %d after %d tokens", body.Tokens.GetOffset(), g.offset)
		}
	case *wirepb.Frame_End:
		if int(body.End.GetTokens()) != g.offset {
			return errkind.New(errkind.BackendFailed, "response of %d tokens ended after %d", body.End.GetTokens(), g.offset)
		}
	}
	return nil
}

// shouldContinue counts the failure of an attempt and reports whether to start
// another one.
func (g *generation) shouldContinue(err error) bool {
	if g.offset > g.startOffset {
		// Targets that failed before the last token may have recovered.
		g.failures = 0
		g.triedTargets = map[string]bool{g.currentTarget: true}
	}
	g.failures++
	g.lastFailure = err
	g.recordFailure(errkind.From(err))
	g.mayHaveRun = g.mayHaveRun || g.offset > g.startOffset
	if g.ctx.Err() != nil || !errkind.KindOf(err).Response().FailOver ||
		g.failures >= maxModelAttempts || g.attempts >= maxStreamAttempts {
		return false
	}
	// A response that has made progress is continued regardless of the retry
	// budget, since the work done for it would be lost.
	return g.offset > g.startOffset || g.reserveRetry(errkind.From(err))
}

func (g *generation) startAttempt() error {
	for {
		to, err := g.pickTarget()
		if err != nil {
			if g.lastFailure != nil && errkind.KindOf(err) == errkind.NoTarget {
				err = g.lastFailure
			}
			return g.finalError(err)
		}
		g.startOffset = g.offset
		g.currentTarget = to.name
		d, err := g.newDispatch()
		if err != nil {
			return err
		}
		a, err := g.beginAttempt(g.ctx, to, d)
		if err == nil {
			a.stallDetector.streamsTokens = true
			g.attempt = a
			return nil
		}
		if !g.shouldContinue(err) {
			return g.finalError(err)
		}
	}
}

// newDispatch returns a dispatch for the rest of the response, from the offset
// that the caller has reached.
func (g *generation) newDispatch() (*wirepb.Dispatch, error) {
	g.body.ResumeText = g.text.String()
	body, err := json.Marshal(g.body)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "encode the request")
	}
	return &wirepb.Dispatch{
		Idempotent:     true,
		Priority:       int32(g.payload.Priority),
		ResumeOffset:   uint32(g.offset),
		ExpectedTokens: uint32(g.payload.MaxTokens),
		Body:           body,
	}, nil
}

// finalError returns the error of the request after that of its last attempt. It
// adds a retry-after time if a target may be able to serve the request later.
func (g *generation) finalError(err error) error {
	e := g.withTrueDidRun(errkind.From(err))
	if e.RetryAfter == 0 && e.Kind.Response().FailOver {
		return e.WithRetryAfter(retryAfter())
	}
	return e
}

// WriteTo streams the response as server-sent events. The last event is done or
// error; a stream without either was interrupted. WriteTo returns no error,
// since a failure is part of the response.
func (g *generation) WriteTo(w io.Writer) (int64, error) {
	out := newEventWriter(w)
	g.out = out
	err := g.stream(out)
	if out.err != nil {
		err = errkind.Wrap(out.err, errkind.Canceled, "write to the caller")
	} else if err != nil {
		out.failure(httpapi.NewErrorResponse(err, g.id))
		out.flush()
	}
	g.finish(err)
	return out.written, nil
}

// stream writes the frames of the response until its end frame.
func (g *generation) stream(out *eventWriter) error {
	for out.err == nil {
		switch body := g.pendingFrame.GetBody().(type) {
		case *wirepb.Frame_Tokens:
			g.emit(out, body.Tokens)
			// Tokens that have already arrived share a write.
			if !g.attempt.stream.Buffered() || len(out.buf) > maxEventBuffer {
				out.flush()
			}
		case *wirepb.Frame_End:
			out.done(body.End.GetFinishReason(), g.offset)
			out.flush()
			return nil
		}
		if err := g.nextFrame(); err != nil {
			return err
		}
	}
	return nil
}

// emit writes the tokens that the caller does not have yet.
func (g *generation) emit(out *eventWriter, t *wirepb.Tokens) {
	for i, text := range t.GetText() {
		if int(t.GetOffset())+i != g.offset {
			continue
		}
		out.token(g.offset, text)
		g.text.WriteString(text)
		g.offset++
	}
}

func (g *generation) finish(err error) {
	if g.attempt != nil {
		g.attempt.end(err)
		g.attempt = nil
	}
	g.recordEvent(timeline.RequestFinished, nil, 0, err)
	g.cancel()
}

// Read implements io.Reader, which goa requires. It returns no data: the
// response is written by WriteTo.
func (g *generation) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer. It cancels the generation.
func (g *generation) Close() error {
	g.cancel()
	return nil
}

// maxEventBuffer is the number of buffered bytes above which events are
// written.
const maxEventBuffer = 16 << 10

// eventWriter buffers server-sent events until flush writes them.
type eventWriter struct {
	w          io.Writer
	controller *http.ResponseController
	buf        []byte
	written    int64
	err        error
}

func newEventWriter(w io.Writer) *eventWriter {
	e := &eventWriter{w: w}
	if rw, ok := w.(http.ResponseWriter); ok {
		e.controller = http.NewResponseController(rw)
	}
	return e
}

type tokenEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

type doneEvent struct {
	FinishReason string `json:"finish_reason"`
	Tokens       int    `json:"tokens"`
}

func (e *eventWriter) token(offset int, text string) { e.event("", tokenEvent{offset, text}) }

func (e *eventWriter) done(reason string, tokens int) { e.event("done", doneEvent{reason, tokens}) }

func (e *eventWriter) failure(a *httpapi.ErrorResponse) { e.event("error", a) }

func (e *eventWriter) event(name string, v any) {
	if e.err != nil {
		return
	}
	data, err := json.Marshal(v)
	if err != nil {
		e.err = err
		return
	}
	if name != "" {
		e.buf = append(append(append(e.buf, "event: "...), name...), '\n')
	}
	e.buf = append(append(append(e.buf, "data: "...), data...), "\n\n"...)
}

// flush writes the buffered events to the caller.
func (e *eventWriter) flush() {
	if e.err != nil || len(e.buf) == 0 {
		return
	}
	if e.controller != nil {
		_ = e.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	}
	n, err := e.w.Write(e.buf)
	e.buf = e.buf[:0]
	e.written += int64(n)
	if err == nil && e.controller != nil {
		err = e.controller.Flush()
	}
	e.err = err
}
