package register

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

const runnerMapping = `{
  "kind_column": "type",
  "kinds": {
    "runner": {"list": "targets", "fields": {"name": "host", "back_end": "service", "data_centre": "site", "peer_addr": "{address}:7000"},
      "values": {"data_centre": {"BUR": "burgos", "VIT": "vitoria"}}}
  },
  "ignore": ["printer"]
}`

const runnerExport = "host,type,site,service,address\n" +
	"r-1,runner,BUR,cabina-app,10.0.0.1\n" +
	"p-1,printer,,,\n" +
	"r-2,runner,VIT,cabina-app,10.0.1.1\n"

func exampleConfig(t *testing.T) (*config.Config, *Mapping) {
	data, err := os.ReadFile("../../examples/cabina-norte.json")
	require.NoError(t, err)
	c, err := config.ParseConfig(data)
	require.NoError(t, err)
	m, err := ParseMapping([]byte(runnerMapping))
	require.NoError(t, err)
	return c, m
}

// Guards against rows that are lost or changed, in CSV and in JSON.
func TestImport(t *testing.T) {
	c, m := exampleConfig(t)
	fromCSV, err := ReadCSV(strings.NewReader(runnerExport))
	require.NoError(t, err)
	fromJSON, err := ReadJSON(strings.NewReader(`[
	  {"host":"r-1","type":"runner","site":"BUR","service":"cabina-app","address":"10.0.0.1"},
	  {"host":"p-1","type":"printer","weight":12,"spare":true,"site":null},
	  {"host":"r-2","type":"runner","site":"VIT","service":"cabina-app","address":"10.0.1.1"}]`))
	require.NoError(t, err)
	for _, rows := range [][]Row{fromCSV, fromJSON} {
		next, err := Import(c, m, rows)
		require.NoError(t, err)
		assert.Equal(t, []config.Target{
			{Name: "r-1", Backend: "cabina-app", DataCentre: "burgos", PeerAddr: "10.0.0.1:7000"},
			{Name: "r-2", Backend: "cabina-app", DataCentre: "vitoria", PeerAddr: "10.0.1.1:7000"},
		}, next.Inventory.Targets)
		assert.ElementsMatch(t, c.Inventory.Entries, next.Inventory.Entries)
		assert.ElementsMatch(t, c.Inventory.Customers, next.Inventory.Customers)
	}
}

// Guards against an import that reports only the first invalid cell, or reports
// a wrong row or column.
func TestFaultsNameRowAndColumn(t *testing.T) {
	c, m := exampleConfig(t)
	rows, err := ReadCSV(strings.NewReader("host,type,site,service,address\n" +
		"r-1,runner,MAD,cabina-app,10.0.0.1\n" +
		"r-2,robot,BUR,cabina-app,10.0.0.2\n" +
		",runner,BUR,\"cabina\n-app\",10.0.0.3\n" +
		"r-1,runner,BUR,cabina-app,host-4\n"))
	require.NoError(t, err)
	_, err = Import(c, m, rows)
	require.Equal(t, errkind.InvalidConfig, errkind.KindOf(err))
	var invalid ValidationError
	require.ErrorAs(t, err, &invalid)
	var where []string
	for _, f := range invalid {
		where = append(where, strings.SplitN(f.String(), ":", 2)[0])
	}
	assert.Equal(t, []string{
		"row 2, column site", "row 3, column type", "row 4, column service", "row 4, column host",
		"row 6, column {address}", "row 6, column host",
	}, where)
}

// Guards against an invalid mapping that is accepted, so that it shows only as
// missing instances.
func TestMappingIsChecked(t *testing.T) {
	for _, bad := range []string{
		`{}`, `[]`, `{"kind_column":"t","kinds":{"a":{"list":"racks","fields":{}}}}`,
		`{"kind_column":"t","kinds":{"a":{"list":"targets","fields":{"name":"x"}}}}`,
		strings.Replace(runnerMapping, `"ignore"`, `"skip"`, 1),
		strings.Replace(runnerMapping, `"name": "host"`, `"name": "host", "colour": "c"`, 1),
	} {
		_, err := ParseMapping([]byte(bad))
		assert.Equal(t, errkind.InvalidConfig, errkind.KindOf(err), bad)
	}
}

// Guards against a panic on a malformed export.
func FuzzImport(f *testing.F) {
	f.Add(runnerExport, false)
	f.Add(`[{"host":"r-1","type":"runner"}]`, true)
	m, err := ParseMapping([]byte(runnerMapping))
	require.NoError(f, err)
	f.Fuzz(func(_ *testing.T, data string, isJSON bool) {
		read := ReadCSV
		if isJSON {
			read = ReadJSON
		}
		rows, err := read(strings.NewReader(data))
		if err != nil {
			return
		}
		_, _ = Import(&config.Config{}, m, rows)
	})
}
