package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/ctl/client"
)

// serveStatus starts an entry that reports the status and a configuration with
// the data centre burgos out, and returns its base URL.
func serveStatus(t *testing.T, st client.Status) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/config/status" {
			_ = json.NewEncoder(w).Encode(st)
			return
		}
		_, _ = w.Write([]byte(`{"revision":7,"document":{"rules":{"data_centres_out":["burgos"]}}}`))
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// Guards against a status command that omits a process with an old revision, an
// unreachable entry or an unreachable store, and against one that reports a
// process as gone although another entry receives its heartbeats.
func TestOverviewShowsProblemsFirst(t *testing.T) {
	behind := client.ProcessRevision{Name: "t1", Role: "target", DataCentre: "vitoria", State: "ready", Revision: 6}
	good := client.ProcessRevision{Name: "t2", Role: "target", DataCentre: "vitoria", State: "ready", Revision: 7}
	unreachable := client.ProcessRevision{Name: "t2", Role: "target", DataCentre: "vitoria", State: "gone"}
	a := serveStatus(t, client.Status{Revision: 7, StoreReachable: true, Freshness: "fresh", Processes: []client.ProcessRevision{behind, unreachable}})
	b := serveStatus(t, client.Status{Revision: 7, Freshness: "service_down", Processes: []client.ProcessRevision{good}})
	o, err := overview(context.Background(), client.New([]string{a, b, "http://127.0.0.1:1"}, "token"))
	require.NoError(t, err)
	require.Len(t, o.Problems, 3)
	assert.Contains(t, o.Problems[0], "does not reach the key-value service")
	assert.Contains(t, o.Problems[1], "does not answer")
	assert.Contains(t, o.Problems[2], "t1 in vitoria has revision 6, not 7")
	assert.Equal(t, 1, o.Ready)
	var out bytes.Buffer
	o.writeText(&out)
	assert.True(t, bytes.HasPrefix(out.Bytes(), []byte("WRONG: ")))
	assert.Contains(t, out.String(), "data centres out: [burgos]")
	assert.Equal(t, ExitNotActive, ExitCode(&problemsError{count: 3}))
}
