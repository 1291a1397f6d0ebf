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

// maxEventBytes bounds one server-sent event. A chunk carries one token.
const maxEventBytes = 64 << 10

const doneMarker = "[DONE]"

// chunk is one decoded event. Offset and Usage are -1 when absent.
type chunk struct {
	hasChoice bool
	text      string
	finish    string
	offset    int64
	usage     int64
	failure   string
}

// parseChunk decodes one event with gjson, which needs no reflection.
func parseChunk(data string) (chunk, error) {
	c := chunk{offset: -1, usage: -1}
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
				c.finish = first.Get("finish_reason").String()
			}
		case "skylark":
			if o := value.Get("offset"); o.Type == gjson.Number {
				if c.offset = o.Int(); c.offset < 0 {
					c.failure = "negative offset"
				}
			}
		case "usage":
			if n := value.Get("completion_tokens"); n.Type == gjson.Number {
				c.usage = max(0, n.Int())
			}
		case "error":
			if value.Type != gjson.Null {
				c.failure = errorMessage(value)
			}
		}
		return true
	})
	return c, nil
}

func errorMessage(v gjson.Result) string {
	if m := v.Get("message").String(); m != "" {
		return m
	}
	return v.Raw
}

// stream is the state of one answer.
type stream struct {
	emit     func(engine.Token) error
	resumed  bool
	next     int64 // the first offset that the caller doesn't have
	end      int64 // one past the last offset received
	received int64 // tokens received, with duplicates
	counted  bool  // the engine sends no offsets
	finish   string
	usage    int64
}

// emitError marks an error of the caller's emit function.
type emitError struct{ error }

// readStream reads events until the end marker. A stream without a finish
// reason and the marker is truncated and thus an error.
func readStream(ctx context.Context, body io.Reader, from int, emit func(engine.Token) error) (engine.Finish, error) {
	s := &stream{emit: emit, resumed: from > 0, next: int64(from), end: int64(from), usage: -1}
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return engine.Finish{}, httpcall.Broken(ctx, err)
		}
		if ev.Data == doneMarker {
			return s.close()
		}
		if ev.Data == "" {
			continue
		}
		if err := s.add(ev.Data); err != nil {
			return engine.Finish{}, err
		}
	}
	if ctx.Err() != nil {
		return engine.Finish{}, errkind.From(ctx.Err())
	}
	return engine.Finish{}, errkind.New(errkind.BackendFailed, "stream ended at offset %d without its end marker", s.end)
}

func (s *stream) add(data string) error {
	c, err := parseChunk(data)
	if err != nil {
		return errkind.Wrap(err, errkind.BackendFailed, "decoding the event at offset %d", s.end)
	}
	if c.failure != "" {
		return errkind.New(errkind.BackendFailed, "engine failed at offset %d: %s", s.end, c.failure)
	}
	if c.usage >= 0 {
		s.usage = c.usage
	}
	if !c.hasChoice {
		return nil
	}
	// A finish chunk without text carries no token.
	if c.text != "" || c.finish == "" {
		if err := s.token(c); err != nil {
			return err
		}
	}
	if c.finish != "" {
		s.finish = c.finish
	}
	return nil
}

func (s *stream) token(c chunk) error {
	if s.finish != "" {
		return errkind.New(errkind.BackendFailed, "token after the finish at offset %d", s.end)
	}
	offset := c.offset
	if offset < 0 {
		// An engine without offsets may ignore the resume fields and start
		// over, which would repeat text in the answer.
		if s.resumed {
			return errkind.New(errkind.BackendFailed, "engine sends no offsets, so its stream cannot be resumed")
		}
		s.counted = true
		offset = s.next
	}
	if offset > s.next {
		return errkind.New(errkind.BackendFailed, "offset %d follows %d tokens", offset, s.next)
	}
	s.received++
	s.end = offset + 1
	if offset < s.next {
		return nil
	}
	s.next++
	if err := s.emit(engine.Token{Offset: int(offset), Text: c.text}); err != nil {
		return emitError{err}
	}
	return nil
}

func (s *stream) close() (engine.Finish, error) {
	switch {
	case s.finish == "":
		return engine.Finish{}, errkind.New(errkind.BackendFailed, "stream ended at offset %d without a finish reason", s.end)
	case s.end < s.next:
		return engine.Finish{}, errkind.New(errkind.BackendFailed, "stream ended at offset %d before the resume offset %d", s.end, s.next)
	case !s.counted && s.received < s.usage:
		return engine.Finish{}, errkind.New(errkind.BackendFailed, "stream carried %d of %d tokens", s.received, s.usage)
	}
	return engine.Finish{Reason: s.finish, Tokens: int(s.next)}, nil
}
