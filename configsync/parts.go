package configsync

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// Items per shard keep a part small against the 1 MB of a value.
const (
	customersPerShard = 100
	targetsPerShard   = 2000
)

type object = map[string]any

// split returns the parts of a tree by name: the targets and entries of each
// region, the customers in shards, and the rest.
func split(tree []byte) (map[string][]byte, error) {
	var doc object
	if err := json.Unmarshal(tree, &doc); err != nil {
		return nil, errors.Wrap(err, "tree")
	}
	inv, _ := doc["inventory"].(object)
	regions := map[string]string{}
	dcs, _ := inv["data_centres"].(object)
	for name, v := range dcs {
		fields, _ := v.(object)
		regions[name], _ = fields["region"].(string)
	}
	parts := map[string]object{"base": doc}
	put := func(part, list, name string, v any) {
		if parts[part] == nil {
			parts[part] = object{"inventory": object{}}
		}
		lists := parts[part]["inventory"].(object)
		if lists[list] == nil {
			lists[list] = object{}
		}
		lists[list].(object)[name] = v
	}
	for _, list := range []string{"targets", "entries"} {
		items, _ := inv[list].(object)
		shards := shardCount(len(items), targetsPerShard)
		for name, v := range items {
			fields, _ := v.(object)
			dc, _ := fields["data_centre"].(string)
			put(fmt.Sprintf("region-%s-%d-%d", regions[dc], shards, shard(name, shards)), list, name, v)
		}
		delete(inv, list)
	}
	customers, _ := inv["customers"].(object)
	shards := shardCount(len(customers), customersPerShard)
	for name, v := range customers {
		put(fmt.Sprintf("customers-%d-%d", shards, shard(name, shards)), "customers", name, v)
	}
	delete(inv, "customers")
	out := map[string][]byte{}
	for name, p := range parts {
		data, err := json.Marshal(p)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		out[name] = data
	}
	return out, nil
}

// shardCount is a power of two, so that a new item rarely moves others.
func shardCount(items, perShard int) uint32 {
	n := uint32(1)
	for int(n)*perShard < items {
		n *= 2
	}
	return n
}

func shard(name string, shards uint32) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32() % shards
}

// join puts the parts of a tree together again.
func join(parts [][]byte) ([]byte, error) {
	doc := object{}
	for _, p := range parts {
		var o object
		if err := json.Unmarshal(p, &o); err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidConfig, "part at the key-value service")
		}
		merge(doc, o)
	}
	tree, err := json.Marshal(doc)
	return tree, errors.WithStack(err)
}

func merge(into, from object) {
	for name, v := range from {
		a, isObject := into[name].(object)
		b, alsoObject := v.(object)
		if isObject && alsoObject {
			merge(a, b)
		} else {
			into[name] = v
		}
	}
}

// refs returns the references of the parts and which of them are new values.
func refs(parts map[string][]byte, old *Head, revision uint64) (all, fresh []PartRef) {
	known := map[string]PartRef{}
	if old != nil {
		for _, p := range old.Parts {
			known[p.Name] = p
		}
	}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		p := PartRef{Name: name, Digest: config.Digest(parts[name]), Revision: revision}
		if k, ok := known[name]; ok && k.Digest == p.Digest {
			all = append(all, k)
			continue
		}
		all, fresh = append(all, p), append(fresh, p)
	}
	return all, fresh
}

// replaced returns the keys of parts that the next head no longer names.
func replaced(old *Head, parts []PartRef) []string {
	if old == nil {
		return nil
	}
	kept := map[string]bool{}
	for _, p := range parts {
		kept[p.key()] = true
	}
	var keys []string
	for _, p := range old.Parts {
		if !kept[p.key()] {
			keys = append(keys, p.key())
		}
	}
	return keys
}
