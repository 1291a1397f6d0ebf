// Package httpcall sends HTTP requests and maps their failures to error kinds.
package httpcall

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// RetryAfterMS is the header with the Retry-After time in milliseconds. The standard
// Retry-After header has a resolution of one second.
const RetryAfterMS = "Retry-After-Ms"

const (
	// maxErrorBytes limits what is read of the body of an error response, and
	// errorBodyTimeout the time for it: the status alone ends the call.
	maxErrorBytes    = 4 << 10
	errorBodyTimeout = 200 * time.Millisecond
	// maxErrorText limits the text of an error that is not in the expected format,
	// in bytes.
	maxErrorText = 256
)

// ReadError reads the body of an error response as far as it arrives in time.
func ReadError(res *http.Response) []byte {
	// Closing the body interrupts Read.
	timer := time.AfterFunc(errorBodyTimeout, func() { _ = res.Body.Close() })
	defer timer.Stop()
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	return body
}

// ErrorText returns the beginning of the body of an error response for an error
// message. It is quoted, so that arbitrary bytes are harmless.
func ErrorText(body []byte) string {
	body = bytes.TrimSpace(body)
	if len(body) > maxErrorText {
		return fmt.Sprintf("%q (%d bytes or more)", body[:maxErrorText], len(body))
	}
	return strconv.Quote(string(body))
}

// Do sends req and maps a transport error to an error kind. If the request never had
// a connection, nothing was written, so the error is not_run. After any other
// failure, it is unknown whether the request ran.
func Do(c *http.Client, req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	// connected is atomic because the transport may call the trace from its own
	// goroutine.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	if !retriedByTransport(req.Method) {
		// The transport requests a second connection only if it wrote nothing to
		// the first one, for example because the peer had closed it while idle.
		trace.GetConn = func(string) { connected.Store(false) }
	}
	res, err := c.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return res, nil
	}
	if connected.Load() {
		return nil, ConnectionError(ctx, err)
	}
	if ctx.Err() != nil {
		return nil, errkind.From(ctx.Err()).WithDidRun(errkind.NotRun)
	}
	return nil, errkind.Wrap(err, errkind.BackendUnreachable, "connecting to %s", req.URL.Host)
}

// retriedByTransport reports whether the transport may retry requests with the
// method by itself after it wrote them.
func retriedByTransport(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// ConnectionError maps a failure after the connection was established to an error
// kind. The error of ctx takes precedence over the transport's error, which is only
// its consequence.
func ConnectionError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errkind.From(ctx.Err())
	}
	return errkind.Wrap(err, errkind.BackendFailed, "connection failed before the response was complete")
}

// RetryAfter returns the Retry-After time of a response, or zero if it has none.
func RetryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseUint(h.Get(RetryAfterMS), 10, 31); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	v := h.Get("Retry-After")
	if s, err := strconv.ParseUint(v, 10, 31); err == nil {
		return time.Duration(s) * time.Second
	}
	if at, err := http.ParseTime(v); err == nil {
		return max(0, time.Until(at))
	}
	return 0
}
