package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
)

var errReset = errors.New("connection reset")

// fakeTransport is an in-memory transport. Each host responds to its requests with
// its steps, one after the other; the last step repeats.
type fakeTransport struct {
	steps           map[string][]step
	requests        []string // host and path, except requests for addresses
	addressRequests int
	bodies          []map[string]any
	headers         []http.Header
	ttl             time.Duration
}

// step is the response to one request. With status 0, the request fails: before a
// connection is established if err is set, and after the request was written if
// not.
type step struct {
	status int
	body   string
	// err ends the body instead of io.EOF.
	err error
}

func dialFailure() step { return step{err: errReset} }

func errorResponse(kind errkind.Kind, did errkind.DidRun, retryAfter time.Duration) step {
	return step{status: kind.Response().Status, body: errorJSON(kind, did, retryAfter)}
}

func errorJSON(kind errkind.Kind, did errkind.DidRun, retryAfter time.Duration) string {
	return fmt.Sprintf(`{"kind":%q,"message":"m","request_id":"req-7","did_run":%q,"retry_after_ms":%d}`,
		kind, did, retryAfter.Milliseconds())
}

func tokens(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "data: {\"offset\":%d,\"text\":\"t%d\"}\n\n", i, i)
	}
	return b.String()
}

func done(n int) string {
	return fmt.Sprintf("event: done\ndata: {\"finish_reason\":\"length\",\"tokens\":%d}\n\n", n)
}

func stream(body string) step { return step{status: 200, body: body} }

// interruptedStream is a stream that breaks after its body.
func interruptedStream(body string) step { return step{status: 200, body: body, err: errReset} }

// failingReader returns err instead of io.EOF, unless err is nil.
type failingReader struct {
	io.Reader
	err error
}

func (r failingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF && r.err != nil {
		err = r.err
	}
	return n, err
}

func (f *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/addresses") {
		f.addressRequests++
		body := fmt.Sprintf(`{"addresses":[{"url":"http://a"},{"url":"http://b"}],"ttl_ms":%d,"revision":1}`, f.ttl.Milliseconds())
		return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
	f.requests = append(f.requests, r.URL.Host+r.URL.Path)
	f.headers = append(f.headers, r.Header)
	var body map[string]any
	_ = json.NewDecoder(r.Body).Decode(&body)
	f.bodies = append(f.bodies, body)
	steps := f.steps[r.URL.Host]
	s := steps[0]
	if len(steps) > 1 {
		f.steps[r.URL.Host] = steps[1:]
	}
	if s.status == 0 && s.err != nil {
		return nil, s.err
	}
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	if s.status == 0 {
		return nil, errReset
	}
	return &http.Response{
		StatusCode: s.status, Header: http.Header{"X-Request-Id": {"req-7"}},
		Body: io.NopCloser(failingReader{strings.NewReader(s.body), s.err}),
	}, nil
}

func (f *fakeTransport) client() *Client {
	if f.ttl == 0 {
		f.ttl = time.Hour
	}
	return New(Options{Entries: []string{"http://a"}, Key: "k", Transport: f})
}

// Guards against a token that is lost or duplicated when an entry fails, and
// against confusing a stream that was interrupted, one that ended with an error
// and one that is complete.
func TestComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		a, b   []step
		tokens int
		err    any // nil, *InterruptedError or *ResponseError
		took   time.Duration
	}{
		"finished":                 {[]step{stream(tokens(0, 4) + done(4))}, nil, 4, nil, 0},
		"unreachable entry":        {[]step{dialFailure()}, []step{stream(tokens(0, 4) + done(4))}, 4, nil, 0},
		"entry fails mid-stream":   {[]step{interruptedStream(tokens(0, 2))}, []step{stream(tokens(2, 4) + done(4))}, 4, nil, 0},
		"end without a last event": {[]step{stream(tokens(0, 2))}, []step{stream(tokens(2, 4) + done(4))}, 4, nil, 0},
		"duplicates are dropped":   {[]step{interruptedStream(tokens(0, 2))}, []step{stream(tokens(0, 4) + done(4))}, 4, nil, 0},
		"gap":                      {[]step{stream(tokens(0, 1) + tokens(2, 4) + done(4))}, []step{stream(tokens(1, 4) + done(4))}, 4, nil, 0},
		"done with another count":  {[]step{stream(tokens(0, 3) + done(4))}, []step{stream(tokens(3, 4) + done(4))}, 4, nil, 0},
		"interrupted everywhere":   {[]step{interruptedStream(tokens(0, 2))}, []step{dialFailure()}, 2, new(*InterruptedError), 0},
		"error event":              {[]step{stream(tokens(0, 2) + "event: error\ndata: " + errorJSON(errkind.DeadlineExceeded, 0, 0) + "\n\n")}, nil, 2, new(*ResponseError), 0},
		"error event, retry later": {[]step{stream(tokens(0, 2) + "event: error\ndata: " + errorJSON(errkind.Stalled, 0, 3*time.Second) + "\n\n")}, []step{stream(tokens(2, 4) + done(4))}, 4, nil, 3 * time.Second},
		"rejected, retry later":    {[]step{errorResponse(errkind.Overloaded, errkind.NotRun, 2*time.Second)}, []step{stream(tokens(0, 4) + done(4))}, 4, nil, 2 * time.Second},
		"isolated entry":           {[]step{errorResponse(errkind.Isolated, errkind.NotRun, 9*time.Second)}, []step{stream(tokens(0, 4) + done(4))}, 4, nil, 0},
		"unknown model":            {[]step{errorResponse(errkind.UnknownModel, errkind.NotRun, 0)}, nil, 0, new(*ResponseError), 0},
		"retry-after too late":     {[]step{errorResponse(errkind.Overloaded, errkind.NotRun, time.Hour)}, nil, 0, new(*ResponseError), 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTransport{steps: map[string][]step{"a": tc.a, "b": tc.b}}
				start, got := time.Now(), 0
				finish, err := f.client().Complete(t.Context(), CompleteRequest{Model: "pintor", Prompt: "p", RequestID: "req-7"},
					func(tok Token) error {
						assert.Equal(t, Token{Offset: got, Text: fmt.Sprintf("t%d", got)}, tok)
						got++
						return nil
					})
				assert.Equal(t, tc.tokens, got)
				if tc.err == nil {
					require.NoError(t, err)
					assert.Equal(t, Finish{Reason: "length", Tokens: tc.tokens}, finish)
				} else {
					require.ErrorAs(t, err, tc.err)
				}
				assert.GreaterOrEqual(t, time.Since(start), tc.took)
				assert.LessOrEqual(t, time.Since(start), tc.took+tc.took/4+2*time.Second)
				for i, h := range f.headers {
					assert.Equal(t, "req-7", h.Get("X-Request-Id"), "request %d", i)
				}
				last := f.bodies[len(f.bodies)-1]
				assert.Equal(t, int(last["from_offset"].(float64)), strings.Count(last["from_text"].(string), "t"))
			})
		})
	}
}

// Guards against a non-idempotent call that is retried although it may have run,
// and an idempotent one that is not retried.
func TestCallIsRepeatedOnlyWhenSafe(t *testing.T) {
	ok := step{status: 200, body: "booked"}
	unknown := errorResponse(errkind.TargetLost, errkind.Unknown, 0)
	rejected := errorResponse(errkind.Leaving, errkind.NotRun, 0)
	noIDs := errorResponse(errkind.UnknownOperation, errkind.NotRun, 0)
	id := step{status: 200, body: `{"operation_id":"op1.x","keep_ms":1000}`}
	var lost step // the connection breaks after the request was written
	for name, tc := range map[string]struct {
		idempotent bool
		a, b       []step
		sent       int // requests for the call itself, without those for an operation id
		fails      bool
	}{
		"idempotent, response lost":   {true, []step{lost}, []step{ok}, 2, false},
		"idempotent, outcome unknown": {true, []step{unknown}, []step{ok}, 2, false},
		"not run":                     {false, []step{noIDs, rejected}, []step{ok}, 2, false},
		"never connected":             {false, []step{noIDs, dialFailure()}, []step{ok}, 2, false},
		"response lost":               {false, []step{noIDs, lost}, []step{ok}, 1, true},
		"outcome unknown":             {false, []step{noIDs, unknown}, []step{ok}, 1, true},
		"response lost under an id":   {false, []step{id, lost}, []step{ok}, 2, false},
		"outcome unknown under an id": {false, []step{id, unknown}, []step{ok}, 2, false},
		"status of the service":       {false, []step{noIDs, {status: 409, body: `{"error":"taken"}`}}, []step{ok}, 1, false},
		"invalid request, idempotent": {true, []step{errorResponse(errkind.InvalidRequest, errkind.NotRun, 0)}, []step{ok}, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTransport{steps: map[string][]step{"a": tc.a, "b": tc.b}}
				_, err := f.client().Call(t.Context(), CallRequest{
					Backend: "cabina-app", Operation: "book", Body: []byte(`{}`), Idempotent: tc.idempotent,
				})
				assert.Equal(t, tc.fails, err != nil, "%v", err)
				sent, ids := 0, map[string]bool{}
				for i, r := range f.requests {
					if strings.HasSuffix(r, "/v1/services/cabina-app/book") {
						sent++
						ids[f.headers[i].Get(operationIDHeader)] = true
					}
				}
				assert.Equal(t, tc.sent, sent, "%v", f.requests)
				assert.Len(t, ids, 1, "a retry must keep the operation id")
			})
		})
	}
}

// Guards against fetching the address list for every request, and against using it
// for longer than its time to live.
func TestAddressesAreKeptForTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTransport{ttl: 10 * time.Second, steps: map[string][]step{"a": {stream(done(0))}}}
		c := f.client()
		generate := func() {
			_, err := c.Complete(context.Background(), CompleteRequest{Model: "m", Prompt: "p"}, nil)
			require.NoError(t, err)
		}
		generate()
		time.Sleep(9 * time.Second)
		generate()
		assert.Equal(t, 1, f.addressRequests)
		time.Sleep(2 * time.Second)
		generate()
		assert.Equal(t, 2, f.addressRequests)
	})
}
