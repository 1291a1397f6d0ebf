package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/infra/httpclient"
)

const (
	// maxErrorBytes limits the body of an error.
	maxErrorBytes = 64 << 10
)

// result is how a request ended, as seen by its caller.
type result string

// Results of a request.
const (
	resultComplete    result = "complete" // complete response
	resultNotRun      result = "not_run"  // error that reports that the request did not run
	resultUnknown     result = "unknown"  // it is not known whether the request ran
	resultRan         result = "ran"      // error that reports that the request ran
	resultInterrupted result = "cut"      // response that broke off or has too few tokens
)

// outcome is what a caller saw of one request.
type outcome struct {
	arrival          arrival
	result           result
	errorKind        string
	firstByteLatency time.Duration // after the scheduled arrival
	latency          time.Duration // after the scheduled arrival
	retries          int
	// final is set if the same request would fail again, whenever it is sent.
	final bool
}

// sender sends requests as a plain HTTP caller would. It rotates through the
// entries, and retries a request only as often as its flow allows.
type sender struct {
	entries []string
	key     func(customer string) string
	http    *http.Client
	start   time.Time
}

func newSender(entries []string, key func(string) string) *sender {
	return &sender{
		entries: entries,
		key:     key,
		http: httpclient.New(&http.Transport{
			MaxIdleConnsPerHost:    512,
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
		}),
	}
}

// send sends one request and retries it at the next entry as long as canRetry
// allows.
func (s *sender) send(ctx context.Context, a arrival) outcome {
	o := outcome{arrival: a}
	ctx, cancel := context.WithTimeout(ctx, a.flow.deadline())
	defer cancel()
	header := http.Header{}
	if a.flow.Model == "" && !a.flow.Idempotent {
		header.Set("Idempotency-Key", fmt.Sprintf("load-%d", a.id))
	}
	for attempt := 0; ; attempt++ {
		s.attempt(ctx, a, s.entries[(a.id+attempt)%len(s.entries)], header, &o)
		if !s.canRetry(ctx, a, &o, attempt) {
			o.latency = time.Since(s.start) - a.at
			return o
		}
		o.retries++
	}
}

// canRetry reports whether the request may be sent again after the given number
// of retries. A retry is safe for all flows: a non-idempotent call is sent with an
// idempotency key.
func (s *sender) canRetry(ctx context.Context, a arrival, o *outcome, retries int) bool {
	return o.result != resultComplete && !o.final && ctx.Err() == nil && retries < a.flow.MaxRetries
}

// attempt sends the request to one entry and records the result in o.
func (s *sender) attempt(ctx context.Context, a arrival, entry string, header http.Header, o *outcome) {
	o.result, o.errorKind, o.final = resultUnknown, "connection", false
	path := "/v1/services/" + a.flow.Backend + "/" + a.flow.Operation
	body := fmt.Sprintf(`{"id":"load-%d"}`, a.id)
	if a.flow.Model != "" {
		path = "/v1/completions"
		body = fmt.Sprintf(`{"model":%q,"prompt":"load %d","max_tokens":%d,"deadline_ms":%d}`,
			a.flow.Model, a.id, a.flow.expectedTokens(), a.flow.deadline().Milliseconds())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, strings.NewReader(body))
	if err != nil {
		return
	}
	// Without GetBody the transport does not retry a call by itself.
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+s.key(a.flow.Customer))
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(a.flow.deadline().Milliseconds()))
	res, err := s.http.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	s.readResponse(a, res, o)
}

// readResponse reads the response and records the result in o.
func (s *sender) readResponse(a arrival, res *http.Response, o *outcome) {
	if res.StatusCode >= http.StatusMultipleChoices {
		data, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
		o.recordError(data)
		o.final = res.StatusCode < http.StatusInternalServerError && res.StatusCode != http.StatusTooManyRequests
		return
	}
	if a.flow.Model == "" {
		_, err := io.Copy(io.Discard, res.Body)
		o.firstByteLatency = time.Since(s.start) - a.at
		if err != nil {
			o.result, o.errorKind = resultInterrupted, "cut"
			return
		}
		o.result, o.errorKind = resultComplete, ""
		return
	}
	s.readStream(a, res.Body, o)
}

// recordError records the error that the system returned.
func (o *outcome) recordError(data []byte) {
	var e httpapi.ErrorResponse
	o.result, o.errorKind = resultUnknown, "malformed_answer"
	if json.Unmarshal(data, &e) == nil && e.Kind != "" {
		o.result, o.errorKind = result(e.DidRun), e.Kind
	}
}

// readStream reads server-sent events. A stream that ends without a done or error
// event counts as interrupted.
func (s *sender) readStream(a arrival, body io.Reader, o *outcome) {
	o.result, o.errorKind = resultInterrupted, "cut"
	event := ""
	sc := bufio.NewScanner(body)
	tokens := 0
	for sc.Scan() {
		line := sc.Bytes()
		switch {
		case bytes.HasPrefix(line, []byte("event: ")):
			event = string(line[len("event: "):])
		case bytes.HasPrefix(line, []byte("data: ")) && event == "done":
			o.result, o.errorKind = resultComplete, ""
			if tokens != a.flow.expectedTokens() {
				o.result, o.errorKind = resultInterrupted, "short"
			}
		case bytes.HasPrefix(line, []byte("data: ")) && event == "error":
			o.recordError(line[len("data: "):])
		case bytes.HasPrefix(line, []byte("data: ")):
			if tokens == 0 {
				o.firstByteLatency = time.Since(s.start) - a.at
			}
			tokens++
		}
	}
}
