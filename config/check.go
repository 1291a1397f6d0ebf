package config

import "fmt"

// referenceChecker collects the invalid fields that a schema can't express:
// duplicate names and references to names that do not exist.
type referenceChecker struct {
	invalid ValidationError
}

func (k *referenceChecker) addInvalid(path, value, expected string) {
	k.invalid = append(k.invalid, InvalidField{Path: path, Value: fmt.Sprintf("%q", value), Expected: expected})
}

// checkUnique reports the duplicates among the names of the n items of the list at
// path, and returns the set of names.
func (k *referenceChecker) checkUnique(path string, n int, name func(int) string) map[string]bool {
	seen := make(map[string]bool, n)
	for i := range n {
		if seen[name(i)] {
			k.addInvalid(fmt.Sprintf("%s/%d/name", path, i), name(i), "a unique name")
		}
		seen[name(i)] = true
	}
	return seen
}

// checkReference reports a value that is not one of the known names.
func (k *referenceChecker) checkReference(path, value, kind string, known map[string]bool) {
	if !known[value] {
		k.addInvalid(path, value, "the name of a "+kind+" in the inventory")
	}
}

// checkReferences returns the duplicate names, the references to unknown names,
// the model back ends with a missing or duplicate model, and the groups with too
// few slots for their experts.
func (c *Config) checkReferences() ValidationError {
	var k referenceChecker
	inv := &c.Inventory
	regions := k.checkUnique("/inventory/regions", len(inv.Regions), func(i int) string { return inv.Regions[i].Name })
	dcs := k.checkUnique("/inventory/data_centres", len(inv.DataCentres), func(i int) string { return inv.DataCentres[i].Name })
	backends := k.checkUnique("/inventory/back_ends", len(inv.Backends), func(i int) string { return inv.Backends[i].Name })
	targets := k.checkUnique("/inventory/targets", len(inv.Targets), func(i int) string { return inv.Targets[i].Name })
	groups := k.checkUnique("/inventory/groups", len(inv.Groups), func(i int) string { return inv.Groups[i].Name })
	customers := k.checkUnique("/inventory/customers", len(inv.Customers), func(i int) string { return inv.Customers[i].Name })
	k.checkUnique("/inventory/entries", len(inv.Entries), func(i int) string { return inv.Entries[i].Name })

	for i, d := range inv.DataCentres {
		k.checkReference(fmt.Sprintf("/inventory/data_centres/%d/region", i), d.Region, "region", regions)
	}
	for i, e := range inv.Entries {
		k.checkReference(fmt.Sprintf("/inventory/entries/%d/data_centre", i), e.DataCentre, "data centre", dcs)
	}
	k.checkBackends(inv)
	for i, t := range inv.Targets {
		p := fmt.Sprintf("/inventory/targets/%d", i)
		k.checkReference(p+"/back_end", t.Backend, "back end", backends)
		k.checkReference(p+"/data_centre", t.DataCentre, "data centre", dcs)
		if t.Group != "" {
			k.checkReference(p+"/group", t.Group, "group", groups)
		}
	}
	for i, g := range inv.Groups {
		p := fmt.Sprintf("/inventory/groups/%d", i)
		k.checkReference(p+"/back_end", g.Backend, "back end", backends)
		k.checkReference(p+"/data_centre", g.DataCentre, "data centre", dcs)
		if g.Ranks*g.SlotsPerRank < g.Experts {
			k.addInvalid(p+"/slots_per_rank", fmt.Sprint(g.SlotsPerRank), "enough slots on all ranks for every expert")
		}
	}
	k.checkRules(&c.Rules, dcs, backends, targets, groups, customers)
	return k.invalid
}

// checkBackends reports model back ends without a model or with the same model.
func (k *referenceChecker) checkBackends(inv *Inventory) {
	models := map[string]bool{}
	for i, b := range inv.Backends {
		if b.Kind != KindModel {
			continue // a model of a plain service has no meaning
		}
		p := fmt.Sprintf("/inventory/back_ends/%d/model", i)
		if b.Model == "" {
			k.addInvalid(p, b.Model, "the model that the back end serves")
		}
		if models[b.Model] {
			k.addInvalid(p, b.Model, "a model that no other back end serves")
		}
		models[b.Model] = true
	}
}

// checkRules reports the references of the rules to unknown names.
func (k *referenceChecker) checkRules(r *Rules, dcs, backends, targets, groups, customers map[string]bool) {
	for i, s := range r.Serve {
		p := fmt.Sprintf("/rules/serve/%d", i)
		k.checkReference(p+"/customer", s.Customer, "customer", customers)
		for j, d := range s.DataCentres {
			k.checkReference(fmt.Sprintf("%s/data_centres/%d", p, j), d, "data centre", dcs)
		}
	}
	for i, x := range r.Idempotent {
		k.checkReference(fmt.Sprintf("/rules/idempotent/%d/back_end", i), x.Backend, "back end", backends)
	}
	for i, x := range r.Warmup {
		k.checkReference(fmt.Sprintf("/rules/warmup/%d/back_end", i), x.Backend, "back end", backends)
	}
	for i, x := range r.Limits {
		k.checkReference(fmt.Sprintf("/rules/limits/%d/back_end", i), x.Backend, "back end", backends)
	}
	for i, d := range r.DataCentresOut {
		k.checkReference(fmt.Sprintf("/rules/data_centres_out/%d", i), d, "data centre", dcs)
	}
	for i, t := range r.TargetsLeaving {
		k.checkReference(fmt.Sprintf("/rules/targets_leaving/%d", i), t, "target", targets)
	}
	for i, g := range r.FrozenGroups {
		k.checkReference(fmt.Sprintf("/rules/groups_frozen/%d", i), g, "group", groups)
	}
}
