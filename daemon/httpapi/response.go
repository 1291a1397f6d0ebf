package httpapi

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	DidRun       string `json:"did_run"`
	Retryable    bool   `json:"may_repeat"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	OperationID  string `json:"operation_id,omitempty"`
	// Detail is the machine-readable part of the error, such as the changes of a
	// conflict or the validation errors of a document.
	Detail any `json:"detail,omitempty"`
	status int
}

// StatusCode implements goahttp.Statuser.
func (r *ErrorResponse) StatusCode() int { return r.status }

// NewErrorResponse returns the response for an error.
func NewErrorResponse(err error, requestID string) *ErrorResponse {
	e := errkind.From(err)
	response := e.Kind.Response()
	var detail any
	var detailed interface{ ErrorDetail() any }
	if errors.As(err, &detailed) {
		detail = detailed.ErrorDetail()
	}
	return &ErrorResponse{
		Detail:       detail,
		Kind:         response.Name,
		Message:      e.Message,
		RequestID:    requestID,
		DidRun:       e.DidRun.String(),
		Retryable:    response.Retryable && e.DidRun == errkind.NotRun,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		status:       response.Status,
	}
}

// RequestState holds the data of a request and its response that is not part of
// goa's payload and result.
type RequestState struct {
	RequestID   string
	OperationID string
	Customer    string
	// Shared is set if the request carries an operation id or an idempotency key.
	// Another entry may be serving it under the same id or key. An error response
	// then reports not_run only if Closed is set.
	Shared bool
	// Closed is set if the target responsible for the operation id has closed it.
	Closed bool
	// Status replaces the status that goa writes, unless it is zero.
	Status int
	// Header is added to the response before the status is written.
	Header http.Header
	// bodyTooLarge is set if the body exceeded the limit. Goa keeps only the text
	// of a decoding error, so the error type is lost.
	bodyTooLarge atomic.Bool
}

type stateKey struct{}

// RequestStateFrom returns the state of the request with the given context, or
// an empty one if it has none.
func RequestStateFrom(ctx context.Context) *RequestState {
	if s, ok := ctx.Value(stateKey{}).(*RequestState); ok {
		return s
	}
	return &RequestState{Header: http.Header{}}
}

// WithRequestState adds a RequestState with a request id to every request. It
// keeps the caller's request id if that is valid.
func WithRequestState(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		if !validID(id) {
			id = rand.Text()
		}
		shared := r.Header.Get("Operation-Id") != "" || r.Header.Get("Idempotency-Key") != ""
		st := &RequestState{RequestID: id, Header: http.Header{}, Shared: shared}
		w.Header().Set("X-Request-Id", id)
		sw := &statusWriter{ResponseWriter: w, state: st}
		r.Body = &sizeTrackingBody{ReadCloser: r.Body, state: st}
		next.ServeHTTP(sw, r.WithContext(context.WithValue(r.Context(), stateKey{}, st)))
	})
}

const maxIDLength = 128

// validID reports whether id is printable ASCII without spaces and not too long,
// so that it can't corrupt a log line or a header.
func validID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

type statusWriter struct {
	http.ResponseWriter
	state       *RequestState
	wroteHeader bool
}

// WriteHeader writes the status and headers of the request state.
func (w *statusWriter) WriteHeader(status int) {
	if w.wroteHeader {
		return
	}
	w.wroteHeader = true
	if w.state.Status != 0 {
		status = w.state.Status
	}
	for name, values := range w.state.Header {
		w.Header()[name] = values
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *statusWriter) Write(b []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// FormatError converts any error of a goa service to an ErrorResponse. Errors
// that goa finds while decoding a request are reported as errors of the caller.
func FormatError(ctx context.Context, err error) goahttp.Statuser {
	st := RequestStateFrom(ctx)
	var ge *goa.ServiceError
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || st.bodyTooLarge.Load() {
		err = errkind.New(errkind.TooLarge, "body exceeds %d bytes", MaxBodyBytes)
	} else if errors.As(err, &ge) {
		kind := errkind.InvalidRequest
		if ge.Name == goa.UnsupportedMediaType {
			kind = errkind.UnsupportedMedia
		}
		err = errkind.New(kind, "%s", ge.Message)
	}
	if e := errkind.From(err); st.Shared && !st.Closed && e.DidRun == errkind.NotRun {
		err = e.WithDidRun(errkind.Unknown)
	}
	response := NewErrorResponse(err, st.RequestID)
	response.OperationID = st.OperationID
	// A retry under the same id or key is safe whatever the outcome of the call.
	response.Retryable = response.Retryable || st.Shared && errkind.From(err).Kind.Response().Retryable
	st.Status = response.status
	if response.RetryAfterMs > 0 {
		st.Header.Set("Retry-After", strconv.FormatInt(ceilSeconds(response.RetryAfterMs), 10))
	}
	return response
}

func ceilSeconds(ms int64) int64 {
	return (ms + time.Second.Milliseconds() - 1) / time.Second.Milliseconds()
}
