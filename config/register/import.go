package register

import (
	"fmt"
	"maps"
	"net"
	"regexp"
	"slices"
	"strings"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// InvalidCell is one thing wrong with a row.
type InvalidCell struct {
	Row      int    `json:"row"`
	Column   string `json:"column"`
	Value    string `json:"value"`
	Expected string `json:"expected"`
}

// String returns the fault as one line.
func (f InvalidCell) String() string {
	return fmt.Sprintf("row %d, column %s: expected %s (found %q)", f.Row, f.Column, f.Expected, f.Value)
}

// ValidationError lists everything wrong with an export.
type ValidationError []InvalidCell

// Error implements error.
func (f ValidationError) Error() string {
	lines := make([]string, 0, len(f))
	for _, x := range f {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// ErrorDetail returns what an error answer shows to programs.
func (f ValidationError) ErrorDetail() any { return f }

// importer collects what an export holds.
type importer struct {
	mapping *Mapping
	known   map[string]map[string]bool
	seen    map[string]int
	faults  ValidationError
	entries []config.Entry
	targets []config.Target
}

// Import returns the configuration with the entries and targets of the export
// in place of its own. Lists that no kind maps to stay as they are. Data
// centres, back ends and groups must exist in the configuration.
func Import(base *config.Config, m *Mapping, rows []Row) (*config.Config, error) {
	im := &importer{mapping: m, seen: map[string]int{}, known: known(base)}
	for _, row := range rows {
		im.row(row)
	}
	if len(im.faults) > 0 {
		return nil, errkind.Wrap(im.faults, errkind.InvalidConfig, "%d faults in the export", len(im.faults))
	}
	next := *base
	for _, k := range m.Kinds {
		if k.List == "entries" {
			next.Inventory.Entries = im.entries
		} else {
			next.Inventory.Targets = im.targets
		}
	}
	tree, err := next.Tree()
	if err != nil {
		return nil, err
	}
	return config.FromTree(tree, base.Revision)
}

// known returns the names that fields refer to.
func known(c *config.Config) map[string]map[string]bool {
	names := map[string]map[string]bool{"data_centre": {}, "back_end": {}, "group": {}}
	for _, d := range c.Inventory.DataCentres {
		names["data_centre"][d.Name] = true
	}
	for _, b := range c.Inventory.Backends {
		names["back_end"][b.Name] = true
	}
	for _, g := range c.Inventory.Groups {
		names["group"][g.Name] = true
	}
	return names
}

func (im *importer) fault(row Row, column, value, expected string) {
	im.faults = append(im.faults, InvalidCell{Row: row.Number, Column: column, Value: value, Expected: expected})
}

func (im *importer) row(row Row) {
	kind, ok := row.Cells[im.mapping.KindColumn]
	if slices.Contains(im.mapping.Ignore, kind) && ok {
		return
	}
	k, mapped := im.mapping.Kinds[kind]
	if !mapped {
		im.fault(row, im.mapping.KindColumn, kind, "a kind that the mapping names")
		return
	}
	before := len(im.faults)
	v := map[string]string{}
	for _, field := range slices.Sorted(maps.Keys(k.Fields)) {
		v[field] = im.field(row, k, field)
	}
	if first, ok := im.seen[k.List+"/"+v["name"]]; ok && v["name"] != "" {
		im.fault(row, k.Fields["name"], v["name"], fmt.Sprintf("a name that is used once, row %d has it too", first))
	}
	im.seen[k.List+"/"+v["name"]] = row.Number
	if len(im.faults) > before {
		return
	}
	if k.List == "entries" {
		im.entries = append(im.entries, config.Entry{
			Name: v["name"], DataCentre: v["data_centre"], HTTPAddr: v["http_addr"], PeerAddr: v["peer_addr"],
		})
		return
	}
	im.targets = append(im.targets, config.Target{
		Name: v["name"], Backend: v["back_end"], DataCentre: v["data_centre"], PeerAddr: v["peer_addr"], Group: v["group"],
	})
}

var placeholder = regexp.MustCompile(`\{[^{}]*\}`)

// field returns the checked value of a field.
func (im *importer) field(row Row, k KindMapping, field string) string {
	column := k.Fields[field]
	required := listFields[k.List][field]
	value, complete := im.text(row, column, required)
	if !complete || value == "" {
		return ""
	}
	if to, ok := k.Values[field][value]; ok {
		value = to
	}
	names, refers := im.known[field]
	switch {
	case refers && !names[value]:
		im.fault(row, column, value, "the name of a "+strings.ReplaceAll(field, "_", " ")+" in the configuration")
	case strings.HasSuffix(field, "_addr") && !isAddr(value):
		im.fault(row, column, value, "an IP address with a port")
	}
	return value
}

// text returns a cell, or the text with the cells in place of the braces.
func (im *importer) text(row Row, column string, required bool) (value string, complete bool) {
	complete = true
	cell := func(name string) string {
		v, ok := row.Cells[name]
		if !ok && required {
			im.fault(row, name, "", "a column with this name")
			complete = false
		} else if v == "" && required {
			im.fault(row, name, "", "a value")
			complete = false
		}
		return v
	}
	if !placeholder.MatchString(column) {
		return cell(column), complete
	}
	return placeholder.ReplaceAllStringFunc(column, func(p string) string { return cell(p[1 : len(p)-1]) }), complete
}

func isAddr(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := net.LookupPort("tcp", port)
	return err == nil && n > 0 && strings.Trim(port, "0123456789") == ""
}
