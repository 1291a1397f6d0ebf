package register

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// Mapping defines how rows are converted to entries and targets.
type Mapping struct {
	// KindColumn is the column that holds the kind of a row.
	KindColumn string `json:"kind_column"`
	// Kinds are the kinds to import; rows of the kinds in Ignore are skipped. Any
	// other kind is an error, so that rows of a new kind are not lost silently.
	Kinds  map[string]KindMapping `json:"kinds"`
	Ignore []string               `json:"ignore,omitempty"`
}

// KindMapping maps the rows of one kind.
type KindMapping struct {
	// List is "entries" or "targets".
	List string `json:"list"`
	// Fields maps each field to a column, or to a template with columns in braces
	// such as "{address}:7000".
	Fields map[string]string `json:"fields"`
	// Values translates the register's values, by field.
	Values map[string]map[string]string `json:"values,omitempty"`
}

// listFields holds the fields of each list, and whether they are required.
var listFields = map[string]map[string]bool{
	"entries": {"name": true, "data_centre": true, "http_addr": true, "peer_addr": true},
	"targets": {"name": true, "back_end": true, "data_centre": true, "peer_addr": true, "group": false},
}

// ParseMapping decodes and validates a mapping.
func ParseMapping(data []byte) (*Mapping, error) {
	var m Mapping
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "mapping")
	}
	if m.KindColumn == "" || len(m.Kinds) == 0 {
		return nil, errkind.New(errkind.InvalidConfig, "mapping: kind_column and kinds are required")
	}
	for kind, k := range m.Kinds {
		fields, ok := listFields[k.List]
		if !ok {
			return nil, errkind.New(errkind.InvalidConfig, "mapping of %q: list is %q, expected entries or targets", kind, k.List)
		}
		for name, required := range fields {
			if required && k.Fields[name] == "" {
				return nil, errkind.New(errkind.InvalidConfig, "mapping of %q: field %s has no column", kind, name)
			}
		}
		for name := range k.Fields {
			if _, ok := fields[name]; !ok {
				return nil, errkind.New(errkind.InvalidConfig, "mapping of %q: %s is not a field of %s", kind, name, k.List)
			}
		}
	}
	return &m, nil
}

// Row is one row of an export. Number is its line in a CSV file, or the position
// of a JSON record, counted from one. Cells are keyed by column.
type Row struct {
	Number int
	Cells  map[string]string
}

// ReadCSV reads an export with a header line.
func ReadCSV(r io.Reader) ([]Row, error) {
	c := csv.NewReader(r)
	header, err := c.Read()
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "read the header of the CSV export")
	}
	header[0] = strings.TrimPrefix(header[0], "\ufeff")
	for i, name := range header {
		header[i] = strings.TrimSpace(name)
		if slices.Contains(header[:i], header[i]) {
			return nil, errkind.New(errkind.InvalidConfig, "row 1: column %q is not unique", header[i])
		}
	}
	var rows []Row
	for {
		cells, err := c.Read()
		if errors.Is(err, io.EOF) {
			return rows, nil
		}
		if err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidConfig, "read the CSV export")
		}
		line, _ := c.FieldPos(0)
		row := Row{Number: line, Cells: map[string]string{}}
		for i, v := range cells {
			row.Cells[header[i]] = strings.TrimSpace(v)
		}
		rows = append(rows, row)
	}
}

// ReadJSON reads an export that is an array of flat objects.
func ReadJSON(r io.Reader) ([]Row, error) {
	var records []map[string]any
	d := json.NewDecoder(r)
	d.UseNumber()
	if err := d.Decode(&records); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "decode the JSON export, expected an array of objects")
	}
	rows := make([]Row, 0, len(records))
	for i, rec := range records {
		row := Row{Number: i + 1, Cells: map[string]string{}}
		for _, name := range slices.Sorted(maps.Keys(rec)) {
			switch v := rec[name].(type) {
			case nil:
			case string, json.Number, bool:
				row.Cells[name] = strings.TrimSpace(fmt.Sprint(v))
			default:
				return nil, errkind.New(errkind.InvalidConfig, "row %d, column %s: expected a string, number or boolean", i+1, name)
			}
		}
		rows = append(rows, row)
	}
	return rows, nil
}
