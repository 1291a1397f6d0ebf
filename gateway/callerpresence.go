package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// endCheckInterval is how often a connection is checked for its end while the server
// does not wait for it.
const endCheckInterval = 100 * time.Millisecond

// callerLeft reports whether the caller is known to have left.
func (x *exchange) callerLeft() bool { return x.r.Context().Err() != nil }

// isForNobody reports whether a request ended with the error because its caller has
// left.
func (x *exchange) isForNobody(err error) bool {
	return errkind.KindOf(err) == errkind.Canceled && x.callerLeft()
}

// callerWaits reports whether the caller still waits for a response, according to
// the kernel. If not, it ends the work on the request. The server learns of the end of
// a connection from a goroutine, which may get processor time long after. It is called by
// several goroutines.
func (x *exchange) callerWaits() bool {
	if x.conn == nil || !x.conn.socketState().Closed {
		return true
	}
	if !x.callerLeft() {
		x.g.metrics.callersLeft.Inc(1)
		x.g.log.Info("caller has left", "request", x.meta.ID,
			"ms", time.Since(x.startedAt).Milliseconds(), "unread_ms", x.waitedUnread.Milliseconds())
	}
	x.endForCaller()
	return false
}

// beginRequest records the request that the connection carries. The returned function
// must be called at its end.
func (c *callerConn) beginRequest(x *exchange) (end func()) {
	c.request.Store(x)
	return func() { c.request.Store(nil) }
}

// awaitEnd ends the work on the request that the connection carries once the caller
// has left. The server does not wait for that any more after it has read a byte that
// follows the request.
func (c *callerConn) awaitEnd() {
	x := c.request.Load()
	for x != nil && x == c.request.Load() && x.callerWaits() {
		time.Sleep(endCheckInterval)
	}
}
