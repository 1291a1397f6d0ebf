package entry

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Guards against a link that outlives its target or its entry by the backoff,
// because another instance answers at the target's address.
func TestLinkToAnotherInstanceEndsAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		near, far := net.Pipe()
		accepted := make(chan struct{})
		go func() {
			s, err := wire.Server(far, testKey, &wirepb.Hello{Instance: "another"})
			close(accepted)
			if assert.NoError(t, err) {
				<-s.Done()
			}
		}()
		session, err := wire.Client(near, testKey, &wirepb.Hello{Instance: "entry-burgos"})
		require.NoError(t, err)
		<-accepted // the link may end before its control stream is accepted
		ctx, cancel := context.WithCancel(t.Context())
		l := &link{entry: newFixture(t).entry, target: config.Target{Name: "a"}, outstanding: &balancer.Counter{}, stop: cancel}
		startedAt := time.Now()
		ended := make(chan struct{})
		go func() {
			l.serve(ctx, session)
			close(ended)
		}()
		synctest.Wait()
		l.stop()
		<-ended
		require.Less(t, time.Since(startedAt), maxBackoff)
	})
}
