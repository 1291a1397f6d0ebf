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

// ErrorResponse is the body of every error answer.
type ErrorResponse struct {
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	DidRun       string `json:"did_run"`
	Retryable    bool   `json:"may_repeat"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	OperationID  string `json:"operation_id,omitempty"`
	// Detail is what a program can use of the error, such as the changes of a
	// conflict or the faults of a document.
	Detail any `json:"detail,omitempty"`
	status int
}

// StatusCode implements goahttp.Statuser.
func (a *ErrorResponse) StatusCode() int { return a.status }

// NewErrorResponse returns the answer for an error.
func NewErrorResponse(err error, requestID string) *ErrorResponse {
	e := errkind.From(err)
	row := e.Kind.Response()
	var detail any
	var d interface{ ErrorDetail() any }
	if errors.As(err, &d) {
		detail = d.ErrorDetail()
	}
	return &ErrorResponse{
		Detail:       detail,
		Kind:         row.Name,
		Message:      e.Message,
		RequestID:    requestID,
		DidRun:       e.DidRun.String(),
		Retryable:    row.Retryable && e.DidRun == errkind.NotRun,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		status:       row.Status,
	}
}

// RequestState is what a request carries besides goa's payload.
type RequestState struct {
	RequestID   string
	OperationID string
	Customer    string
	// Shared says that the request carries an operation id or a key, under which
	// another entry may be serving it. An error answer then says not_run only if
	// Closed is set.
	Shared bool
	// Closed says that the owner of the operation id has closed it.
	Closed bool
	// Status replaces the status that goa writes when it is not zero.
	Status int
	// Header is added to the answer before its status is written.
	Header http.Header
	// bodyTooLarge is set when the body passed the limit. Goa keeps only the
	// text of a decoding error, so its type can't tell.
	bodyTooLarge atomic.Bool
}

type stateKey struct{}

// RequestStateFrom returns the state of the request.
func RequestStateFrom(ctx context.Context) *RequestState {
	if s, ok := ctx.Value(stateKey{}).(*RequestState); ok {
		return s
	}
	return &RequestState{Header: http.Header{}}
}

// WithRequestState gives every request a State and a request id. The id of the caller
// is kept when it has one.
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
		r.Body = &limitedBody{ReadCloser: r.Body, state: st}
		next.ServeHTTP(sw, r.WithContext(context.WithValue(r.Context(), stateKey{}, st)))
	})
}

const maxIDLength = 128

// validID accepts printable ASCII without spaces, so that an id can't break a
// log line or a header.
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
	state *RequestState
	wrote bool
}

// WriteHeader applies the status and headers of the state.
func (w *statusWriter) WriteHeader(status int) {
	if w.wrote {
		return
	}
	w.wrote = true
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
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// FormatError turns any error of a goa service into an ErrorAnswer. Faults that goa
// finds while decoding are the caller's.
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
	a := NewErrorResponse(err, st.RequestID)
	a.OperationID = st.OperationID
	// Repeating under the same id or key is safe whatever became of the call.
	a.Retryable = a.Retryable || st.Shared && errkind.From(err).Kind.Response().Retryable
	st.Status = a.status
	if a.RetryAfterMs > 0 {
		st.Header.Set("Retry-After", strconv.FormatInt(ceilSeconds(a.RetryAfterMs), 10))
	}
	return a
}

func ceilSeconds(ms int64) int64 {
	return (ms + time.Second.Milliseconds() - 1) / time.Second.Milliseconds()
}
