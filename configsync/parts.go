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

// The numbers of items per shard keep parts well below the limit of 1 MB per value.
const (
	customersPerShard = 100
	targetsPerShard   = 2000
)

// object is a decoded JSON object.
type object = map[string]any

// splitTree returns the parts of a tree by name: shards of the targets and entries
// of each region, shards of the customers, and the rest as part "base".
func splitTree(tree []byte) (map[string][]byte, error) {
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
			put(fmt.Sprintf("region-%s-%d-%d", regions[dc], shards, shardIndex(name, shards)), list, name, v)
		}
		delete(inv, list)
	}
	customers, _ := inv["customers"].(object)
	shards := shardCount(len(customers), customersPerShard)
	for name, v := range customers {
		put(fmt.Sprintf("customers-%d-%d", shards, shardIndex(name, shards)), "customers", name, v)
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

// shardCount returns the number of shards for the items. It is a power of two, so
// that the number rarely changes and items rarely move to another shard.
func shardCount(items, perShard int) uint32 {
	n := uint32(1)
	for int(n)*perShard < items {
		n *= 2
	}
	return n
}

// shardIndex returns the shard of a name.
func shardIndex(name string, shards uint32) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32() % shards
}

// joinTree returns the tree with the given parts; it is the inverse of splitTree.
func joinTree(parts [][]byte) ([]byte, error) {
	doc := object{}
	for _, p := range parts {
		var o object
		if err := json.Unmarshal(p, &o); err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidConfig, "decode a part in the key-value store")
		}
		mergeObjects(doc, o)
	}
	tree, err := json.Marshal(doc)
	return tree, errors.WithStack(err)
}

// mergeObjects adds the fields of src to dst, and merges objects that are in both.
func mergeObjects(dst, src object) {
	for name, v := range src {
		a, isObject := dst[name].(object)
		b, alsoObject := v.(object)
		if isObject && alsoObject {
			mergeObjects(a, b)
		} else {
			dst[name] = v
		}
	}
}

// partRefs returns references to all parts, and those to parts that the old head
// does not have with the same digest.
func partRefs(parts map[string][]byte, old *Head, revision uint64) (all, newParts []PartRef) {
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
		all, newParts = append(all, p), append(newParts, p)
	}
	return all, newParts
}

// replacedPartKeys returns the keys of the old head's parts that are not among
// the new ones.
func replacedPartKeys(old *Head, parts []PartRef) []string {
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
