package design

import . "goa.design/goa/v3/dsl"

// Address is one way into the system.
var Address = Type("Address", func() {
	Attribute("url", String, "Base URL of an entry instance", func() { Example("http://127.0.0.1:8080") })
	Attribute("data_centre", String, "Data centre of the entry instance")
	Required("url", "data_centre")
})

// AddressList is the ranked answer to a caller.
var AddressList = Type("AddressList", func() {
	Attribute("addresses", ArrayOf(Address), "Ranked: try the first one first")
	Attribute("ttl_ms", Int, "How long to keep this answer, in milliseconds")
	Attribute("revision", UInt64, "Configuration revision the answer was made from")
	Required("addresses", "ttl_ms", "revision")
})

// OperationIssued is a fresh operation id.
var OperationIssued = Type("OperationIssued", func() {
	Attribute("operation_id", String, "Send it as Operation-Id with the call and with every repeat")
	Attribute("keep_ms", Int, "How long the answer is kept for repeats, in milliseconds")
	Required("operation_id", "keep_ms")
})

// OperationOutcome is what is known about an operation.
var OperationOutcome = Type("OperationOutcome", func() {
	Attribute("operation_id", String)
	Attribute("state", String, func() { Enum("absent", "closed", "running", "finished", "unknown") })
	Attribute("did_run", String, func() { Enum("not_run", "ran", "unknown") })
	Attribute("status", Int, "HTTP status of the stored answer, if finished")
	Attribute("body", Bytes, "Body of the stored answer, if finished")
	Required("operation_id", "state", "did_run")
})

var _ = Service("callers", func() {
	Description("What callers use.")
	Security(CustomerKey)

	Method("addresses", func() {
		Description("Tells which entry addresses to use, ranked, in more than one data centre where possible.")
		Payload(func() {
			Token("token", String)
			Required("token")
		})
		Result(AddressList)
		HTTP(func() { GET("/v1/addresses") })
	})

	Method("complete", func() {
		Description("Generates text and streams it as server-sent events. The last event is done or error; a stream without one was cut.")
		Payload(func() {
			Token("token", String)
			Attribute("request_id", String, func() { MaxLength(128) })
			Attribute("model", String, func() { MinLength(1); MaxLength(128) })
			Attribute("prompt", String, func() { MinLength(1) })
			Attribute("max_tokens", Int, func() { Minimum(1); Maximum(32768); Default(64) })
			Attribute("priority", Int, func() { Minimum(-10); Maximum(10); Default(0) })
			Attribute("deadline_ms", Int, "Time for the whole answer, in milliseconds", func() {
				Minimum(1)
				Maximum(3600000)
				Default(120000)
			})
			Attribute("from_offset", Int, "Tokens the caller already has", func() { Minimum(0); Default(0) })
			Attribute("from_text", String, "Text of those tokens, which engines need to continue after them", func() { Default("") })
			Required("token", "model", "prompt")
		})
		Result(func() {
			Attribute("content_type", String)
			Attribute("request_id", String)
			Required("content_type", "request_id")
		})
		HTTP(func() {
			POST("/v1/completions")
			Header("request_id:X-Request-Id")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("content_type:Content-Type")
				Header("request_id:X-Request-Id")
			})
		})
	})

	Method("issue_operation", func() {
		Description("Issues an operation id for one non-idempotent call.")
		Payload(func() {
			Token("token", String)
			Attribute("back_end", String, func() { MinLength(1); MaxLength(63) })
			Required("token", "back_end")
		})
		Result(OperationIssued)
		HTTP(func() { POST("/v1/operations") })
	})

	Method("outcome", func() {
		Description("Tells what became of an operation.")
		Payload(func() {
			Token("token", String)
			Attribute("operation_id", String, func() { MaxLength(300) })
			Required("token", "operation_id")
		})
		Result(OperationOutcome)
		HTTP(func() { GET("/v1/operations/{operation_id}") })
	})

	Method("call", func() {
		Description("Passes a call through to a plain service.")
		Payload(func() {
			Token("token", String)
			Attribute("back_end", String, func() { MaxLength(63) })
			Attribute("operation", String, func() { MaxLength(63) })
			Attribute("request_id", String, func() { MaxLength(128) })
			Attribute("operation_id", String, func() { MaxLength(300) })
			Attribute("idempotency_key", String, func() { MaxLength(200) })
			Attribute("deadline_ms", Int, func() { Minimum(1); Maximum(600000); Default(30000) })
			Attribute("content_type", String, func() { MaxLength(200); Default("application/json") })
			Required("token", "back_end", "operation")
		})
		Result(func() {
			Attribute("content_type", String)
			Attribute("request_id", String)
			Attribute("operation_id", String)
			Attribute("replayed", String, "true when the answer of an earlier attempt is repeated")
			Required("content_type", "request_id")
		})
		HTTP(func() {
			POST("/v1/services/{back_end}/{operation}")
			Header("request_id:X-Request-Id")
			Header("operation_id:Operation-Id")
			Header("idempotency_key:Idempotency-Key")
			Header("deadline_ms:X-Deadline-Ms")
			Header("content_type:Content-Type")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("content_type:Content-Type")
				Header("request_id:X-Request-Id")
				Header("operation_id:Operation-Id")
				Header("replayed:X-Replayed")
			})
		})
	})
})
