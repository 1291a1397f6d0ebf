package config

import "fmt"

// checker collects the faults that a schema can't express: duplicates and
// references to names that do not exist.
type checker struct {
	faults ValidationError
}

func (k *checker) add(path, value, expected string) {
	k.faults = append(k.faults, InvalidField{Path: path, Value: fmt.Sprintf("%q", value), Expected: expected})
}

func (k *checker) unique(path string, n int, name func(int) string) map[string]bool {
	seen := make(map[string]bool, n)
	for i := range n {
		if seen[name(i)] {
			k.add(fmt.Sprintf("%s/%d/name", path, i), name(i), "a name that is used once")
		}
		seen[name(i)] = true
	}
	return seen
}

func (k *checker) ref(path, value, what string, known map[string]bool) {
	if !known[value] {
		k.add(path, value, "the name of a "+what+" in the inventory")
	}
}

func (c *Config) check() ValidationError {
	var k checker
	inv := &c.Inventory
	regions := k.unique("/inventory/regions", len(inv.Regions), func(i int) string { return inv.Regions[i].Name })
	dcs := k.unique("/inventory/data_centres", len(inv.DataCentres), func(i int) string { return inv.DataCentres[i].Name })
	backends := k.unique("/inventory/back_ends", len(inv.Backends), func(i int) string { return inv.Backends[i].Name })
	targets := k.unique("/inventory/targets", len(inv.Targets), func(i int) string { return inv.Targets[i].Name })
	groups := k.unique("/inventory/groups", len(inv.Groups), func(i int) string { return inv.Groups[i].Name })
	customers := k.unique("/inventory/customers", len(inv.Customers), func(i int) string { return inv.Customers[i].Name })
	k.unique("/inventory/entries", len(inv.Entries), func(i int) string { return inv.Entries[i].Name })

	for i, d := range inv.DataCentres {
		k.ref(fmt.Sprintf("/inventory/data_centres/%d/region", i), d.Region, "region", regions)
	}
	for i, e := range inv.Entries {
		k.ref(fmt.Sprintf("/inventory/entries/%d/data_centre", i), e.DataCentre, "data centre", dcs)
	}
	k.checkBackends(inv)
	for i, t := range inv.Targets {
		p := fmt.Sprintf("/inventory/targets/%d", i)
		k.ref(p+"/back_end", t.Backend, "back end", backends)
		k.ref(p+"/data_centre", t.DataCentre, "data centre", dcs)
		if t.Group != "" {
			k.ref(p+"/group", t.Group, "group", groups)
		}
	}
	for i, g := range inv.Groups {
		p := fmt.Sprintf("/inventory/groups/%d", i)
		k.ref(p+"/back_end", g.Backend, "back end", backends)
		k.ref(p+"/data_centre", g.DataCentre, "data centre", dcs)
		if g.Ranks*g.SlotsPerRank < g.Experts {
			k.add(p+"/slots_per_rank", fmt.Sprint(g.SlotsPerRank), "enough slots on all ranks for every expert")
		}
	}
	k.checkRules(&c.Rules, dcs, backends, targets, groups, customers)
	return k.faults
}

func (k *checker) checkBackends(inv *Inventory) {
	models := map[string]bool{}
	for i, b := range inv.Backends {
		p := fmt.Sprintf("/inventory/back_ends/%d/model", i)
		if b.Kind == KindModel && b.Model == "" {
			k.add(p, b.Model, "the model that the back end serves")
		}
		if b.Kind == KindModel && models[b.Model] {
			k.add(p, b.Model, "a model that one back end serves")
		}
		models[b.Model] = true
	}
}

func (k *checker) checkRules(r *Rules, dcs, backends, targets, groups, customers map[string]bool) {
	for i, s := range r.Serve {
		p := fmt.Sprintf("/rules/serve/%d", i)
		k.ref(p+"/customer", s.Customer, "customer", customers)
		for j, d := range s.DataCentres {
			k.ref(fmt.Sprintf("%s/data_centres/%d", p, j), d, "data centre", dcs)
		}
	}
	for i, x := range r.Idempotent {
		k.ref(fmt.Sprintf("/rules/idempotent/%d/back_end", i), x.Backend, "back end", backends)
	}
	for i, x := range r.Warmup {
		k.ref(fmt.Sprintf("/rules/warmup/%d/back_end", i), x.Backend, "back end", backends)
	}
	for i, x := range r.Limits {
		k.ref(fmt.Sprintf("/rules/limits/%d/back_end", i), x.Backend, "back end", backends)
	}
	for i, d := range r.DataCentresOut {
		k.ref(fmt.Sprintf("/rules/data_centres_out/%d", i), d, "data centre", dcs)
	}
	for i, t := range r.TargetsLeaving {
		k.ref(fmt.Sprintf("/rules/targets_leaving/%d", i), t, "target", targets)
	}
	for i, g := range r.FrozenGroups {
		k.ref(fmt.Sprintf("/rules/groups_frozen/%d", i), g, "group", groups)
	}
}
