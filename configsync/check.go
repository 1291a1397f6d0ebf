package configsync

import (
	"fmt"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// checkAvailability returns an error if the configuration takes all data centres
// out of service or leaves a customer without a data centre.
func checkAvailability(c *config.Config) error {
	var invalid config.ValidationError
	serving := 0
	for _, d := range c.Inventory.DataCentres {
		if !c.IsOut(d.Name) {
			serving++
		}
	}
	if serving == 0 {
		invalid = append(invalid, config.InvalidField{
			Path: "/rules/data_centres_out", Value: fmt.Sprintf("%q", c.Rules.DataCentresOut), Expected: "at least one data centre that serves",
		})
	}
	for _, cu := range c.Inventory.Customers {
		if serving > 0 && !isServed(c, cu.Name) {
			invalid = append(invalid, config.InvalidField{
				Path: "/rules/data_centres_out", Value: fmt.Sprintf("%q", c.Rules.DataCentresOut),
				Expected: "a data centre that serves customer " + cu.Name,
			})
		}
	}
	if len(invalid) == 0 {
		return nil
	}
	return errkind.Wrap(invalid, errkind.InvalidConfig,
		"the change leaves callers without service and needs allow_no_service: %s", invalid.Error())
}

// isServed reports whether a data centre in service may serve the customer.
func isServed(c *config.Config, customer string) bool {
	for _, d := range c.Inventory.DataCentres {
		if !c.IsOut(d.Name) && c.Serves(customer, d.Name) {
			return true
		}
	}
	return false
}
