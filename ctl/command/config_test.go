package command

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/ctl/dev"
)

// startDeployment starts the entries and two targets of an example on free ports
// and sets the environment variables of skylarkctl.
func startDeployment(t *testing.T) *dev.Deployment {
	data, err := os.ReadFile("../../examples/cabina-norte.json")
	require.NoError(t, err)
	c, err := config.ParseConfig(data)
	require.NoError(t, err)
	c.Inventory.Targets = []config.Target{c.Inventory.Targets[0], c.Inventory.Targets[len(c.Inventory.Targets)-1]}
	c.Inventory.Groups = []config.Group{{
		Name: "g1", Backend: c.Inventory.Targets[0].Backend, DataCentre: "burgos", Ranks: 4, Experts: 8, Layers: 2, SlotsPerRank: 3,
	}}
	c.Inventory.Targets[0].Group, c.Inventory.Targets[1].Group = "", ""
	d, err := dev.Start(context.Background(), dev.Options{Config: c, AnyPorts: true})
	require.NoError(t, err)
	t.Cleanup(d.Close)
	require.NoError(t, d.WaitReady(context.Background()))
	t.Setenv(tokenVariable, dev.OperatorToken)
	t.Setenv(entriesVariable, d.EntryURL())
	return d
}

// runCommand executes a command line and returns its output and exit code.
func runCommand(args ...string) (string, int) {
	var out bytes.Buffer
	root := Root()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.Execute()
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), ExitCode(err)
}

// Guards against config and zone commands that fail, or that return another exit
// code than the documented one.
func TestConfigCommands(t *testing.T) {
	d := startDeployment(t)
	edited := *d.Config
	edited.Rules.AddressTTLMs = 1234
	data, err := json.Marshal(&edited)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "edited.json")
	require.NoError(t, os.WriteFile(file, data, 0o600))
	broken := filepath.Join(t.TempDir(), "broken.json")
	require.NoError(t, os.WriteFile(broken, []byte(`{"inventory":{},"rules":{"colour":1}}`), 0o600))

	// A file written before another edit was accepted must not undo that edit.
	shown, exit := runCommand("config", "show")
	require.Equal(t, ExitOK, exit, shown)
	stale := filepath.Join(t.TempDir(), "stale.json")
	require.NoError(t, os.WriteFile(stale, []byte(shown), 0o600))

	zone := d.Config.Inventory.DataCentres[0].Name
	for _, step := range []struct {
		name string
		args string
		exit int
		want string
	}{
		{"valid", "config validate " + file, ExitOK, "is valid"},
		{"faults", "config validate " + broken, ExitInvalid, "colour"},
		{"diff", "config diff " + file, ExitOK, `{"rules":{"address_ttl_ms":1234}}`},
		{"no base", "config apply " + file, ExitInvalid, "names no revision"},
		{"apply", "config apply " + file + " --base 1 --wait --edit-id edit-id-1", ExitOK, "revision 2 accepted"},
		{"repeat", "config apply " + file + " --base 1 --edit-id edit-id-1 --output json", ExitOK, `"already": true`},
		{"conflict", "config apply " + file + " --base 1", ExitConflict, "revision 2 by dev changed"},
		{"stale file", "config apply " + stale, ExitConflict, "revision 2 by dev changed"},
		{"status", "config status", ExitOK, "revision 2, fresh"},
		{"zone out", "zone out " + zone, ExitOK, "revision 3"},
		{"zone out again", "zone out " + zone, ExitOK, "revision 3"},
		{"unknown zone", "zone out nowhere", ExitInvalid, "does not exist"},
		{"zone in", "zone in " + zone, ExitOK, "revision 4"},
		{"rollback with base 0", "config rollback 1 --base 0", ExitConflict, "revision 4 by dev changed"},
		{"rollback", "config rollback 1 --wait", ExitOK, "revision 5 accepted"},
		{"history", "config history --limit 2", ExitOK, `{"rules":{"address_ttl_ms":10000}}`},
		{"wait", "config wait 5", ExitOK, "in force in"},
		{"not in force", "config wait 6 --bound 1ms", ExitNotActive, "revision 6 is not in force in"},
		{"unavailable", "config status --entry http://127.0.0.1:1", ExitUnavailable, "does not answer"},
	} {
		out, exit := runCommand(strings.Fields(step.args)...)
		require.Equal(t, step.exit, exit, "%s: %s", step.name, out)
		assert.Contains(t, out, step.want, step.name)
	}
	last := d.Config.Inventory.Targets[1].Name
	require.NoError(t, d.Stop(context.Background(), last))
	out, exit := runCommand("config", "apply", file, "--base", "5", "--wait", "--bound", "1s")
	assert.Equal(t, ExitNotActive, exit, out)
	assert.Contains(t, out, last+" (gone")
}
