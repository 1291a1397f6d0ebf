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

// maxResponseBytes bounds the answer of a plain service.
const maxResponseBytes = 4 << 20

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

// CallResponse is the complete answer of a plain service, whatever its status.
type CallResponse struct {
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
func (c *Client) Call(ctx context.Context, r CallRequest) (*CallResponse, error) {
	if r.Deadline == 0 {
		r.Deadline = DefaultCallDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	addresses := &addressRounds{client: c}
	var operation string
	var last error = &InterruptedError{DidRun: errkind.NotRun, cause: errors.New("no address is known")}
	for {
		base, ok := addresses.next(ctx)
		if !ok {
			return nil, last
		}
		if !r.Idempotent && operation == "" {
			operation = c.operations.issue(ctx, c, base, r.Backend)
		}
		response, err := c.callOnce(ctx, base, operation, &r)
		if err == nil {
			return response, nil
		}
		last = leastCertain(last, err)
		retry, wait := r.canRetry(err, operation)
		if !retry || ctx.Err() != nil || wait > 0 && pause(ctx, wait) != nil {
			return nil, last
		}
		if didRun(err) == errkind.NotRun {
			// The id is closed for good by an answer that it did not run.
			var responseErr *ResponseError
			if errors.As(err, &responseErr) {
				operation = ""
			}
		}
	}
}

// leastCertain keeps an earlier failure whose outcome is not known: a later one that
// did not run does not make the call safe to repeat.
func leastCertain(last, err error) error {
	if didRun(last) != errkind.NotRun && didRun(err) == errkind.NotRun {
		return last
	}
	return err
}

func didRun(err error) errkind.DidRun {
	var responseErr *ResponseError
	var interruptedErr *InterruptedError
	switch {
	case errors.As(err, &responseErr):
		return responseErr.DidRun
	case errors.As(err, &interruptedErr):
		return interruptedErr.DidRun
	default:
		return errkind.Unknown
	}
}

// canRetry reports whether the call may be sent again, and after which wait.
func (r *CallRequest) canRetry(err error, operation string) (retry bool, wait time.Duration) {
	safe := r.Idempotent || operation != "" || didRun(err) == errkind.NotRun
	var responseErr *ResponseError
	if !errors.As(err, &responseErr) {
		return safe, 0
	}
	if responseErr.tryNextAddress() {
		return safe, 0
	}
	return safe && responseErr.temporary(), responseErr.RetryAfter
}

func (c *Client) callOnce(ctx context.Context, base, operation string, r *CallRequest) (*CallResponse, error) {
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
	target := base + "/v1/services/" + url.PathEscape(r.Backend) + "/" + url.PathEscape(r.Operation)
	res, sendErr := c.send(ctx, http.MethodPost, target, header, r.Body)
	if sendErr != nil {
		return nil, sendErr
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, &InterruptedError{cause: err}
	}
	// A service may answer any status; only an error of the system has a kind.
	if responseErr := decodeError(res.StatusCode, res.Header, body); res.StatusCode >= 400 &&
		responseErr.Kind != errkind.Unspecified && responseErr.RequestID != "" && responseErr.RequestID == res.Header.Get("X-Request-Id") {
		return nil, responseErr
	}
	return &CallResponse{
		Status: res.StatusCode, Header: res.Header, Body: body,
		RequestID: res.Header.Get("X-Request-Id"), OperationID: operation,
	}, nil
}

func remainingMs(ctx context.Context) int64 {
	deadline, _ := ctx.Deadline()
	return max(time.Until(deadline).Milliseconds(), 1)
}
