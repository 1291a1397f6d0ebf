package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/gateway/upstream"
)

// copyBufferSize is the size in bytes of the buffer for the part of a response
// that follows.
const copyBufferSize = 32 << 10

// forwardResponse writes a response to the caller. It streams the part that was
// not buffered.
func (x *exchange) forwardResponse(res attemptResult) error {
	x.copyHeader(res.resp)
	if !res.truncated && x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	x.w.WriteHeader(res.resp.StatusCode)
	if err := x.write(res.body); err != nil {
		res.resp.Close()
		return errkind.Wrap(errInterrupted, errkind.Canceled, "the caller disconnected")
	}
	if !res.truncated {
		return nil
	}
	res.body = nil // not kept in memory while the rest is forwarded
	return x.forwardRest(res)
}

// forwardRest streams the part of a response that was not buffered.
func (x *exchange) forwardRest(res attemptResult) error {
	defer res.resp.Close()
	buf := make([]byte, copyBufferSize)
	for {
		n, readErr := res.resp.Body.Read(buf)
		if n > 0 {
			if err := x.write(buf[:n]); err != nil {
				return errkind.Wrap(errInterrupted, errkind.Canceled, "the caller disconnected")
			}
		}
		if errors.Is(readErr, io.EOF) {
			res.resp.Finish()
			return nil
		}
		if readErr != nil {
			if x.r.Context().Err() == nil {
				res.target.recordOutcome(true)
			}
			x.lastErr = errors.Wrapf(readErr, "response of target %s was interrupted", res.target.ID)
			return errkind.Wrap(errInterrupted, errkind.TargetLost, "after the buffered part of the response")
		}
	}
}

// forwardFailure writes the error response of a target to the caller. A status
// that implies that the request did not run is replaced, because the request
// did run.
func (x *exchange) forwardFailure(res attemptResult) error {
	switch res.resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return errkind.New(errkind.BackendFailed, "target %s failed with status %d", res.target.ID, res.resp.StatusCode)
	}
	return x.forwardResponse(res)
}

// copyHeader copies those headers of a response that are meant for the caller.
func (x *exchange) copyHeader(resp *upstream.Response) {
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.Del("Content-Length")
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	x.closeConnectionIfLeaving()
}

func (x *exchange) write(p []byte) error {
	rc := http.NewResponseController(x.w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := x.w.Write(p)
	return errors.WithStack(err)
}
