package errkind

import "net/http"

// Kind is a class of failure. The zero value is not a valid kind.
type Kind uint8

// The closed list of kinds. Processes send each other the numeric values, so new
// kinds are appended and existing ones keep their number.
const (
	Unspecified        Kind = iota
	InvalidRequest          // the body or a parameter is malformed
	Unauthenticated         // the bearer key is missing or unknown
	Forbidden               // the customer may not use this back end
	UnknownModel            // no back end serves the model
	UnknownBackend          // no back end has the name
	UnknownOperation        // the operation id is malformed or names an unknown target
	UnsupportedMedia        // the content type is not accepted
	TooLarge                // the body exceeds the limit
	Overloaded              // the expected wait exceeds the deadline
	NoTarget                // no target can accept the request now
	Leaving                 // the process or its data centre is leaving
	Cold                    // the target is warming up and has no free capacity
	StaleIncarnation        // the dispatch names another incarnation
	Isolated                // the process may have missed a configuration change
	NotReady                // the process has no configuration yet
	TargetUnreachable       // no dispatch could be written to the target
	TargetLost              // the target became unreachable after the dispatch
	Stalled                 // the back end made no progress for too long
	BackendUnreachable      // the back end could not be dialled
	BackendFailed           // the back end returned an error
	DeadlineExceeded        // the deadline passed before the response was complete
	Canceled                // the caller disconnected or cancelled the request
	OperationClosed         // the operation id was closed before it ran
	OperationUnknown        // the outcome of the operation id is not known
	RevisionConflict        // another edit was accepted first
	RevisionStale           // a lower revision than the one held was offered
	InvalidConfig           // the configuration is not valid
	StoreUnavailable        // the key-value store does not respond
	Fenced                  // the fencing number is lower than one already seen
	ProtocolMismatch        // the peer speaks another protocol version
	Internal                // an unexpected error in this process
	Quarantined             // a part of the prompt has crashed targets
	UploadTimeout           // the body did not arrive before the deadline

	kindCount
)

// DidRun states whether the back end has or may have executed the call.
type DidRun uint8

// The values of DidRun. NotRun guarantees that the call was not executed and
// never will be under the same id.
const (
	Unknown DidRun = iota
	NotRun
	Ran
)

// String returns the name used in responses.
func (d DidRun) String() string {
	switch d {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Response describes how a kind is reported to callers and handled by entries.
type Response struct {
	Name      string
	Status    int
	Retryable bool   // the caller may send the same request again
	DidRun    DidRun // the default, unless the process that raised the error sets another value
	FailOver  bool   // the entry may send the request to another target
}

// statusClientClosed is the status that is commonly used if the caller closed
// the connection. It is not part of the HTTP standard.
const statusClientClosed = 499

var responses = [kindCount]Response{
	Unspecified:        {"unspecified", http.StatusInternalServerError, false, Unknown, false},
	InvalidRequest:     {"invalid_request", http.StatusBadRequest, false, NotRun, false},
	Unauthenticated:    {"unauthenticated", http.StatusUnauthorized, false, NotRun, false},
	Forbidden:          {"forbidden", http.StatusForbidden, false, NotRun, false},
	UnknownModel:       {"unknown_model", http.StatusNotFound, false, NotRun, false},
	UnknownBackend:     {"unknown_back_end", http.StatusNotFound, false, NotRun, false},
	UnknownOperation:   {"unknown_operation", http.StatusNotFound, false, NotRun, false},
	UnsupportedMedia:   {"unsupported_media_type", http.StatusUnsupportedMediaType, false, NotRun, false},
	TooLarge:           {"too_large", http.StatusRequestEntityTooLarge, false, NotRun, false},
	Overloaded:         {"overloaded", http.StatusTooManyRequests, true, NotRun, true},
	NoTarget:           {"no_target", http.StatusServiceUnavailable, true, NotRun, false},
	Leaving:            {"leaving", http.StatusServiceUnavailable, true, NotRun, true},
	Cold:               {"cold", http.StatusServiceUnavailable, true, NotRun, true},
	StaleIncarnation:   {"stale_incarnation", http.StatusServiceUnavailable, true, NotRun, true},
	Isolated:           {"isolated", http.StatusServiceUnavailable, true, NotRun, false},
	NotReady:           {"not_ready", http.StatusServiceUnavailable, true, NotRun, true},
	TargetUnreachable:  {"target_unreachable", http.StatusBadGateway, true, NotRun, true},
	TargetLost:         {"target_lost", http.StatusBadGateway, false, Unknown, true},
	Stalled:            {"stalled", http.StatusGatewayTimeout, false, Unknown, true},
	BackendUnreachable: {"back_end_unreachable", http.StatusBadGateway, true, NotRun, true},
	BackendFailed:      {"back_end_failed", http.StatusBadGateway, false, Unknown, true},
	DeadlineExceeded:   {"deadline_exceeded", http.StatusGatewayTimeout, false, Unknown, false},
	Canceled:           {"canceled", statusClientClosed, false, Unknown, false},
	OperationClosed:    {"operation_closed", http.StatusConflict, false, NotRun, false},
	OperationUnknown:   {"operation_unknown", http.StatusConflict, false, Unknown, false},
	RevisionConflict:   {"revision_conflict", http.StatusPreconditionFailed, false, NotRun, false},
	RevisionStale:      {"revision_stale", http.StatusConflict, false, NotRun, false},
	InvalidConfig:      {"invalid_config", http.StatusUnprocessableEntity, false, NotRun, false},
	StoreUnavailable:   {"store_unavailable", http.StatusServiceUnavailable, true, Unknown, false},
	Fenced:             {"fenced", http.StatusConflict, false, NotRun, false},
	ProtocolMismatch:   {"protocol_mismatch", http.StatusBadGateway, false, NotRun, true},
	Internal:           {"internal", http.StatusInternalServerError, false, Unknown, false},
	Quarantined:        {"quarantined", http.StatusServiceUnavailable, false, NotRun, false},
	UploadTimeout:      {"upload_timeout", http.StatusRequestTimeout, true, NotRun, false},
}

// Response returns the response of the kind, or that of Unspecified for an
// unknown kind.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Unspecified]
	}
	return responses[k]
}

// String returns the name used in responses and logs.
func (k Kind) String() string { return k.Response().Name }

// ParseKind returns the kind with the given name, and whether there is one.
func ParseKind(name string) (Kind, bool) {
	for k := InvalidRequest; k < kindCount; k++ {
		if responses[k].Name == name {
			return k, true
		}
	}
	return Unspecified, false
}

// All returns every valid kind in numeric order.
func All() []Kind {
	kinds := make([]Kind, 0, kindCount-1)
	for k := InvalidRequest; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}
