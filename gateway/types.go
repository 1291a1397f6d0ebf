package gateway

import (
	"net/http"
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
)

// RequestMeta is what a caller says about its request.
type RequestMeta struct {
	ID  string
	Key string
	// Deadline is how long the caller waits; zero if it does not say.
	Deadline time.Duration
	// LastEventID is the id of the last event that the caller has, if it resumes.
	LastEventID string
	// PromptTokens and OutputTokens are sizes; zero if unknown.
	PromptTokens, OutputTokens int
}

// ForwardMeta is what the gateway tells a target about a request.
type ForwardMeta struct {
	Target        string
	Customer      string
	RemainingTime time.Duration
	// LastEventID resumes a stream after an event; empty keeps the caller's.
	LastEventID string
}

// ResponseMeta is what a target says about its answer.
type ResponseMeta struct {
	// ID repeats the id of the request.
	ID string
	// NotRun is the target's promise that the request did not run.
	NotRun bool
	// Sealed answers come from work that the target has done.
	Sealed bool
	// Running and Waiting are the requests at the target, if it tells.
	HasLoad          bool
	Running, Waiting int
}

// Headers translates the headers of requests and answers.
type Headers interface {
	Request(h http.Header) RequestMeta
	Forward(h http.Header, f ForwardMeta)
	Response(status int, h http.Header) ResponseMeta
	SetRetryAfter(h http.Header, d time.Duration)
	SetID(h http.Header, id string)
}

// ItemDecoder decodes the items of the key-value service.
type ItemDecoder interface {
	IsConfig(key string) bool
	Config(value []byte) (*routing.Config, error)
	DataCentreOut(key string) (string, bool)
	TargetID(key string) (string, bool)
	Target(id string, value []byte) (routing.Target, error)
}

// Locality is where a caller is.
type Locality struct {
	Region, DataCentre string
}
