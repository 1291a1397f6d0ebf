package config

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// A tree is the form of a configuration that deltas apply to: lists of named
// items are objects keyed by name. A JSON merge patch replaces an array as a
// whole, so a change of one target would otherwise carry all 10,000 targets.

// listKeys maps each list that becomes an object to the field that is its key.
// An empty field name means a list of strings.
var listKeys = map[string]map[string]string{
	"inventory": {
		"regions": "name", "data_centres": "name", "entries": "name", "back_ends": "name",
		"targets": "name", "groups": "name", "customers": "name",
	},
	"rules": {
		"serve": "customer", "idempotent": "back_end", "warmup": "back_end", "limits": "back_end",
		"data_centres_out": "", "targets_leaving": "", "groups_frozen": "",
	},
}

// requiredLists are the lists of the inventory that the schema requires. A tree
// omits empty lists, so FromTree adds these again.
var requiredLists = []string{"regions", "data_centres", "entries", "back_ends", "targets", "customers"}

// Tree returns the tree of the configuration in canonical JSON, without the
// revision. Configurations that differ only in the order of their lists have the
// same tree.
func (c *Config) Tree() ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var doc map[string]any
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, errors.WithStack(err)
	}
	delete(doc, "revision")
	for section, lists := range listKeys {
		s, _ := doc[section].(map[string]any)
		for list, key := range lists {
			items, ok := s[list].([]any)
			if !ok || len(items) == 0 {
				delete(s, list)
				continue
			}
			s[list] = toObject(items, key)
		}
	}
	tree, err := json.Marshal(doc)
	return tree, errors.WithStack(err)
}

// toObject converts a list into an object keyed by the given field. Of two rules
// with the same key only the first takes effect, so the second is dropped. The
// operations of two idempotent rules for the same back end are merged.
func toObject(items []any, key string) map[string]any {
	out := make(map[string]any, len(items))
	for _, item := range items {
		if name, ok := item.(string); ok {
			out[name] = true
			continue
		}
		fields, _ := item.(map[string]any)
		name, _ := fields[key].(string)
		operations, hasOperations := fields["operations"].([]any)
		if old, ok := out[name].(map[string]any); ok {
			if hasOperations {
				maps.Copy(old["operations"].(map[string]any), toObject(operations, ""))
			}
			continue
		}
		delete(fields, key)
		if hasOperations {
			fields["operations"] = toObject(operations, "")
		}
		out[name] = fields
	}
	return out
}

// FromTree returns the validated configuration of a tree. Its lists are in the
// order of their keys.
func FromTree(tree []byte, revision uint64) (*Config, error) {
	var doc map[string]any
	if err := json.Unmarshal(tree, &doc); err != nil || doc == nil {
		return nil, errkind.New(errkind.InvalidConfig, "the tree is not a JSON object")
	}
	for section, lists := range listKeys {
		s, ok := doc[section].(map[string]any)
		if !ok {
			if section == "rules" {
				doc[section] = map[string]any{}
			}
			continue
		}
		for list, key := range lists {
			if items, ok := s[list].(map[string]any); ok {
				s[list] = toList(items, key)
			}
		}
	}
	if inv, ok := doc["inventory"].(map[string]any); ok {
		for _, list := range requiredLists {
			if inv[list] == nil {
				inv[list] = []any{}
			}
		}
	}
	if revision > 0 {
		doc["revision"] = revision
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return ParseConfig(data)
}

// toList converts an object back into a list; it is the inverse of toObject.
func toList(items map[string]any, key string) []any {
	out := make([]any, 0, len(items))
	for _, name := range slices.Sorted(maps.Keys(items)) {
		fields, ok := items[name].(map[string]any)
		if !ok {
			out = append(out, name)
			continue
		}
		if operations, ok := fields["operations"].(map[string]any); ok {
			fields["operations"] = toList(operations, "")
		}
		if key != "" {
			fields[key] = name
		}
		out = append(out, fields)
	}
	return out
}
