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

// Guards against a group that is shown as not reported, or with an old step,
// because one of the entries receives no reports of its targets.
func TestGroupsTakeTheLatestReport(t *testing.T) {
	entry := func(list ...groupState) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(list)
		}))
		t.Cleanup(srv.Close)
		return srv.URL
	}
	older := groupState{Name: "g1", DataCentre: "burgos", Reported: true, Step: 5, MapVersion: 2}
	newer := groupState{Name: "g1", DataCentre: "burgos", Reported: true, Step: 9, MapVersion: 3, Stalled: true, LastStepAgeMs: 2500, Frozen: true}
	notReported := groupState{Name: "g1", DataCentre: "burgos"}
	states, err := groupStates(context.Background(), client.New([]string{entry(notReported), entry(older), entry(newer), entry(notReported)}, "t"))
	require.NoError(t, err)
	require.Equal(t, []groupState{newer}, states)
	var out bytes.Buffer
	printGroups(&out, states)
	assert.Contains(t, out.String(), "stalled for 2500 ms, frozen")
}

// Guards against a freeze that has no effect, and one that is accepted for a
// group that does not exist.
func TestGroupsFreeze(t *testing.T) {
	d := startDeployment(t)
	out, code := runCommand("groups", "freeze", "no-such-group")
	assert.Equal(t, ExitInvalid, code, out)
	out, code = runCommand("groups", "freeze", "g1")
	require.Equal(t, ExitOK, code, out)
	out, code = runCommand("groups")
	require.Equal(t, ExitOK, code, out)
	assert.Contains(t, out, "not reported, frozen")
	out, code = runCommand("groups", "unfreeze", "g1")
	require.Equal(t, ExitOK, code, out)
	doc, err := d.Client().Config(context.Background())
	require.NoError(t, err)
	assert.Empty(t, doc.Document.Rules.FrozenGroups)
}
