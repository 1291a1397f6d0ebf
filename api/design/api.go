package design

import . "goa.design/goa/v3/dsl"

var _ = API("skylarkstep", func() {
	Title("skylarkstep")
	Description("Load balancer for expert-parallel model groups and plain services.")
	Version("1")
})

// CustomerKey authenticates callers.
var CustomerKey = JWTSecurity("customer_key", func() {
	Description("Bearer key of a customer. The inventory holds its SHA-256 hash.")
})

// OperatorToken authenticates operators.
var OperatorToken = JWTSecurity("operator_token", func() {
	Description("Bearer token of an operator. The settings of the entries hold its SHA-256 hash.")
})
