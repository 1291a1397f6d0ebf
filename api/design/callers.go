package design

import . "goa.design/goa/v3/dsl"

// Address is the address of one entry.
var Address = Type("Address", func() {
	Attribute("url", String, "Base URL of an entry", func() { Example("http://127.0.0.1:8080") })
	Attribute("data_centre", String, "Data centre of the entry")
	Required("url", "data_centre")
})

// AddressList is the ranked list of entry addresses for a caller.
var AddressList = Type("AddressList", func() {
	Attribute("addresses", ArrayOf(Address), "Addresses in the order of preference")
	Attribute("ttl_ms", Int, "How long to cache this list, in milliseconds")
	Attribute("revision", UInt64, "Configuration revision that the list is based on")
	Required("addresses", "ttl_ms", "revision")
})

// OperationIssued is a new operation id.
var OperationIssued = Type("OperationIssued", func() {
	Attribute("operation_id", String, "Send it as Operation-Id with the call and with every retry")
	Attribute("keep_ms", Int, "How long the response is stored for retries, in milliseconds")
	Required("operation_id", "keep_ms")
})

// OperationOutcome is the known outcome of an operation.
var OperationOutcome = Type("OperationOutcome", func() {
	Attribute("operation_id", String)
	Attribute("state", String, func() { Enum("absent", "closed", "running", "finished", "unknown") })
	Attribute("did_run", String, func() { Enum("not_run", "ran", "unknown") })
	Attribute("status", Int, "HTTP status of the stored response, if finished")
	Attribute("body", Bytes, "Body of the stored response, if finished")
	Required("operation_id", "state", "did_run")
})

var _ = Service("callers", func() {
	Description("API for callers.")
	Security(CustomerKey)

	Method("addresses", func() {
		Description("Returns the ranked addresses of the entries to use, in more than one data centre where possible.")
		Payload(func() {
			Token("token", String)
			Required("token")
		})
		Result(AddressList)
		HTTP(func() { GET("/v1/addresses") })
	})

	Method("complete", func() {
		Description("Generates text and streams it as server-sent events. The last event is done or error; a stream that ends without one was interrupted.")
		Payload(func() {
			Token("token", String)
			Attribute("request_id", String, func() { MaxLength(128) })
			Attribute("model", String, func() { MinLength(1); MaxLength(128) })
			Attribute("prompt", String, func() { MinLength(1) })
			Attribute("max_tokens", Int, func() { Minimum(1); Maximum(32768); Default(64) })
			Attribute("priority", Int, func() { Minimum(-10); Maximum(10); Default(0) })
			Attribute("deadline_ms", Int, "Time limit for the complete response, in milliseconds", func() {
				Minimum(1)
				Maximum(3600000)
				Default(120000)
			})
			Attribute("from_offset", Int, "Number of tokens that the caller already has", func() { Minimum(0); Default(0) })
			Attribute("from_text", String, "Text of those tokens, which engines need to resume after them", func() { Default("") })
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
		Description("Returns the outcome of an operation.")
		Payload(func() {
			Token("token", String)
			Attribute("operation_id", String, func() { MaxLength(300) })
			Required("token", "operation_id")
		})
		Result(OperationOutcome)
		HTTP(func() { GET("/v1/operations/{operation_id}") })
	})

	Method("call", func() {
		Description("Forwards a call to a plain service.")
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
			Attribute("replayed", String, "true if this is the stored response of an earlier attempt")
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
