package design

import . "goa.design/goa/v3/dsl"

// GroupState is the state of a rank group, as its targets report it.
var GroupState = Type("GroupState", func() {
	Attribute("name", String)
	Attribute("data_centre", String)
	Attribute("reported", Boolean, "False if no target of the group reports to this entry")
	Attribute("map_version", UInt64)
	Attribute("step", UInt64)
	Attribute("last_step_age_ms", UInt64)
	Attribute("skew", Float64, "Step time of the slowest rank relative to the mean, in the last step")
	Attribute("rebalancing", Boolean, "A switch to another expert map is in progress")
	Attribute("stalled", Boolean, "The group completes no steps and gets no new work")
	Attribute("frozen", Boolean, "Rebalancing was stopped by an operator")
	Required("name", "data_centre", "reported", "map_version", "step", "last_step_age_ms", "skew", "rebalancing", "stalled", "frozen")
})

var _ = Service("groups", func() {
	Description("State of the rank groups, as reported to this entry.")
	Security(OperatorToken)

	Method("list", func() {
		Payload(func() {
			Token("token", String)
			Required("token")
		})
		Result(ArrayOf(GroupState))
		HTTP(func() { GET("/v1/groups") })
	})
})
