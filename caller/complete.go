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

// DefaultCompleteDeadline is the deadline of a generation that sets none.
const DefaultCompleteDeadline = 2 * time.Minute

// maxEventBytes limits the size of a server-sent event, which holds one token.
const maxEventBytes = 64 << 10

// CompleteRequest describes a text generation.
type CompleteRequest struct {
	Model     string
	Prompt    string
	MaxTokens int // zero for the default of the system
	Priority  int
	RequestID string
	// Deadline limits the generation with all its attempts. Zero selects
	// DefaultCompleteDeadline.
	Deadline time.Duration
}

// Token is one generated token with its position in the generated text.
type Token struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// Finish is the last event of a complete stream.
type Finish struct {
	Reason string `json:"finish_reason"`
	Tokens int    `json:"tokens"`
}

// Complete generates text and passes each token to emit, once and in order. When
// an entry fails or its stream is interrupted, the generation resumes at the next
// address, after the last token received. A nil error means that the text is
// complete. Otherwise the error is a *ResponseError, an *InterruptedError, or the
// error of emit.
func (c *Client) Complete(ctx context.Context, r CompleteRequest, emit func(Token) error) (Finish, error) {
	if r.Deadline == 0 {
		r.Deadline = DefaultCompleteDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	s := &completion{client: c, request: r, emit: emit}
	addresses := &addressRounds{client: c}
	var last error = &InterruptedError{DidRun: errkind.NotRun, cause: errors.New("no address is known")}
	for {
		base, ok := addresses.next(ctx)
		if !ok {
			return Finish{}, last
		}
		before := s.tokens
		finish, err := s.attempt(ctx, base)
		if err == nil {
			return finish, nil
		}
		last = err
		resume, wait := canResume(err)
		if !resume || ctx.Err() != nil || wait > 0 && pause(ctx, wait) != nil {
			return Finish{}, last
		}
		if s.tokens > before {
			// Only rounds without progress count towards maxRounds.
			addresses.round = min(addresses.round, 1)
		}
	}
}

// canResume reports whether the generation may be resumed after the error, and how
// long to wait before.
func canResume(err error) (resume bool, wait time.Duration) {
	var responseErr *ResponseError
	var interruptedErr *InterruptedError
	switch {
	case errors.As(err, &interruptedErr):
		return true, 0
	case !errors.As(err, &responseErr):
		return false, 0
	case responseErr.tryNextAddress():
		return true, 0
	default:
		return responseErr.temporary(), responseErr.RetryAfter
	}
}

// completion is the state of one generation: the tokens received so far and their
// text.
type completion struct {
	client  *Client
	request CompleteRequest
	emit    func(Token) error
	tokens  int
	text    strings.Builder
}

// attempt streams from one entry. A stream without data for noDataTimeout is
// handled like a broken connection.
func (s *completion) attempt(ctx context.Context, base string) (Finish, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	noDataTimer := time.AfterFunc(noDataTimeout, cancel)
	defer noDataTimer.Stop()
	body, err := s.requestBody(ctx)
	if err != nil {
		return Finish{}, err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if s.request.RequestID != "" {
		header.Set("X-Request-Id", s.request.RequestID)
	}
	res, sendErr := s.client.send(ctx, http.MethodPost, base+"/v1/completions", header, body)
	if sendErr != nil {
		sendErr.Tokens = s.tokens
		return Finish{}, sendErr
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Finish{}, readError(res)
	}
	for ev, err := range sse.Read(res.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return Finish{}, s.broken(err)
		}
		noDataTimer.Stop()
		finish, done, err := s.handleEvent(ev, res)
		if done || err != nil {
			return finish, err
		}
		noDataTimer.Reset(noDataTimeout)
	}
	return Finish{}, s.broken(errors.New("the stream ended without done or error"))
}

// broken returns the error for an attempt that was interrupted.
func (s *completion) broken(err error) error { return &InterruptedError{Tokens: s.tokens, cause: err} }

// requestBody returns the request for the tokens that are still missing.
func (s *completion) requestBody(ctx context.Context) ([]byte, error) {
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

// handleEvent processes one event of the stream. The result done is true after the
// last event. Tokens that were received before are skipped.
func (s *completion) handleEvent(ev sse.Event, res *http.Response) (finish Finish, done bool, err error) {
	data := []byte(ev.Data)
	switch ev.Type {
	case "error":
		return Finish{}, true, decodeError(res.StatusCode, res.Header, data)
	case "done":
		if err := json.Unmarshal(data, &finish); err != nil || finish.Tokens != s.tokens {
			return Finish{}, true, s.broken(errors.Errorf("done after %d tokens: %s", s.tokens, data))
		}
		return finish, true, nil
	}
	var t Token
	if err := json.Unmarshal(data, &t); err != nil {
		return Finish{}, true, s.broken(errors.Wrap(err, "decode a token"))
	}
	switch {
	case t.Offset > s.tokens:
		return Finish{}, true, s.broken(errors.Errorf("token %d follows %d tokens", t.Offset, s.tokens))
	case t.Offset < s.tokens:
		return Finish{}, false, nil
	case s.request.MaxTokens > 0 && s.tokens >= s.request.MaxTokens:
		return Finish{}, true, s.broken(errors.Errorf("more than %d tokens", s.request.MaxTokens))
	}
	s.tokens++
	s.text.WriteString(t.Text)
	return Finish{}, false, s.emit(t)
}
