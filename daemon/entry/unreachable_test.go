package entry

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Guards against callers who get an error while other targets are idle, when more requests
// than a customer has retries meet a target whose session has just ended: nothing was
// written to that target, so that no retry of these requests adds to anybody's load.
func TestDispatchesOnAnEndedSessionMoveToAnotherTarget(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const requests = 60 // more than the retries of a customer at once
		f := newFixture(t, "gone", "other")
		f.addScriptedTarget("gone", func(*wire.Stream, *wirepb.Dispatch) {})
		synctest.Wait()
		require.NoError(t, f.pool.targets[0].session.Close())
		f.addScriptedTarget("other", func(st *wire.Stream, _ *wirepb.Dispatch) {
			_ = st.Send(acceptedFrame())
			_ = st.Send(tokenFrame(0, "text"))
			_ = st.Send(endFrame(1))
		})
		f.start()
		synctest.Wait()
		var conns []net.Conn
		for range requests {
			conns = append(conns, f.sendRequest(1, testPrompt))
		}
		statuses := map[int]int{}
		for _, conn := range conns {
			r := f.readResponse(conn, time.Now())
			statuses[r.status]++
			_ = conn.Close()
		}
		require.Zero(t, statuses[http.StatusBadGateway], "%v", statuses)
	})
}
