package command

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
)

// Guards against an import that writes a document although the export is
// invalid, and against output that is not a valid configuration.
func TestInventoryImport(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) string {
		file := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
		return file
	}
	mapping := write("mapping.json", `{"kind_column":"type","kinds":{"runner":{"list":"targets","fields":
	  {"name":"host","back_end":"service","data_centre":"site","peer_addr":"{address}:7000"}}}}`)
	header := "host,type,site,service,address\n"
	good := write("good.csv", header+"r-1,runner,burgos,cabina-app,10.0.0.1\n")
	bad := write("bad.csv", header+"r-1,runner,nowhere,cabina-app,10.0.0.1\n")
	base := "../../examples/cabina-norte.json"

	out, exit := runCommand("inventory", "import", good, "--mapping", mapping, "--base", base)
	require.Equal(t, ExitOK, exit, out)
	c, err := config.ParseConfig([]byte(out))
	require.NoError(t, err)
	assert.Len(t, c.Inventory.Targets, 1)

	out, exit = runCommand("inventory", "import", bad, "--mapping", mapping, "--base", base, "--output", "json")
	assert.Equal(t, ExitInvalid, exit)
	assert.Contains(t, out, `"column": "site"`)
	assert.Contains(t, out, "row 2, column site: expected the name of a data centre")
	assert.NotContains(t, out, "inventory\":")
}
