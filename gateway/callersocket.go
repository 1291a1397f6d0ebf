package gateway

import (
	"context"
	"net"
	"time"

	"github.com/skylarkstep/skylarkstep/infra/peersocket"
)

// socketState asks the kernel for the state of the connection.
func (c *callerConn) socketState() peersocket.State { return peersocket.Inspect(c.Conn) }

// waitedUnread returns how long a request whose handler starts has waited to be read, at
// least.
func (c *callerConn) waitedUnread() time.Duration { return peersocket.SinceReceived(c.Conn) }

type callerConnKey struct{}

// withCallerConn adds the connection to the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConnOf returns the connection of a request, or nil if it did not arrive
// through a callerServer.
func callerConnOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return conn
}
