package design

import . "goa.design/goa/v3/dsl"

// Batch holds events of one process.
var Batch = Type("Batch", func() {
	Attribute("process", String)
	Attribute("incarnation", String)
	Attribute("events", Any, "List of events")
	Attribute("overwritten", UInt64, "Number of older events that are no longer kept")
	Attribute("next", UInt64, "Sequence number to continue from in the next query")
	Attribute("unreachable", String, "Why the process could not be reached")
	Required("process", "incarnation", "events", "overwritten", "next")
})

var _ = Service("timeline", func() {
	Description("Events of the entry and of the targets it has sessions with.")
	Security(OperatorToken)

	Method("query", func() {
		Payload(func() {
			Token("token", String)
			Attribute("filter", String, "JSON filter", func() { MaxLength(4096) })
			Attribute("since", UInt64, "First sequence number to return of each process", func() { Default(0) })
			Attribute("limit", Int, "Maximum number of events per process", func() { Minimum(1); Maximum(16384); Default(4096) })
			Attribute("scope", String, "Events of this process only, or also of its targets", func() {
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
