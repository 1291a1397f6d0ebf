package entry

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Guards against a dispatch for a caller whose end of the connection has arrived and was
// not noticed by the server yet.
func TestNoDispatchForCallerThatLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	conn, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	ctx := httpapi.WithConn(t.Context(), conn)
	require.False(t, httpapi.CallerLeft(ctx))
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return httpapi.CallerLeft(ctx) }, time.Second, time.Millisecond)
	r := &request{}
	_, err = r.beginAttempt(ctx, &route{}, &wirepb.Dispatch{})
	require.Equal(t, errkind.Canceled, errkind.KindOf(err))
	require.Equal(t, errkind.NotRun, errkind.From(err).DidRun)
	require.Zero(t, r.attempts)
}
