package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Guards against a link that outlives its target or its entry by the backoff,
// because another instance answers at the target's address.
func TestLinkToAnotherInstanceEndsAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	sessionEnded := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		// The link may close the session before it is complete on this side.
		if session, err := wire.Server(conn, testKey, &wirepb.Hello{Instance: "another"}); err == nil {
			<-session.Done()
		}
		close(sessionEnded)
	}()
	e := newFixture(t).entry
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &link{entry: e, target: config.Target{Name: "a", PeerAddr: listener.Addr().String()}, outstanding: &balancer.Counter{}, stop: cancel}
	ended := make(chan struct{})
	go func() {
		l.run(ctx)
		close(ended)
	}()
	<-sessionEnded
	l.stop()
	select {
	case <-ended:
	case <-time.After(maxBackoff / 4):
		require.Fail(t, "the link is still running")
	}
}
