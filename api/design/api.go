package design

import . "goa.design/goa/v3/dsl"

var _ = API("skylarkstep", func() {
	Title("skylarkstep")
	Description("Load balancer for expert-parallel model groups and plain services.")
	Version("1")
})

// CustomerKey authenticates callers.
var CustomerKey = JWTSecurity("customer_key", func() {
	Description("Bearer key of a customer. Its SHA-256 is listed in the inventory.")
})

// OperatorToken authenticates operators.
var OperatorToken = JWTSecurity("operator_token", func() {
	Description("Bearer token of an operator. Its SHA-256 is listed in the settings of the entries.")
})
