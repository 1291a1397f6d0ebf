package gateway

import (
	"net/http"
	"time"

	"github.com/skylarkstep/skylarkstep/routing"
)

// RequestMeta holds what the headers of a request say about it.
type RequestMeta struct {
	ID  string
	Key string
	// Deadline is how long the caller waits for the response; zero if unknown.
	Deadline time.Duration
	// LastEventID is the id of the last event that the caller received, if it
	// resumes a stream.
	LastEventID string
	// PromptTokens is the size of the prompt, and MaxOutputTokens the most that
	// the response may have; zero if unknown. ExpectedOutputTokens is the caller's
	// guess, which is often far off.
	PromptTokens, MaxOutputTokens, ExpectedOutputTokens int
	// PromptParts holds the ids of the parts of the prompt, in order, and
	// PromptPartTokens the size of each; zero if unknown. Requests share parts, except
	// for the last one.
	PromptParts      []string
	PromptPartTokens []int
}

// ForwardMeta holds what the gateway adds to the headers of a forwarded
// request.
type ForwardMeta struct {
	Target        string
	Customer      string
	RemainingTime time.Duration
	// LastEventID asks the target to resume a stream after this event. If it is
	// empty, the header of the caller is forwarded unchanged.
	LastEventID string
}

// ResponseMeta holds what the headers of a response say about it.
type ResponseMeta struct {
	// ID is the id of the request that this response belongs to.
	ID string
	// NotRun is set if the target guarantees that the request did not run.
	NotRun bool
	// Sealed is set if the response carries a seal, which shows that it results
	// from work that the target completed.
	Sealed bool
	// HasLoad is set if the target reports its load: Running and Waiting are
	// the requests at the target.
	HasLoad          bool
	Running, Waiting int
	// HasRateLimit is set if the target names the number of requests per second
	// that it takes from all instances together.
	HasRateLimit bool
	RateLimit    float64
	// Leaving is set if the target says that it is about to leave.
	Leaving bool
	// HasRest is set if the target says for how long it wants no requests from this
	// instance. The value is not valid if RestInvalid is set.
	HasRest, RestInvalid bool
	Rest                 time.Duration
}

// Headers reads and writes the headers of requests and responses.
type Headers interface {
	Request(h http.Header) RequestMeta
	Forward(h http.Header, f ForwardMeta)
	Response(status int, h http.Header) ResponseMeta
	SetRetryAfter(h http.Header, d time.Duration)
	SetID(h http.Header, id string)
}

// ItemDecoder decodes the items of the key-value store.
type ItemDecoder interface {
	IsConfig(key string) bool
	Config(value []byte) (*routing.Config, error)
	// DataCentreOut returns the data centre that a key marks as out of service,
	// and whether the key is of this kind.
	DataCentreOut(key string) (string, bool)
	// TargetID returns the id of the target whose entry has the key, and whether
	// the key is that of a target.
	TargetID(key string) (string, bool)
	Target(id string, value []byte) (routing.Target, error)
}

// Locality is the location of a caller.
type Locality struct {
	Region, DataCentre string
}
