package caller

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// DefaultCallDeadline is the time for a call that names none.
const DefaultCallDeadline = 30 * time.Second

// maxReplyBytes bounds the answer of a plain service.
const maxReplyBytes = 4 << 20

// CallRequest is one call to a plain service.
type CallRequest struct {
	Backend     string
	Operation   string
	ContentType string // empty for application/json
	Body        []byte
	// Idempotent says that the call may run more than once.
	Idempotent bool
	RequestID  string
	Deadline   time.Duration
}

// Reply is the complete answer of a plain service, whatever its status.
type Reply struct {
	Status      int
	Header      http.Header
	Body        []byte
	RequestID   string
	OperationID string
}

// Call sends a call to a plain service. An idempotent call is repeated at the
// next address after any failure of the way there. Another call is repeated
// only when it did not run, or under its operation id, which the server gives
// out for that. The error is an *AnswerError or a *CutError.
func (c *Client) Call(ctx context.Context, r CallRequest) (*Reply, error) {
	if r.Deadline == 0 {
		r.Deadline = DefaultCallDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	walk := &rounds{client: c}
	var operation string
	var last error = &CutError{DidRun: errkind.NotRun, cause: errors.New("no address is known")}
	for {
		base, ok := walk.next(ctx)
		if !ok {
			return nil, last
		}
		if !r.Idempotent && operation == "" {
			operation = c.operations.issue(ctx, c, base, r.Backend)
		}
		reply, err := c.callOnce(ctx, base, operation, &r)
		if err == nil {
			return reply, nil
		}
		last = worse(last, err)
		again, wait := r.mayRepeat(err, operation)
		if !again || ctx.Err() != nil || wait > 0 && pause(ctx, wait) != nil {
			return nil, last
		}
		if didRun(err) == errkind.NotRun {
			// The id is closed for good by an answer that it did not run.
			var answer *AnswerError
			if errors.As(err, &answer) {
				operation = ""
			}
		}
	}
}

// worse keeps an earlier failure whose outcome is not known: a later one that
// did not run does not make the call safe to repeat.
func worse(last, err error) error {
	if didRun(last) != errkind.NotRun && didRun(err) == errkind.NotRun {
		return last
	}
	return err
}

func didRun(err error) errkind.DidRun {
	var answer *AnswerError
	var cut *CutError
	switch {
	case errors.As(err, &answer):
		return answer.DidRun
	case errors.As(err, &cut):
		return cut.DidRun
	default:
		return errkind.Unknown
	}
}

// mayRepeat reports whether the call may be sent again, and after which wait.
func (r *CallRequest) mayRepeat(err error, operation string) (again bool, wait time.Duration) {
	safe := r.Idempotent || operation != "" || didRun(err) == errkind.NotRun
	var answer *AnswerError
	if !errors.As(err, &answer) {
		return safe, 0
	}
	if answer.elsewhere() {
		return safe, 0
	}
	return safe && answer.temporary(), answer.RetryAfter
}

func (c *Client) callOnce(ctx context.Context, base, operation string, r *CallRequest) (*Reply, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	if r.ContentType != "" {
		header.Set("Content-Type", r.ContentType)
	}
	if r.RequestID != "" {
		header.Set("X-Request-Id", r.RequestID)
	}
	if operation != "" {
		header.Set(operationIDHeader, operation)
	}
	header.Set("X-Deadline-Ms", strconv.FormatInt(remainingMs(ctx), 10))
	path := base + "/v1/services/" + url.PathEscape(r.Backend) + "/" + url.PathEscape(r.Operation)
	res, cut := c.send(ctx, http.MethodPost, path, header, r.Body)
	if cut != nil {
		return nil, cut
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return nil, &CutError{cause: err}
	}
	// A service may answer any status; only an error of the system has a kind.
	if answer := answerError(res.StatusCode, res.Header, body); res.StatusCode >= 400 &&
		answer.Kind != errkind.Unspecified && answer.RequestID != "" && answer.RequestID == res.Header.Get("X-Request-Id") {
		return nil, answer
	}
	return &Reply{
		Status: res.StatusCode, Header: res.Header, Body: body,
		RequestID: res.Header.Get("X-Request-Id"), OperationID: operation,
	}, nil
}

func remainingMs(ctx context.Context) int64 {
	deadline, _ := ctx.Deadline()
	return max(time.Until(deadline).Milliseconds(), 1)
}
