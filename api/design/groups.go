package design

import . "goa.design/goa/v3/dsl"

// GroupState is what the target processes of a rank group report.
var GroupState = Type("GroupState", func() {
	Attribute("name", String)
	Attribute("data_centre", String)
	Attribute("reported", Boolean, "False when no target process of the group reports to this entry")
	Attribute("map_version", UInt64)
	Attribute("step", UInt64)
	Attribute("last_step_age_ms", UInt64)
	Attribute("skew", Float64, "Slowest rank over the mean in the last step")
	Attribute("rebalancing", Boolean, "A switch to another map is in progress")
	Attribute("stalled", Boolean, "The group makes no step and gets no new work")
	Attribute("frozen", Boolean, "Operators stopped rebalancing")
	Required("name", "data_centre", "reported", "map_version", "step", "last_step_age_ms", "skew", "rebalancing", "stalled", "frozen")
})

var _ = Service("groups", func() {
	Description("Rank groups as this entry sees them.")
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
