package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// callerPresence is what a request knows of its caller beyond the context of the
// server: a goroutine of the server waits for the end of the connection, and may get
// processor time long after the end has arrived.
type callerPresence struct {
	// left is set once the kernel has shown that the connection has ended.
	left atomic.Bool
	// cancel ends the work on the request.
	cancel context.CancelFunc
}

// callerLeft reports whether the caller is known to have left.
func (x *exchange) callerLeft() bool { return x.caller.left.Load() || x.r.Context().Err() != nil }

// isForNobody reports whether a request ended with the error because its caller has
// left.
func (x *exchange) isForNobody(err error) bool {
	return errkind.KindOf(err) == errkind.Canceled && x.callerLeft()
}

// callerWaits reports whether the caller still waits for a response, according to
// the kernel. If not, it ends the work on the request.
func (x *exchange) callerWaits() bool {
	if x.conn == nil || !x.conn.socketState().closed {
		return true
	}
	if !x.caller.left.Swap(true) {
		x.g.metrics.callersLeft.Inc(1)
		x.g.log.Info("caller has left before its request was sent", "request", x.meta.ID, "back_end", x.backend, "sent", x.timesSent,
			"ms", time.Since(x.startedAt).Milliseconds(), "unread_ms", x.waitedUnread.Milliseconds(), "waited_ms", x.queueTime.Milliseconds())
	}
	x.caller.cancel()
	return false
}
