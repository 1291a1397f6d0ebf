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

// InvalidCell describes one cell of an export that is not valid.
type InvalidCell struct {
	Row      int    `json:"row"`
	Column   string `json:"column"`
	Value    string `json:"value"`
	Expected string `json:"expected"`
}

// String returns the cell's error on one line.
func (c InvalidCell) String() string {
	return fmt.Sprintf("row %d, column %s: expected %s (found %q)", c.Row, c.Column, c.Expected, c.Value)
}

// ValidationError lists all invalid cells of an export.
type ValidationError []InvalidCell

// Error implements error.
func (e ValidationError) Error() string {
	lines := make([]string, 0, len(e))
	for _, x := range e {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// ErrorDetail returns the machine-readable part of an error response.
func (e ValidationError) ErrorDetail() any { return e }

// importer collects the entries, targets and invalid cells of an export.
type importer struct {
	mapping    *Mapping
	knownNames map[string]map[string]bool
	rowOfName  map[string]int
	invalid    ValidationError
	entries    []config.Entry
	targets    []config.Target
}

// Import returns a copy of the configuration in which the entries and targets of
// the export replace its own. A list that no kind is mapped to stays as it is.
// The data centres, back ends and groups of the export must exist in the
// configuration.
func Import(base *config.Config, m *Mapping, rows []Row) (*config.Config, error) {
	im := &importer{mapping: m, rowOfName: map[string]int{}, knownNames: referencedNames(base)}
	for _, row := range rows {
		im.importRow(row)
	}
	if len(im.invalid) > 0 {
		return nil, errkind.Wrap(im.invalid, errkind.InvalidConfig, "%d invalid cells in the export", len(im.invalid))
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

// referencedNames returns the names that each field may refer to.
func referencedNames(c *config.Config) map[string]map[string]bool {
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

func (im *importer) addInvalid(row Row, column, value, expected string) {
	im.invalid = append(im.invalid, InvalidCell{Row: row.Number, Column: column, Value: value, Expected: expected})
}

// importRow converts one row, or reports its invalid cells.
func (im *importer) importRow(row Row) {
	kind, ok := row.Cells[im.mapping.KindColumn]
	if slices.Contains(im.mapping.Ignore, kind) && ok {
		return
	}
	k, mapped := im.mapping.Kinds[kind]
	if !mapped {
		im.addInvalid(row, im.mapping.KindColumn, kind, "a kind that the mapping names")
		return
	}
	before := len(im.invalid)
	v := map[string]string{}
	for _, field := range slices.Sorted(maps.Keys(k.Fields)) {
		v[field] = im.fieldValue(row, k, field)
	}
	if first, ok := im.rowOfName[k.List+"/"+v["name"]]; ok && v["name"] != "" {
		im.addInvalid(row, k.Fields["name"], v["name"], fmt.Sprintf("a unique name, row %d has it too", first))
	}
	im.rowOfName[k.List+"/"+v["name"]] = row.Number
	if len(im.invalid) > before {
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

// fieldValue returns the value of a field. It reports an invalid value, and
// returns an empty one if a cell is missing.
func (im *importer) fieldValue(row Row, k KindMapping, field string) string {
	column := k.Fields[field]
	required := listFields[k.List][field]
	value, complete := im.expandTemplate(row, column, required)
	if !complete || value == "" {
		return ""
	}
	if to, ok := k.Values[field][value]; ok {
		value = to
	}
	names, isReference := im.knownNames[field]
	switch {
	case isReference && !names[value]:
		im.addInvalid(row, column, value, "the name of a "+strings.ReplaceAll(field, "_", " ")+" in the configuration")
	case strings.HasSuffix(field, "_addr") && !isAddr(value):
		im.addInvalid(row, column, value, "an IP address with a port")
	}
	return value
}

// expandTemplate returns the cell of a column or, if the template has braces, the
// template with the cells of the columns in them. It reports missing cells of
// required fields, and then returns false.
func (im *importer) expandTemplate(row Row, template string, required bool) (value string, complete bool) {
	complete = true
	cell := func(name string) string {
		v, ok := row.Cells[name]
		if !ok && required {
			im.addInvalid(row, name, "", "a column with this name")
			complete = false
		} else if v == "" && required {
			im.addInvalid(row, name, "", "a value")
			complete = false
		}
		return v
	}
	if !placeholder.MatchString(template) {
		return cell(template), complete
	}
	return placeholder.ReplaceAllStringFunc(template, func(p string) string { return cell(p[1 : len(p)-1]) }), complete
}

// isAddr reports whether the string is an IP address with a port in digits.
func isAddr(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := net.LookupPort("tcp", port)
	return err == nil && n > 0 && strings.Trim(port, "0123456789") == ""
}
