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

// settleTime is longer than any timeout and stall of a run.
const settleTime = 30 * time.Second

// callerResults is what the callers of one operation were told.
type callerResults struct {
	bodies    []string // the first one, and those sent under the same id or key
	notRun    bool
	successes int
}

// Guards against two executions under one id or key, a not_run that ran, and a
// repeat that gets the answer of another request, while connections break,
// processes are paused, killed, stopped and replaced, replies are lost, and
// callers repeat at any entry.
func TestAtMostOnceUnderFaults(t *testing.T) {
	// The first meter starts a goroutine for all meters, which must not belong to
	// a bubble.
	metrics.NewMeter().Stop()
	clearPools()
	t.Cleanup(clearPools)
	answered, refused := 0, 0
	synctest.Test(t, func(t *testing.T) {
		for seed := *firstSeed; seed < *firstSeed+*seedCount && !t.Failed(); seed++ {
			s := newSim(t, seed)
			for _, l := range s.run() {
				s.check(seed, &l)
				answered += l.successes
				if l.notRun {
					refused++
				}
			}
		}
	})
	t.Logf("%d seeds: %d answers, %d operations not run", *seedCount, answered, refused)
	require.Positive(t, answered)
	require.Positive(t, refused)
}

// clearPools empties the pool in which yamux keeps timers. A timer that was made
// outside a bubble can't be used in it, nor the other way round.
func clearPools() {
	runtime.GC()
	runtime.GC()
}

// run lets callers make their calls under faults, and returns what they were
// told when all that was queued has run.
func (s *sim) run() []callerResults {
	time.Sleep(time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var faults, callers sync.WaitGroup
	faults.Go(func() { s.injectFaults(ctx) })
	ledgers := make([]callerResults, simOperations)
	for i := range ledgers {
		callers.Go(func() { s.caller(fmt.Sprintf("op-%d", i), &ledgers[i]) })
		time.Sleep(s.randomMillis(100))
	}
	callers.Wait()
	stop()
	faults.Wait()
	time.Sleep(settleTime)
	for _, x := range s.entries {
		x.kill()
	}
	for _, p := range s.targets {
		s.kill(p)
	}
	time.Sleep(settleTime)
	return ledgers
}

func (s *sim) check(seed uint64, l *callerResults) {
	ran := 0
	for _, body := range l.bodies {
		ran += s.service.ByBodyID()[body]
	}
	if ran > 1 {
		s.t.Errorf("seed %d: %v ran %d times", seed, l.bodies, ran)
	}
	if l.notRun && ran > 0 {
		s.t.Errorf("seed %d: %v was answered not_run but ran", seed, l.bodies)
	}
}

// caller makes one call without id or key, or one call under an id or key that
// it repeats at any entry, sometimes twice at the same time.
func (s *sim) caller(name string, l *callerResults) {
	l.bodies = []string{name, name + "-other"}
	header := http.Header{}
	switch s.intn(3) {
	case 0:
		l.send(s, header, name)
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
		var both sync.WaitGroup
		for n := range 1 + s.intn(2) {
			body := name
			if n == 1 && s.intn(4) == 0 {
				body += "-other"
			}
			both.Go(func() { l.send(s, header, body) })
		}
		both.Wait()
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

// send makes one call at a random entry and records its answer.
func (l *callerResults) send(s *sim, h http.Header, body string) {
	h = h.Clone()
	h.Set("X-Deadline-Ms", fmt.Sprint(200+s.intn(2500)))
	text := fmt.Sprintf(`{"id":%q}`, body)
	res := s.request(http.MethodPost, "/v1/services/app/book", h, text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.Code == http.StatusOK {
		l.successes++
		if res.Body.String() != text {
			s.t.Errorf("%s got the answer %s", text, res.Body)
		}
		return
	}
	var a struct {
		DidRun string `json:"did_run"`
	}
	// A 503 of the service itself has no body and is a complete answer.
	_ = json.Unmarshal(res.Body.Bytes(), &a)
	l.notRun = l.notRun || a.DidRun == "not_run"
}

func (s *sim) request(method, path string, h http.Header, body string) *httptest.ResponseRecorder {
	x := s.entryAt(s.intn(len(s.entries)))
	r := httptest.NewRequestWithContext(x.ctx, method, path, strings.NewReader(body))
	for name, values := range h {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+simKey)
	r.Header.Set("Content-Type", "application/json")
	res := httptest.NewRecorder()
	x.entry.Handler().ServeHTTP(res, r)
	return res
}
