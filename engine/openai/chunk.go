package openai

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/internal/httpcall"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// maxEventBytes limits the size of one server-sent event, which carries one token.
const maxEventBytes = 64 << 10

const doneMarker = "[DONE]"

// chunk is one decoded event. offset and reportedTokens are -1 if absent.
type chunk struct {
	hasChoice      bool
	text           string
	finishReason   string
	offset         int64
	reportedTokens int64
	errorText      string
}

// parseChunk decodes one event. It uses gjson because it runs for every token and
// gjson needs no reflection.
func parseChunk(data string) (chunk, error) {
	c := chunk{offset: -1, reportedTokens: -1}
	if !gjson.Valid(data) {
		return c, errors.New("event is not JSON")
	}
	root := gjson.Parse(data)
	if !root.IsObject() {
		return c, errors.New("event is not a JSON object")
	}
	root.ForEach(func(key, value gjson.Result) bool {
		switch key.String() {
		case "choices":
			if first := value.Get("0"); first.IsObject() {
				c.hasChoice = true
				c.text = first.Get("text").String()
				c.finishReason = first.Get("finish_reason").String()
			}
		case "skylark":
			if o := value.Get("offset"); o.Type == gjson.Number {
				if c.offset = o.Int(); c.offset < 0 {
					c.errorText = "negative offset"
				}
			}
		case "usage":
			if n := value.Get("completion_tokens"); n.Type == gjson.Number {
				c.reportedTokens = max(0, n.Int())
			}
		case "error":
			if value.Type != gjson.Null {
				c.errorText = errorMessage(value)
			}
		}
		return true
	})
	return c, nil
}

// errorMessage returns the message of an error object, or its JSON text.
func errorMessage(v gjson.Result) string {
	if m := v.Get("message").String(); m != "" {
		return m
	}
	return v.Raw
}

// stream is the state of one streamed response.
type stream struct {
	emit           func(engine.Token) error
	resumed        bool
	next           int64 // the first offset that the caller doesn't have
	receivedEnd    int64 // one past the last offset received
	received       int64 // tokens received, with duplicates
	withoutOffsets bool  // the engine sends no offsets
	finishReason   string
	reportedTokens int64
}

// emitError marks an error of the caller's emit function.
type emitError struct{ error }

// readStream reads events until the end marker and emits the tokens from
// resumeOffset on. A stream without a finish reason and the end marker is truncated,
// which is an error.
func readStream(ctx context.Context, body io.Reader, resumeOffset int, emit func(engine.Token) error) (engine.Finish, error) {
	s := &stream{emit: emit, resumed: resumeOffset > 0, next: int64(resumeOffset), receivedEnd: int64(resumeOffset), reportedTokens: -1}
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return engine.Finish{}, httpcall.ConnectionError(ctx, err)
		}
		if ev.Data == doneMarker {
			return s.checkComplete()
		}
		if ev.Data == "" {
			continue
		}
		if err := s.handleEvent(ev.Data); err != nil {
			return engine.Finish{}, err
		}
	}
	if ctx.Err() != nil {
		return engine.Finish{}, errkind.From(ctx.Err())
	}
	return engine.Finish{}, errkind.New(errkind.BackendFailed, "stream ended at offset %d without its end marker", s.receivedEnd)
}

// handleEvent decodes one event and applies it.
func (s *stream) handleEvent(data string) error {
	c, err := parseChunk(data)
	if err != nil {
		return errkind.Wrap(err, errkind.BackendFailed, "decoding the event at offset %d", s.receivedEnd)
	}
	if c.errorText != "" {
		return errkind.New(errkind.BackendFailed, "engine failed at offset %d: %s", s.receivedEnd, c.errorText)
	}
	if c.reportedTokens >= 0 {
		s.reportedTokens = c.reportedTokens
	}
	if !c.hasChoice {
		return nil
	}
	// A chunk with a finish reason and no text carries no token.
	if c.text != "" || c.finishReason == "" {
		if err := s.handleToken(c); err != nil {
			return err
		}
	}
	if c.finishReason != "" {
		s.finishReason = c.finishReason
	}
	return nil
}

// handleToken checks the offset of a token and emits it, unless the caller already
// has it.
func (s *stream) handleToken(c chunk) error {
	if s.finishReason != "" {
		return errkind.New(errkind.BackendFailed, "token after the finish reason at offset %d", s.receivedEnd)
	}
	offset := c.offset
	if offset < 0 {
		// An engine that sends no offsets may ignore the resume fields and generate
		// from the start, which would duplicate text in the response.
		if s.resumed {
			return errkind.New(errkind.BackendFailed, "engine sends no offsets, so its stream cannot be resumed")
		}
		s.withoutOffsets = true
		offset = s.next
	}
	if offset > s.next {
		return errkind.New(errkind.BackendFailed, "received offset %d after %d tokens", offset, s.next)
	}
	s.received++
	s.receivedEnd = offset + 1
	if offset < s.next {
		return nil
	}
	s.next++
	if err := s.emit(engine.Token{Offset: int(offset), Text: c.text}); err != nil {
		return emitError{err}
	}
	return nil
}

// checkComplete checks that the stream is complete and returns its finish.
func (s *stream) checkComplete() (engine.Finish, error) {
	switch {
	case s.finishReason == "":
		return engine.Finish{}, errkind.New(errkind.BackendFailed, "stream ended at offset %d without a finish reason", s.receivedEnd)
	case s.receivedEnd < s.next:
		return engine.Finish{}, errkind.New(errkind.BackendFailed, "stream ended at offset %d before the resume offset %d", s.receivedEnd, s.next)
	case !s.withoutOffsets && s.received < s.reportedTokens:
		return engine.Finish{}, errkind.New(errkind.BackendFailed, "stream contained %d of %d tokens", s.received, s.reportedTokens)
	}
	return engine.Finish{Reason: s.finishReason, Tokens: int(s.next)}, nil
}
