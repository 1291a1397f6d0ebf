package entry

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

var (
	firstSeed = flag.Uint64("once.first", 1, "first seed of TestAtMostOnceUnderFaults")
	seedCount = flag.Uint64("once.seeds", 15, "seeds of TestAtMostOnceUnderFaults")
)

// simOperations is the number of operations per seed.
const simOperations = 60

// settleTime is longer than any timeout and injected stall.
const settleTime = 30 * time.Second

// callerResults are the responses that the callers of one operation received.
type callerResults struct {
	bodies    []string // the body of the operation, and another one sent under the same id or key
	notRun    bool
	successes int
}

// Guards against a second execution under one id or key, an operation that ran
// although it was reported as not_run, and a retry that gets the response of
// another request. Meanwhile connections break, processes are paused, killed,
// stopped and replaced, replies are lost, and callers retry at any entry.
func TestAtMostOnceUnderFaults(t *testing.T) {
	// The first meter starts a goroutine for all meters, which must not belong to
	// a bubble.
	metrics.NewMeter().Stop()
	clearPools()
	t.Cleanup(clearPools)
	succeeded, notRun := 0, 0
	synctest.Test(t, func(t *testing.T) {
		for seed := *firstSeed; seed < *firstSeed+*seedCount && !t.Failed(); seed++ {
			s := newSim(t, seed)
			for _, r := range s.run() {
				s.check(seed, &r)
				succeeded += r.successes
				if r.notRun {
					notRun++
				}
			}
		}
	})
	t.Logf("%d seeds: %d responses, %d operations not run", *seedCount, succeeded, notRun)
	require.Positive(t, succeeded)
	require.Positive(t, notRun)
}

// clearPools empties the pool in which yamux keeps timers. A timer that was
// created outside a bubble can't be used inside it, nor the other way round.
func clearPools() {
	runtime.GC()
	runtime.GC()
}

// run makes the calls of all callers under faults. It returns their results
// after all queued work has run.
func (s *sim) run() []callerResults {
	time.Sleep(time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var faults, callers sync.WaitGroup
	faults.Go(func() { s.injectFaults(ctx) })
	results := make([]callerResults, simOperations)
	for i := range results {
		callers.Go(func() { s.runCaller(fmt.Sprintf("op-%d", i), &results[i]) })
		time.Sleep(s.randomMillis(100))
	}
	callers.Wait()
	stop()
	faults.Wait()
	time.Sleep(settleTime)
	for _, se := range s.entries {
		se.kill()
	}
	for _, p := range s.targets {
		s.kill(p)
	}
	time.Sleep(settleTime)
	return results
}

func (s *sim) check(seed uint64, r *callerResults) {
	ran := 0
	for _, body := range r.bodies {
		ran += s.service.ByBodyID()[body]
	}
	if ran > 1 {
		s.t.Errorf("seed %d: %v ran %d times", seed, r.bodies, ran)
	}
	if r.notRun && ran > 0 {
		s.t.Errorf("seed %d: %v was reported as not_run but ran", seed, r.bodies)
	}
}

// runCaller makes one call without an id or key, or calls under one id or key
// that are retried at any entry, sometimes two at the same time.
func (s *sim) runCaller(name string, r *callerResults) {
	r.bodies = []string{name, name + "-other"}
	header := http.Header{}
	switch s.intn(3) {
	case 0:
		r.send(s, header, name)
		return
	case 1:
		id := s.issueOperationID()
		if id == "" {
			return
		}
		header.Set("Operation-Id", id)
	default:
		header.Set("Idempotency-Key", name)
	}
	for range 1 + s.intn(4) {
		var calls sync.WaitGroup
		for n := range 1 + s.intn(2) {
			body := name
			if n == 1 && s.intn(4) == 0 {
				body += "-other"
			}
			calls.Go(func() { r.send(s, header, body) })
		}
		calls.Wait()
		time.Sleep(s.randomMillis(1000))
	}
}

func (s *sim) issueOperationID() string {
	res := s.request(http.MethodPost, "/v1/operations", nil, `{"back_end":"app"}`)
	var a struct {
		OperationID string `json:"operation_id"`
	}
	_ = json.Unmarshal(res.Body.Bytes(), &a)
	return a.OperationID
}

// send makes one call at a random entry and records its response.
func (r *callerResults) send(s *sim, h http.Header, body string) {
	h = h.Clone()
	h.Set("X-Deadline-Ms", fmt.Sprint(200+s.intn(2500)))
	text := fmt.Sprintf(`{"id":%q}`, body)
	res := s.request(http.MethodPost, "/v1/services/app/book", h, text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.Code == http.StatusOK {
		r.successes++
		if res.Body.String() != text {
			s.t.Errorf("%s got the response %s", text, res.Body)
		}
		return
	}
	var a struct {
		DidRun string `json:"did_run"`
	}
	// A 503 of the service itself has no body and is a complete response.
	_ = json.Unmarshal(res.Body.Bytes(), &a)
	r.notRun = r.notRun || a.DidRun == "not_run"
}

func (s *sim) request(method, path string, h http.Header, body string) *httptest.ResponseRecorder {
	se := s.entryAt(s.intn(len(s.entries)))
	r := httptest.NewRequestWithContext(se.ctx, method, path, strings.NewReader(body))
	for name, values := range h {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+simKey)
	r.Header.Set("Content-Type", "application/json")
	res := httptest.NewRecorder()
	se.entry.Handler().ServeHTTP(res, r)
	return res
}
