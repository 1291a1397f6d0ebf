package caller

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

// DefaultCallDeadline is the deadline of a call that sets none.
const DefaultCallDeadline = 30 * time.Second

// maxResponseBytes limits the response of a plain service.
const maxResponseBytes = 4 << 20

// CallRequest describes a call to a plain service.
type CallRequest struct {
	Backend     string
	Operation   string
	ContentType string // empty for application/json
	Body        []byte
	// Idempotent allows the call to run more than once.
	Idempotent bool
	RequestID  string
	// Deadline limits the call with all its attempts. Zero selects
	// DefaultCallDeadline.
	Deadline time.Duration
}

// CallResponse is the complete response of a plain service, whatever its status.
type CallResponse struct {
	Status      int
	Header      http.Header
	Body        []byte
	RequestID   string
	OperationID string
}

// Call sends a call to a plain service. An idempotent call is retried at the next
// address after any failure between caller and service. A non-idempotent call is
// retried only if it did not run, or under an operation id, which the server
// issues for this purpose. The error is a *ResponseError or an *InterruptedError.
func (c *Client) Call(ctx context.Context, r CallRequest) (*CallResponse, error) {
	if r.Deadline == 0 {
		r.Deadline = DefaultCallDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	addresses := &addressRounds{client: c}
	var operationID string
	var last error = &InterruptedError{DidRun: errkind.NotRun, cause: errors.New("no address is known")}
	for {
		base, ok := addresses.next(ctx)
		if !ok {
			return nil, last
		}
		if !r.Idempotent && operationID == "" {
			operationID = c.operations.issue(ctx, c, base, r.Backend)
		}
		response, err := c.callOnce(ctx, base, operationID, &r)
		if err == nil {
			return response, nil
		}
		last = leastCertain(last, err)
		retry, wait := r.canRetry(err, operationID)
		if !retry || ctx.Err() != nil || wait > 0 && pause(ctx, wait) != nil {
			return nil, last
		}
		if didRun(err) == errkind.NotRun {
			// After reporting that the call did not run, the server never runs a call
			// under this id, so that a retry needs a new one.
			var responseErr *ResponseError
			if errors.As(err, &responseErr) {
				operationID = ""
			}
		}
	}
}

// leastCertain returns the error to report after two failed attempts. If the first
// attempt may have run, its error is kept when the second did not run, because the
// call as a whole is not safe to retry.
func leastCertain(last, err error) error {
	if didRun(last) != errkind.NotRun && didRun(err) == errkind.NotRun {
		return last
	}
	return err
}

// didRun returns whether the call of a failed attempt ran.
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

// canRetry reports whether the call may be sent again after the error, and how
// long to wait before. The operation id is empty if the call has none.
func (r *CallRequest) canRetry(err error, operationID string) (retry bool, wait time.Duration) {
	safe := r.Idempotent || operationID != "" || didRun(err) == errkind.NotRun
	var responseErr *ResponseError
	if !errors.As(err, &responseErr) {
		return safe, 0
	}
	if responseErr.tryNextAddress() {
		return safe, 0
	}
	return safe && responseErr.temporary(), responseErr.RetryAfter
}

// callOnce sends the call to one address.
func (c *Client) callOnce(ctx context.Context, base, operationID string, r *CallRequest) (*CallResponse, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	if r.ContentType != "" {
		header.Set("Content-Type", r.ContentType)
	}
	if r.RequestID != "" {
		header.Set("X-Request-Id", r.RequestID)
	}
	if operationID != "" {
		header.Set(operationIDHeader, operationID)
	}
	header.Set("X-Deadline-Ms", strconv.FormatInt(remainingMs(ctx), 10))
	target := base + "/v1/services/" + url.PathEscape(r.Backend) + "/" + url.PathEscape(r.Operation)
	res, sendErr := c.send(ctx, http.MethodPost, target, header, r.Body)
	if sendErr != nil {
		return nil, sendErr
	}
	defer func() { _ = res.Body.Close() }()
	body, err := httpclient.ReadLimited(res.Body, maxResponseBytes)
	if err != nil {
		return nil, &InterruptedError{cause: err}
	}
	// A service may respond with any status. Only the body of a skylarkstep error has
	// a kind and the request id of the header.
	if responseErr := decodeError(res.StatusCode, res.Header, body); res.StatusCode >= 400 &&
		responseErr.Kind != errkind.Unspecified && responseErr.RequestID != "" && responseErr.RequestID == res.Header.Get("X-Request-Id") {
		return nil, responseErr
	}
	return &CallResponse{
		Status: res.StatusCode, Header: res.Header, Body: body,
		RequestID: res.Header.Get("X-Request-Id"), OperationID: operationID,
	}, nil
}

// remainingMs returns the time until the deadline of ctx, at least 1 ms.
func remainingMs(ctx context.Context) int64 {
	deadline, _ := ctx.Deadline()
	return max(time.Until(deadline).Milliseconds(), 1)
}
