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

// Mapping says how rows become entries and targets.
type Mapping struct {
	// KindColumn holds the kind of a row.
	KindColumn string `json:"kind_column"`
	// Kinds are the kinds to import; Ignore are kinds to pass over. A row of any
	// other kind is a fault, so that a new kind is not lost silently.
	Kinds  map[string]KindMapping `json:"kinds"`
	Ignore []string               `json:"ignore,omitempty"`
}

// KindMapping maps the rows of one kind.
type KindMapping struct {
	// List is "entries" or "targets".
	List string `json:"list"`
	// Fields gives the column of each field, or a text with columns in braces,
	// such as "{address}:7000".
	Fields map[string]string `json:"fields"`
	// Values translates values of the register, by field.
	Values map[string]map[string]string `json:"values,omitempty"`
}

// The fields of the lists. A field with false may be missing.
var listFields = map[string]map[string]bool{
	"entries": {"name": true, "data_centre": true, "http_addr": true, "peer_addr": true},
	"targets": {"name": true, "back_end": true, "data_centre": true, "peer_addr": true, "group": false},
}

// ParseMapping decodes and checks a mapping.
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

// Row is one row of an export. Number is the line of a CSV file, or the
// position of a JSON record counted from one.
type Row struct {
	Number int
	Cells  map[string]string
}

// ReadCSV reads an export with a header line.
func ReadCSV(r io.Reader) ([]Row, error) {
	c := csv.NewReader(r)
	header, err := c.Read()
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "header of the CSV export")
	}
	header[0] = strings.TrimPrefix(header[0], "\ufeff")
	for i, name := range header {
		header[i] = strings.TrimSpace(name)
		if slices.Contains(header[:i], header[i]) {
			return nil, errkind.New(errkind.InvalidConfig, "row 1: column %q is there twice", header[i])
		}
	}
	var rows []Row
	for {
		cells, err := c.Read()
		if errors.Is(err, io.EOF) {
			return rows, nil
		}
		if err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidConfig, "CSV export")
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
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "JSON export, expected an array of objects")
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
				return nil, errkind.New(errkind.InvalidConfig, "row %d, column %s: expected a text, number or truth value", i+1, name)
			}
		}
		rows = append(rows, row)
	}
	return rows, nil
}
