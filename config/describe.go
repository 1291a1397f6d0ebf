package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// FieldDescription describes one field of a document for the reference pages.
type FieldDescription struct {
	Path        string
	Type        string
	Range       string
	Required    bool
	Description string
}

// schemaNode holds the keywords of a JSON schema that descriptions are made from.
type schemaNode struct {
	Type             string                 `json:"type"`
	Description      string                 `json:"description"`
	Properties       map[string]*schemaNode `json:"properties"`
	Items            *schemaNode            `json:"items"`
	Required         []string               `json:"required"`
	Enum             []string               `json:"enum"`
	Minimum          *float64               `json:"minimum"`
	Maximum          *float64               `json:"maximum"`
	ExclusiveMinimum *float64               `json:"exclusiveMinimum"`
}

// DescribeSettings returns the descriptions of all settings of a process.
func DescribeSettings() []FieldDescription { return describe(settingsSchema) }

// DescribeConfig returns the descriptions of all fields of the inventory and the
// rules.
func DescribeConfig() []FieldDescription { return describe(configSchema) }

func describe(schema []byte) []FieldDescription {
	var root schemaNode
	if err := json.Unmarshal(schema, &root); err != nil {
		panic("embedded schema: " + err.Error())
	}
	var fields []FieldDescription
	root.appendFields("", &fields)
	return fields
}

// appendFields appends the descriptions of all fields below the node, in the
// order of their names.
func (n *schemaNode) appendFields(path string, fields *[]FieldDescription) {
	names := make([]string, 0, len(n.Properties))
	for name := range n.Properties {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		child := n.Properties[name]
		p := strings.TrimPrefix(path+"."+name, ".")
		required := slices.Contains(n.Required, name)
		for child.Type == "array" && child.Items != nil {
			p += "[]"
			child = child.Items
		}
		if len(child.Properties) > 0 {
			child.appendFields(p, fields)
			continue
		}
		*fields = append(*fields, FieldDescription{
			Path: p, Type: child.typeText(), Range: child.rangeText(), Required: required, Description: child.Description,
		})
	}
}

// typeText returns the type, or the permitted values of an enum.
func (n *schemaNode) typeText() string {
	if len(n.Enum) > 0 {
		return "one of " + strings.Join(n.Enum, ", ")
	}
	return n.Type
}

// rangeText returns the permitted range of a number, or an empty text.
func (n *schemaNode) rangeText() string {
	low := ""
	switch {
	case n.Minimum != nil:
		low = fmt.Sprintf("%g", *n.Minimum)
	case n.ExclusiveMinimum != nil:
		low = fmt.Sprintf("over %g", *n.ExclusiveMinimum)
	}
	if n.Maximum == nil {
		return low
	}
	return fmt.Sprintf("%s to %g", low, *n.Maximum)
}
