package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// limitUpload ends the reading of the body at the deadline of the request, or at the
// time at which a planned stop leaves too little time for it. The returned function
// must be called after the last read with its error.
func (x *exchange) limitUpload() (finish func(error)) {
	rc := http.NewResponseController(x.w)
	var mu sync.Mutex
	finished := false
	_ = rc.SetReadDeadline(x.deadline)
	cancel := context.AfterFunc(x.g.stops.began, func() {
		mu.Lock()
		defer mu.Unlock()
		if finished {
			return
		}
		if latest := x.latestSend(); !latest.IsZero() && latest.Before(x.deadline) {
			_ = rc.SetReadDeadline(latest)
		}
	})
	return func(err error) {
		cancel()
		mu.Lock()
		defer mu.Unlock()
		finished = true
		if err != nil {
			// net/http would read the rest of the body before it writes the response.
			x.w.Header().Set("Connection", "close")
			return
		}
		// A read deadline that remains would cancel the request.
		_ = rc.SetReadDeadline(time.Time{})
	}
}

// uploadTimeoutError returns the error of a request whose body has not arrived in time.
func (x *exchange) uploadTimeoutError(now time.Time) error {
	if now.Before(x.deadline) {
		return x.leavingError()
	}
	return errkind.New(errkind.UploadTimeout, "the body did not arrive before the deadline").WithRetryAfter(jitter(minRetryAfter))
}
