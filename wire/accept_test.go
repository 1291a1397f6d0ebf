package wire

import (
	"log/slog"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// exhaustedListener fails a number of times before it returns a connection, and is
// then closed.
type exhaustedListener struct {
	failures, conns int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	if l.conns > 0 {
		l.conns--
		c, _ := net.Pipe()
		return c, nil
	}
	return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
}

func (l *exhaustedListener) Close() error   { return nil }
func (l *exhaustedListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process that accepts no sessions any more after it has run out of
// file descriptors once.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &exhaustedListener{failures: 3, conns: 1}
		conn, err := Accept(l, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		_, err = Accept(l, slog.New(slog.DiscardHandler))
		require.ErrorIs(t, err, net.ErrClosed)
	})
}
