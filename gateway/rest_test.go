package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// restNoticeTime is how long after a refusal requests may still reach the target.
	restNoticeTime = 500 * time.Millisecond
	// toleratedInRest is how many requests may reach a target in the rest of that time.
	toleratedInRest = 2
)

// restingTarget refuses requests with a time for which it wants none, while it is
// set to.
type restingTarget struct {
	*fakeTarget
	// retryAfter is the value of Retry-After; empty if the target accepts requests.
	retryAfter atomic.Pointer[string]
	leaves     atomic.Bool
	mu         sync.Mutex
	arrivals   []time.Time
	// firstRefusal is when the first request was refused.
	firstRefusal time.Time
}

func startRestingTarget(t *testing.T, id string) *restingTarget {
	r := &restingTarget{}
	r.rest("")
	r.fakeTarget = startFakeTarget(t, id, r.handle)
	return r
}

// rest makes the target refuse requests, or accept them if the value is empty.
func (r *restingTarget) rest(retryAfter string) { r.retryAfter.Store(&retryAfter) }

func (r *restingTarget) handle(w net.Conn, req *http.Request) {
	retryAfter := *r.retryAfter.Load()
	now := time.Now()
	r.mu.Lock()
	r.arrivals = append(r.arrivals, now)
	if retryAfter != "" && r.firstRefusal.IsZero() {
		r.firstRefusal = now
	}
	r.mu.Unlock()
	more := ""
	if r.leaves.Load() {
		more = "X-Leaving: 1\r\n"
	}
	if retryAfter != "" {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Rest\r\nX-Id: %s\r\nX-Not-Run: 1\r\nRetry-After: %s\r\n%sContent-Length: 0\r\n\r\n", req.Header.Get("X-Id"), retryAfter, more)
		return
	}
	body := "ok"
	if strings.HasPrefix(req.URL.Path, "/chat/") {
		body = "id: 1\ndata: ok\n\n"
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n%sContent-Length: %d\r\n\r\n%s", req.Header.Get("X-Id"), more, len(body), body)
}

// arrivalsBetween returns how many requests arrived in a time after the first
// refusal.
func (r *restingTarget) arrivalsBetween(from, to time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, at := range r.arrivals {
		if since := at.Sub(r.firstRefusal); since >= from && since < to {
			n++
		}
	}
	return n
}

// sendSteadily sends requests on a path one after the other for a time. It
// requires that each is served.
func sendSteadily(t *testing.T, i *instance, path string, duration time.Duration) {
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		resp := i.request(t.Context(), http.MethodPost, fmt.Sprintf("%s%d", path, n), "k1")
		require.NoError(t, resp.err)
		require.Equal(t, http.StatusOK, resp.status, resp.body)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against requests for a target that has asked for a rest: each of them is
// refused and uses up an attempt and part of the retry budget.
func TestTargetThatRestsGetsNoRequests(t *testing.T) {
	t.Parallel()
	for name, path := range requestPaths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			resting, other := startRestingTarget(t, "t1"), startRestingTarget(t, "t2")
			d := newDeployment(t, config(), resting.fakeTarget, other.fakeTarget)
			cfg := config()
			cfg.Routes[0].MaxAttempts, cfg.Routes[4].MaxAttempts = 2, 2
			d.put("config", cfg)
			resting.rest("2.5")
			g := d.start("g1")
			sendSteadily(t, g, strings.TrimSuffix(path, "1"), 2500*time.Millisecond)
			require.NotZero(t, resting.arrivalsBetween(0, restNoticeTime))
			require.LessOrEqual(t, resting.arrivalsBetween(restNoticeTime, 2400*time.Millisecond), toleratedInRest)
			resting.rest("")
			require.Eventually(t, func() bool {
				g.request(t.Context(), http.MethodPost, path, "k1")
				return resting.arrivalsBetween(2500*time.Millisecond, time.Minute) > 0
			}, 2*time.Second, 10*time.Millisecond, "the target gets nothing after its rest")
		})
	}
}

// Guards against requests that are held, or sent to see whether a target accepts
// them again, while all targets of a back end rest.
func TestAllTargetsRest(t *testing.T) {
	t.Parallel()
	targets := []*restingTarget{startRestingTarget(t, "t1"), startRestingTarget(t, "t2")}
	d := newDeployment(t, config(), targets[0].fakeTarget, targets[1].fakeTarget)
	targets[0].rest("6")
	targets[1].rest("4")
	g := d.start("g1")
	for k := range 4 {
		g.request(t.Context(), http.MethodPost, fmt.Sprintf("/book/%d", k), "")
	}
	time.Sleep(restNoticeTime)
	for k := range 20 {
		sentAt := time.Now()
		resp := g.request(t.Context(), http.MethodPost, fmt.Sprintf("/read/%d", k), "")
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
		require.Contains(t, resp.body, `"not_run"`)
		require.Less(t, time.Since(sentAt), 300*time.Millisecond, "the request was held")
		seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, 3.2, seconds, 1.2, "Retry-After is not the end of the earliest rest")
	}
	for _, target := range targets {
		require.LessOrEqual(t, target.arrivalsBetween(restNoticeTime, 3*time.Second), toleratedInRest)
	}
}

// Guards against a request that was queued before all targets rested, and is held
// until its time for a slot is over.
func TestQueuedRequestEndsWhenAllTargetsRest(t *testing.T) {
	t.Parallel()
	held := make(chan struct{})
	var first atomic.Bool
	target := startFakeTarget(t, "t1", func(w net.Conn, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			<-held
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Rest\r\nX-Id: %s\r\nX-Not-Run: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
	})
	d := newDeployment(t, config(), target)
	g := d.start("g1")
	results := make(chan response, 2)
	for k := range 2 {
		go func() { results <- g.request(t.Context(), http.MethodPost, fmt.Sprintf("/read/%d", k), "") }()
	}
	require.Eventually(t, func() bool { return g.inFlight.Load() == 2 && first.Load() }, time.Second, time.Millisecond)
	close(held)
	for range 2 {
		select {
		case resp := <-results:
			require.Equal(t, http.StatusServiceUnavailable, resp.status)
			require.NotEmpty(t, resp.header.Get("Retry-After"))
		case <-time.After(700 * time.Millisecond):
			t.Fatal("a request is held although all targets rest for longer")
		}
	}
}

// Guards against requests for a target that has said in a response that it leaves,
// while the store does not say so yet.
func TestTargetThatSaysThatItLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	for _, refuses := range []bool{false, true} {
		t.Run(fmt.Sprintf("refuses=%v", refuses), func(t *testing.T) {
			t.Parallel()
			leaving, other := startRestingTarget(t, "t1"), startRestingTarget(t, "t2")
			d := newDeployment(t, config(), leaving.fakeTarget, other.fakeTarget)
			g := d.start("g1")
			g.kv.refuse.Store(true)
			leaving.leaves.Store(true)
			if refuses {
				leaving.rest("0")
			}
			require.Eventually(t, func() bool {
				g.request(t.Context(), http.MethodPost, "/read/1", "")
				return leaving.requests.Load() > 0
			}, 2*time.Second, time.Millisecond)
			before := leaving.requests.Load()
			sendSteadily(t, g, "/read/", time.Second)
			require.Equal(t, before, leaving.requests.Load())
		})
	}
}

// Guards against the successor of a target that has left being held back.
func TestSuccessorOfLeavingTargetGetsRequests(t *testing.T) {
	t.Parallel()
	target := startRestingTarget(t, "t1")
	d := newDeployment(t, config(), target.fakeTarget)
	g := d.start("g1")
	target.leaves.Store(true)
	require.Equal(t, http.StatusOK, g.request(t.Context(), http.MethodPost, "/read/1", "").status)
	target.leaves.Store(false)
	successor := target.target("b")
	successor.Incarnation = 7
	d.put("target/t1", successor)
	require.Eventually(t, func() bool { return g.request(t.Context(), http.MethodPost, "/read/2", "").status == http.StatusOK }, 2*time.Second, 10*time.Millisecond)
}
