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
)

// end is how a request ended for its caller.
type end string

// The ends of a request.
const (
	endComplete end = "complete"
	endNotRun   end = "not_run"
	endUnknown  end = "unknown"
	endRan      end = "ran"
	endCut      end = "cut"
)

// outcome is what a caller saw of one request.
type outcome struct {
	arrival   arrival
	end       end
	kind      string
	requestID string
	started   time.Duration // after the start of the load
	firstByte time.Duration // after the scheduled arrival
	done      time.Duration // after the scheduled arrival
	repeats   int
}

// sender sends requests as a plain HTTP caller: it takes an entry address in
// turn and repeats only what it is told may be repeated.
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
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 512,
			IdleConnTimeout:     30 * time.Second,
		}},
	}
}

// send runs one request to its end. Connection errors before an answer are
// taken to the next entry when that is safe.
func (s *sender) send(ctx context.Context, a arrival) outcome {
	o := outcome{arrival: a, started: time.Since(s.start)}
	ctx, cancel := context.WithTimeout(ctx, a.flow.deadline())
	defer cancel()
	header := http.Header{}
	if a.flow.Model == "" && !a.flow.Idempotent {
		header.Set("Idempotency-Key", fmt.Sprintf("load-%d", a.id))
	}
	for try := 0; ; try++ {
		s.once(ctx, a, s.entries[(a.id+try)%len(s.entries)], header, &o)
		if !s.mayRepeat(ctx, a, &o, try) {
			o.done = time.Since(s.start) - a.at
			return o
		}
		o.repeats++
	}
}

func (s *sender) mayRepeat(ctx context.Context, a arrival, o *outcome, try int) bool {
	if o.end == endComplete || ctx.Err() != nil || try >= a.flow.Repeats {
		return false
	}
	safe := o.end == endNotRun || a.flow.Idempotent || a.flow.Model != ""
	// A repeat under the same key is safe whatever became of the first attempt.
	return safe || a.flow.Backend != ""
}

func (s *sender) once(ctx context.Context, a arrival, entry string, header http.Header, o *outcome) {
	o.end, o.kind = endUnknown, "connection"
	path := "/v1/services/" + a.flow.Backend + "/" + a.flow.Operation
	body := fmt.Sprintf(`{"id":"load-%d"}`, a.id)
	if a.flow.Model != "" {
		path = "/v1/completions"
		body = fmt.Sprintf(`{"model":%q,"prompt":"load %d","max_tokens":%d,"deadline_ms":%d}`,
			a.flow.Model, a.id, max(a.flow.MaxTokens, 1), a.flow.deadline().Milliseconds())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, strings.NewReader(body))
	if err != nil {
		return
	}
	// The transport must not repeat a call by itself.
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
	o.requestID = res.Header.Get("X-Request-Id")
	s.read(a, res, o)
}

func (s *sender) read(a arrival, res *http.Response, o *outcome) {
	if res.StatusCode >= http.StatusBadRequest {
		data, _ := io.ReadAll(res.Body)
		o.refused(data)
		return
	}
	if a.flow.Model == "" {
		_, err := io.ReadAll(res.Body)
		o.firstByte = time.Since(s.start) - a.at
		if err != nil {
			o.end, o.kind = endCut, "cut"
			return
		}
		o.end, o.kind = endComplete, ""
		return
	}
	s.readStream(a, res.Body, o)
}

func (o *outcome) refused(data []byte) {
	var e httpapi.ErrorResponse
	o.end, o.kind = endUnknown, "malformed_answer"
	if json.Unmarshal(data, &e) == nil && e.Kind != "" {
		o.end, o.kind = end(e.DidRun), e.Kind
	}
}

// readStream reads server-sent events; a stream without done or error is cut.
func (s *sender) readStream(a arrival, body io.Reader, o *outcome) {
	o.end, o.kind = endCut, "cut"
	event := ""
	sc := bufio.NewScanner(body)
	tokens := 0
	for sc.Scan() {
		line := sc.Bytes()
		switch {
		case bytes.HasPrefix(line, []byte("event: ")):
			event = string(line[len("event: "):])
		case bytes.HasPrefix(line, []byte("data: ")) && event == "done":
			o.end, o.kind = endComplete, ""
			if tokens != a.flow.MaxTokens {
				o.end, o.kind = endCut, "short"
			}
		case bytes.HasPrefix(line, []byte("data: ")) && event == "error":
			o.refused(line[len("data: "):])
		case bytes.HasPrefix(line, []byte("data: ")):
			if tokens == 0 {
				o.firstByte = time.Since(s.start) - a.at
			}
			tokens++
		}
	}
}
