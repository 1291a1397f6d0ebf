package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// AnswerError is an error that the system answered, either as the answer to a
// request or as the last event of a stream.
type AnswerError struct {
	Kind        errkind.Kind
	DidRun      errkind.DidRun
	MayRepeat   bool
	RetryAfter  time.Duration
	Message     string
	RequestID   string
	OperationID string
	Status      int // HTTP status; 200 for the error event of a stream
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s: %s (request %s, did run: %s)", e.Kind, e.Message, e.RequestID, e.DidRun)
}

// CutError says that the connection failed before the answer was complete, at
// every address that was tried. Tokens is the number of tokens that the caller
// has of a stream.
type CutError struct {
	Tokens int
	// DidRun is NotRun only if no connection could be made for any attempt.
	DidRun errkind.DidRun
	cause  error
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("the answer was cut after %d tokens: %v", e.Tokens, e.cause)
}

// Unwrap returns the last failure of the connection.
func (e *CutError) Unwrap() error { return e.cause }

type errorBody struct {
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	DidRun       string `json:"did_run"`
	MayRepeat    bool   `json:"may_repeat"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	OperationID  string `json:"operation_id"`
}

// answerError decodes an error. A body that is none, such as that of a fault in
// net/http, gives an error whose outcome is unknown.
func answerError(status int, header http.Header, body []byte) *AnswerError {
	var b errorBody
	if err := json.Unmarshal(body, &b); err != nil || b.Kind == "" {
		b = errorBody{Kind: errkind.Internal.String(), Message: fmt.Sprintf("status %d without an error body", status)}
	}
	kind, _ := errkind.ParseKind(b.Kind)
	e := &AnswerError{
		Kind: kind, MayRepeat: b.MayRepeat, Message: b.Message, RequestID: b.RequestID, OperationID: b.OperationID,
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

// elsewhere reports whether the error is about the entry that answered, so that
// the next address may do better at once.
func (e *AnswerError) elsewhere() bool {
	switch e.Kind {
	case errkind.Isolated, errkind.NotReady, errkind.Leaving:
		return true
	default:
		return false
	}
}

// temporary reports whether a generation may succeed when it is repeated.
// Generations are idempotent, so their outcome does not matter.
func (e *AnswerError) temporary() bool {
	return e.elsewhere() || e.Kind == errkind.NoTarget || e.Kind.Response().FailOver
}
