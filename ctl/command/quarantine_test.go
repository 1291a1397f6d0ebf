package command

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra/standin/malformed"
)

// Guards against a list that hides which targets crashed or who reported them, and
// against commands that name another part than the operator did.
func TestQuarantineCommands(t *testing.T) {
	var calls []string
	g := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, r.Method+" "+r.URL.String())
		_, _ = w.Write([]byte(`{"instance":"g1","parts":[{"part":"91bd3f06","state":"quarantined","decided_by":"g2","age_ms":2000,` +
			`"ends_in_ms":598000,"crashes":["i-1","i-2","i-3"],"reporters":["g1","g2"]}],"suspects":[{"part":"5c1e07a2","crashes":2}]}`))
	}))
	defer g.Close()
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		root := Root()
		root.SetOut(&out)
		root.SetArgs(append([]string{"quarantine"}, args...))
		err := root.ExecuteContext(t.Context())
		return out.String(), err
	}
	list, err := run("list", "--address", g.URL)
	require.NoError(t, err)
	for _, expected := range []string{"91bd3f06", "quarantined", "9m58s", "g1,g2", "i-1,i-2,i-3", "5c1e07a2"} {
		require.Contains(t, list, expected)
	}
	_, err = run("add", "91BD3F06", "--address", g.URL)
	require.NoError(t, err)
	_, err = run("clear", "91bd3f06", "--address", g.URL+"/")
	require.NoError(t, err)
	require.Equal(t, []string{"GET /quarantine", "POST /quarantine?part=91bd3f06", "DELETE /quarantine?part=91bd3f06"}, calls)
	_, err = run("list")
	require.Equal(t, ExitInvalid, ExitCode(err))
	g.Close()
	_, err = run("list", "--address", g.URL)
	require.Equal(t, ExitUnavailable, ExitCode(err))
}

// Guards against a decision on a part that counts as made because of a malformed response.
func TestQuarantineWithMalformedResponse(t *testing.T) {
	for name, response := range malformed.All("200 OK", "", "") {
		t.Run(name, func(t *testing.T) {
			root := Root()
			root.SetArgs([]string{"quarantine", "add", "91bd3f06", "--address", malformed.Start(t, response).URL})
			require.Equal(t, ExitUnavailable, ExitCode(root.ExecuteContext(t.Context())))
		})
	}
}
