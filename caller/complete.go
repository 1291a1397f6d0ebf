package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// DefaultCompleteDeadline is the time for a generation that names none.
const DefaultCompleteDeadline = 2 * time.Minute

// maxEventBytes bounds one server-sent event, which carries one token.
const maxEventBytes = 64 << 10

// CompleteRequest asks for generated text.
type CompleteRequest struct {
	Model     string
	Prompt    string
	MaxTokens int
	Priority  int
	RequestID string
	Deadline  time.Duration
}

// Token is one generated token with its position in the answer.
type Token struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// Finish closes a complete answer.
type Finish struct {
	Reason string `json:"finish_reason"`
	Tokens int    `json:"tokens"`
}

// Complete generates text and hands each token to emit, once and in order. When
// an entry dies or its stream is cut, it goes on at the next address from the
// position reached. A nil error means that the answer is complete; otherwise
// the error is an *AnswerError, a *CutError, or the error of emit.
func (c *Client) Complete(ctx context.Context, r CompleteRequest, emit func(Token) error) (Finish, error) {
	if r.Deadline == 0 {
		r.Deadline = DefaultCompleteDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	s := &completion{client: c, request: r, emit: emit}
	walk := &rounds{client: c}
	var last error = &CutError{DidRun: errkind.NotRun, cause: errors.New("no address is known")}
	for {
		base, ok := walk.next(ctx)
		if !ok {
			return Finish{}, last
		}
		before := s.tokens
		finish, err := s.attempt(ctx, base)
		if err == nil {
			return finish, nil
		}
		last = err
		again, wait := mayContinue(err)
		if !again || ctx.Err() != nil || wait > 0 && pause(ctx, wait) != nil {
			return Finish{}, last
		}
		if s.tokens > before {
			walk.round = min(walk.round, 1)
		}
	}
}

// mayContinue reports whether the rest may be asked for, and after which wait.
func mayContinue(err error) (again bool, wait time.Duration) {
	var answer *AnswerError
	var cut *CutError
	switch {
	case errors.As(err, &cut):
		return true, 0
	case !errors.As(err, &answer):
		return false, 0
	case answer.elsewhere():
		return true, 0
	default:
		return answer.temporary(), answer.RetryAfter
	}
}

// completion is one generation with the tokens that the caller has.
type completion struct {
	client  *Client
	request CompleteRequest
	emit    func(Token) error
	tokens  int
	text    strings.Builder
}

// attempt streams from one entry. Silence ends it like a broken connection.
func (s *completion) attempt(ctx context.Context, base string) (Finish, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, cancel)
	defer silence.Stop()
	body, err := s.body(ctx)
	if err != nil {
		return Finish{}, err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if s.request.RequestID != "" {
		header.Set("X-Request-Id", s.request.RequestID)
	}
	res, cut := s.client.send(ctx, http.MethodPost, base+"/v1/completions", header, body)
	if cut != nil {
		cut.Tokens = s.tokens
		return Finish{}, cut
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Finish{}, readError(res)
	}
	for ev, err := range sse.Read(res.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return Finish{}, s.cut(err)
		}
		silence.Stop()
		finish, done, err := s.event(ev, res)
		if done || err != nil {
			return finish, err
		}
		silence.Reset(silenceTimeout)
	}
	return Finish{}, s.cut(errors.New("the stream ended without done or error"))
}

func (s *completion) cut(cause error) error { return &CutError{Tokens: s.tokens, cause: cause} }

func (s *completion) body(ctx context.Context) ([]byte, error) {
	b := map[string]any{
		"model": s.request.Model, "prompt": s.request.Prompt, "priority": s.request.Priority,
		"deadline_ms": remainingMs(ctx), "from_offset": s.tokens, "from_text": s.text.String(),
	}
	if s.request.MaxTokens > 0 {
		b["max_tokens"] = s.request.MaxTokens
	}
	data, err := json.Marshal(b)
	return data, errors.Wrap(err, "encode the request")
}

// event takes one event of the stream.
func (s *completion) event(ev sse.Event, res *http.Response) (finish Finish, done bool, err error) {
	data := []byte(ev.Data)
	switch ev.Type {
	case "error":
		return Finish{}, true, answerError(res.StatusCode, res.Header, data)
	case "done":
		if err := json.Unmarshal(data, &finish); err != nil || finish.Tokens != s.tokens {
			return Finish{}, true, s.cut(errors.Errorf("done after %d tokens: %s", s.tokens, data))
		}
		return finish, true, nil
	}
	var t Token
	if err := json.Unmarshal(data, &t); err != nil {
		return Finish{}, true, s.cut(errors.Wrap(err, "decode a token"))
	}
	switch {
	case t.Offset > s.tokens:
		return Finish{}, true, s.cut(errors.Errorf("token %d follows %d tokens", t.Offset, s.tokens))
	case t.Offset < s.tokens:
		return Finish{}, false, nil
	}
	s.tokens++
	s.text.WriteString(t.Text)
	return Finish{}, false, s.emit(t)
}
