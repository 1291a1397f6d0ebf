package entry

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Guards against a reply of a target process whose status HTTP does not define, or that has
// none: the caller got 200 for it. A process of an earlier version passes on what its
// service has sent.
func TestReplyWithoutStatusIsNoAnswer(t *testing.T) {
	heads := map[string]*wirepb.ResponseHead{"no head": nil, "status 0": {}, "status 99": {Status: 99}, "status 101": {Status: 101}, "status 600": {Status: 600}}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFixture(t, "a")
				f.config.Inventory.Backends = append(f.config.Inventory.Backends, config.Backend{Name: "app", Kind: config.KindService})
				f.config.Rules.Idempotent = []config.IdempotentRule{{Backend: "app", Operations: []string{"quote"}}}
				f.addScriptedTarget("a", func(st *wire.Stream, _ *wirepb.Dispatch) {
					_ = st.Send(acceptedFrame())
					if head != nil {
						_ = st.Send(&wirepb.Frame{Body: &wirepb.Frame_Head{Head: head}})
					}
					_ = st.Send(&wirepb.Frame{Body: &wirepb.Frame_Data{Data: []byte("broken")}})
					_ = st.Send(endFrame(0))
				})
				f.start()
				f.entry.snapshot.Load().pools["app"] = &f.pool
				synctest.Wait()
				r := f.call("quote")
				require.Equal(t, http.StatusBadGateway, r.status, r.body)
				require.NotContains(t, r.body, "broken")
				require.Contains(t, r.body, `"did_run":"unknown"`)
			})
		})
	}
}

// call sends a call to the service "app" and reads the response.
func (f *fixture) call(operation string) response {
	conn, err := f.callerListener.dial()
	require.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	req, err := http.NewRequest(http.MethodPost, "http://entry/v1/services/app/"+operation, strings.NewReader("{}"))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+testCustomer)
	req.Header.Set("Content-Type", "application/json")
	require.NoError(f.t, req.Write(conn))
	return f.readResponse(conn, time.Now())
}
