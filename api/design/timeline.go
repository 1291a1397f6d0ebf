package design

import . "goa.design/goa/v3/dsl"

// Batch is the events of one process.
var Batch = Type("Batch", func() {
	Attribute("process", String)
	Attribute("incarnation", String)
	Attribute("events", Any, "List of events")
	Attribute("overwritten", UInt64, "Older events that are no longer kept")
	Attribute("next", UInt64, "Sequence number to ask for next")
	Attribute("unreachable", String, "Why the process did not answer")
	Required("process", "incarnation", "events", "overwritten", "next")
})

var _ = Service("timeline", func() {
	Description("Events of the entry and of the target processes it has sessions with.")
	Security(OperatorToken)

	Method("query", func() {
		Payload(func() {
			Token("token", String)
			Attribute("filter", String, "JSON filter", func() { MaxLength(4096) })
			Attribute("since", UInt64, "First sequence number of each process", func() { Default(0) })
			Attribute("limit", Int, "Most events of each process", func() { Minimum(1); Maximum(16384); Default(4096) })
			Attribute("scope", String, "This process, or also the target processes", func() {
				Enum("process", "targets")
				Default("targets")
			})
			Required("token")
		})
		Result(ArrayOf(Batch))
		HTTP(func() {
			GET("/v1/timeline")
			Param("filter")
			Param("since")
			Param("limit")
			Param("scope")
		})
	})
})
