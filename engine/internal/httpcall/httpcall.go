// Package httpcall maps failures of net/http calls to error kinds.
package httpcall

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// RetryAfterMS is the header with a retry-after time in milliseconds. The
// standard Retry-After header has a resolution of one second.
const RetryAfterMS = "Retry-After-Ms"

// Do sends req and maps a transport error to a kind. A request that never got
// a connection was not written, so its error is not_run. Any other failure
// leaves the outcome unknown.
func Do(c *http.Client, req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	// The transport may call the trace from its own goroutine.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	if !replayable(req.Method) {
		// The transport asks for a second connection only if it wrote nothing
		// to the first, such as an idle one that the peer had closed.
		trace.GetConn = func(string) { connected.Store(false) }
	}
	res, err := c.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return res, nil
	}
	if connected.Load() {
		return nil, Broken(ctx, err)
	}
	if ctx.Err() != nil {
		return nil, errkind.From(ctx.Err()).WithDidRun(errkind.NotRun)
	}
	return nil, errkind.Wrap(err, errkind.BackendUnreachable, "connecting to %s", req.URL.Host)
}

// replayable lists the methods that the transport repeats by itself after it
// wrote the request.
func replayable(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// Broken maps a failure after the connection was made. The error of ctx takes
// precedence over the transport's error, which is only its consequence.
func Broken(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errkind.From(ctx.Err())
	}
	return errkind.Wrap(err, errkind.BackendFailed, "connection failed before the answer was complete")
}

// RetryAfter reads the retry-after time of an answer, or zero.
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
