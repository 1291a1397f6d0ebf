package design

import . "goa.design/goa/v3/dsl"

// ConfigDocument is a configuration with its revision.
var ConfigDocument = Type("ConfigDocument", func() {
	Attribute("revision", UInt64)
	Attribute("document", Any, "Inventory and rules")
	Required("revision", "document")
})

// ConfigAccepted is the response to an accepted change.
var ConfigAccepted = Type("ConfigAccepted", func() {
	Attribute("revision", UInt64)
	Attribute("already", Boolean, "True if an edit with this id was accepted before")
	Required("revision", "already")
})

// ProcessRevision is the active revision of a process.
var ProcessRevision = Type("ProcessRevision", func() {
	Attribute("name", String)
	Attribute("role", String)
	Attribute("data_centre", String)
	Attribute("state", String)
	Attribute("incarnation", String)
	Attribute("revision", UInt64)
	Attribute("in_force", Boolean)
	Attribute("heard_ms_ago", Int64)
	Required("name", "role", "data_centre", "state", "incarnation", "revision", "in_force", "heard_ms_ago")
})

// RevisionStatus lists the active revision of every process.
var RevisionStatus = Type("RevisionStatus", func() {
	Attribute("revision", UInt64)
	Attribute("store_reachable", Boolean)
	Attribute("freshness_ms", Int64, "Time since the head of the configuration was last confirmed")
	Attribute("freshness", String, "fresh, service_down or isolated")
	Attribute("processes", ArrayOf(ProcessRevision))
	Required("revision", "store_reachable", "freshness_ms", "freshness", "processes")
})

// HistoryItem is one accepted change.
var HistoryItem = Type("HistoryItem", func() {
	Attribute("revision", UInt64)
	Attribute("edit_id", String)
	Attribute("author", String)
	Attribute("time", String)
	Attribute("patch", Any, "JSON merge patch (RFC 7386) from the previous revision")
	Required("revision", "edit_id", "author", "time", "patch")
})

var _ = Service("operators", func() {
	Description("API for operators, used by skylarkctl.")
	Security(OperatorToken)

	Method("get_config", func() {
		Payload(func() {
			Token("token", String)
			Attribute("revision", UInt64, "0 for the active revision")
			Required("token")
		})
		Result(ConfigDocument)
		HTTP(func() {
			GET("/v1/config")
			Param("revision")
		})
	})

	Method("apply_config", func() {
		Description("Replaces the whole configuration. Rejected if another edit was accepted after the base revision.")
		Payload(func() {
			Token("token", String)
			Attribute("base_revision", UInt64, "Revision that the edit is based on")
			Attribute("edit_id", String, func() { MinLength(8); MaxLength(64) })
			Attribute("allow_no_service", Boolean, func() { Default(false) })
			Attribute("allow_minority", Boolean, "Accept at an entry that receives heartbeats from fewer than a majority of the entries", func() { Default(false) })
			Attribute("document", Any)
			Required("token", "base_revision", "edit_id", "document")
		})
		Result(ConfigAccepted)
		HTTP(func() {
			PUT("/v1/config")
			Header("base_revision:If-Match")
			Header("edit_id:Edit-Id")
			Param("allow_no_service")
			Param("allow_minority")
			Body("document")
		})
	})

	Method("rollback_config", func() {
		Description("Accepts the content of an earlier revision as a new, higher revision.")
		Payload(func() {
			Token("token", String)
			Attribute("base_revision", UInt64, "Latest accepted revision")
			Attribute("to_revision", UInt64, "Revision whose content to restore")
			Attribute("edit_id", String, func() { MinLength(8); MaxLength(64) })
			Attribute("allow_no_service", Boolean, func() { Default(false) })
			Attribute("allow_minority", Boolean, func() { Default(false) })
			Required("token", "base_revision", "to_revision", "edit_id")
		})
		Result(ConfigAccepted)
		HTTP(func() {
			POST("/v1/config/rollback")
			Header("base_revision:If-Match")
			Header("edit_id:Edit-Id")
			Param("to_revision")
			Param("allow_no_service")
			Param("allow_minority")
		})
	})

	Method("config_status", func() {
		Payload(func() {
			Token("token", String)
			Required("token")
		})
		Result(RevisionStatus)
		HTTP(func() { GET("/v1/config/status") })
	})

	Method("config_history", func() {
		Payload(func() {
			Token("token", String)
			Attribute("limit", Int, func() { Minimum(1); Maximum(1000); Default(20) })
			Required("token")
		})
		Result(ArrayOf(HistoryItem))
		HTTP(func() {
			GET("/v1/config/history")
			Param("limit")
		})
	})
})
