package configsync

import (
	"fmt"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// checkService refuses a configuration that leaves a customer without a data
// centre or takes the last serving data centre out.
func checkService(c *config.Config) error {
	var faults config.ValidationError
	serving := 0
	for _, d := range c.Inventory.DataCentres {
		if !c.IsOut(d.Name) {
			serving++
		}
	}
	if serving == 0 {
		faults = append(faults, config.InvalidField{
			Path: "/rules/data_centres_out", Value: fmt.Sprintf("%q", c.Rules.DataCentresOut), Expected: "at least one data centre that serves",
		})
	}
	for _, cu := range c.Inventory.Customers {
		if serving > 0 && !served(c, cu.Name) {
			faults = append(faults, config.InvalidField{
				Path: "/rules/data_centres_out", Value: fmt.Sprintf("%q", c.Rules.DataCentresOut),
				Expected: "a data centre that serves customer " + cu.Name,
			})
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return errkind.Wrap(faults, errkind.InvalidConfig,
		"the change leaves callers without service and needs allow_no_service: %s", faults.Error())
}

func served(c *config.Config, customer string) bool {
	for _, d := range c.Inventory.DataCentres {
		if !c.IsOut(d.Name) && c.Serves(customer, d.Name) {
			return true
		}
	}
	return false
}
