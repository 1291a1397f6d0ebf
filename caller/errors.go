package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// ResponseError is an error that the system returned, either as the response to a
// request or as the last event of a stream.
type ResponseError struct {
	Kind        errkind.Kind
	DidRun      errkind.DidRun
	Retryable   bool
	RetryAfter  time.Duration
	Message     string
	RequestID   string
	OperationID string
	Status      int // HTTP status; 200 for the error event of a stream
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s: %s (request %s, did run: %s)", e.Kind, e.Message, e.RequestID, e.DidRun)
}

// InterruptedError reports that the connection failed before the response was
// complete, at every address that was tried. Tokens is the number of tokens of a
// stream that the caller has received.
type InterruptedError struct {
	Tokens int
	// DidRun is NotRun only if no attempt established a connection.
	DidRun errkind.DidRun
	cause  error
}

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("the response was interrupted after %d tokens: %v", e.Tokens, e.cause)
}

// Unwrap returns the last failure of the connection.
func (e *InterruptedError) Unwrap() error { return e.cause }

// errorBody is the JSON body of an error.
type errorBody struct {
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	DidRun       string `json:"did_run"`
	Retryable    bool   `json:"may_repeat"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	OperationID  string `json:"operation_id"`
}

// decodeError decodes the body of an error. A body in another format, such as that
// of an error from net/http, gives an internal error with an unknown outcome.
func decodeError(status int, header http.Header, body []byte) *ResponseError {
	var b errorBody
	if err := json.Unmarshal(body, &b); err != nil || b.Kind == "" {
		b = errorBody{Kind: errkind.Internal.String(), Message: fmt.Sprintf("status %d without an error body", status)}
	}
	kind, _ := errkind.ParseKind(b.Kind)
	e := &ResponseError{
		Kind: kind, Retryable: b.Retryable, Message: b.Message, RequestID: b.RequestID, OperationID: b.OperationID,
		RetryAfter: time.Duration(b.RetryAfterMs) * time.Millisecond, Status: status,
	}
	switch b.DidRun {
	case errkind.NotRun.String():
		e.DidRun = errkind.NotRun
	case errkind.Ran.String():
		e.DidRun = errkind.Ran
	}
	if s, err := strconv.ParseUint(header.Get("Retry-After"), 10, 31); err == nil && e.RetryAfter == 0 {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

// tryNextAddress reports whether the error concerns only the entry that returned
// it, so that a retry at the next address may succeed at once.
func (e *ResponseError) tryNextAddress() bool {
	switch e.Kind {
	case errkind.Isolated, errkind.NotReady, errkind.Leaving:
		return true
	default:
		return false
	}
}

// temporary reports whether a retry may succeed. It does not consider whether a
// retry is safe; generations are idempotent, so that they may always be retried.
func (e *ResponseError) temporary() bool {
	return e.tryNextAddress() || e.Kind == errkind.NoTarget || e.Kind.Response().FailOver
}
