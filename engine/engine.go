package engine

import (
	"context"
	"net/http"
	"time"
)

// Generation is a request to a model engine. MaxTokens limits the complete response,
// including the tokens before ResumeOffset; zero leaves the limit to the engine.
// Deadline is the time that remains for the request.
type Generation struct {
	RequestID string
	Model     string
	Prompt    string
	MaxTokens int
	Priority  int
	Deadline  time.Duration
	// ResumeOffset is the number of tokens that the caller already has. ResumeText
	// is their text, which the engine prefills.
	ResumeOffset int
	ResumeText   string
}

// Token is one generated token with its offset in the complete response.
type Token struct {
	Offset int
	Text   string
}

// Finish is the end of a complete generation. Tokens is the number of tokens of the
// complete response.
type Finish struct {
	Reason string
	Tokens int
}

// Load is an engine's load report. The report may lag: it shows the load at MadeAt,
// when the engine made it.
type Load struct {
	Running      int       `json:"running"`
	Queued       int       `json:"queued"`
	QueuedTokens int       `json:"queued_tokens"`
	MadeAt       time.Time `json:"made"`
}

// CacheEvent reports that a prompt prefix was added to the prefix cache or evicted
// from it. A jump in Sequence means that events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// The orders that engines accept.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order is a request to change an engine. Some engines refuse an order whose fencing
// number is lower than one already seen. Others ignore the number.
type Order struct {
	Fencing uint64    `json:"fencing"`
	Kind    OrderKind `json:"kind"`
	Name    string    `json:"name"`
}

// Model is a model engine.
type Model interface {
	// Generate calls emit for each token until the response is complete. An error
	// of emit cancels the generation and is returned. A stream that is interrupted
	// before its finish is an error, never a shorter response.
	Generate(ctx context.Context, g Generation, emit func(Token) error) (Finish, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	ExportCache(ctx context.Context, requestID string) ([]byte, error)
	ImportCache(ctx context.Context, requestID string, cache []byte) error
	Order(ctx context.Context, o Order) error
}

// Call is a request to a plain service.
type Call struct {
	Method      string
	Operation   string
	Query       string
	Header      http.Header
	Body        []byte
	Idempotent  bool
	OperationID string
}

// Response is the complete response of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain service. Its errors carry an errkind.DidRun value. Their kind is
// BackendUnreachable only if nothing was written to the service.
type Service interface {
	Call(ctx context.Context, c Call) (Response, error)
	Load(ctx context.Context) (Load, error)
}
