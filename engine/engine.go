package engine

import (
	"context"
	"net/http"
	"time"
)

// Generation is one request to a model engine.
type Generation struct {
	RequestID string
	Model     string
	Prompt    string
	MaxTokens int
	Priority  int
	Deadline  time.Duration
	// ResumeOffset is the number of tokens that the caller already has, and
	// ResumeText their text, which the engine prefills.
	ResumeOffset int
	ResumeText   string
}

// Token is one generated token with its offset in the whole answer.
type Token struct {
	Offset int
	Text   string
}

// Finish closes a complete generation.
type Finish struct {
	Reason string
	Tokens int
}

// Load is an engine's load report. Made is when the engine made it; the report
// lags behind.
type Load struct {
	Running      int       `json:"running"`
	Queued       int       `json:"queued"`
	QueuedTokens int       `json:"queued_tokens"`
	MadeAt       time.Time `json:"made"`
}

// CacheEvent tells that a prompt prefix entered or left the prefix cache. A
// jump in Sequence shows a gap.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// OrderKind names what an order asks for.
type OrderKind string

// The orders that engines take.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order changes an engine. Some engines refuse a fencing number lower than one
// already seen; others ignore it.
type Order struct {
	Fencing uint64    `json:"fencing"`
	Kind    OrderKind `json:"kind"`
	Name    string    `json:"name"`
}

// Model is a model engine.
type Model interface {
	// Generate streams tokens into emit until the answer is complete. An error
	// of emit cancels the generation. A stream that breaks before its finish is
	// an error, never a short answer.
	Generate(ctx context.Context, g Generation, emit func(Token) error) (Finish, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	ExportCache(ctx context.Context, requestID string) ([]byte, error)
	ImportCache(ctx context.Context, requestID string, cache []byte) error
	Order(ctx context.Context, o Order) error
}

// Call is one request to a plain service.
type Call struct {
	Method      string
	Operation   string
	Query       string
	Header      http.Header
	Body        []byte
	Idempotent  bool
	OperationID string
}

// Response is the whole answer of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain service. Errors carry did-run: BackendUnreachable only
// when nothing was written to the service.
type Service interface {
	Call(ctx context.Context, c Call) (Response, error)
	Load(ctx context.Context) (Load, error)
}
