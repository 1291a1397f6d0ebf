package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/routing"
)

// Guards against a newly started instance that sends many requests to targets
// whose processes have exited. The successors at their addresses refuse these
// requests, which uses up the retry budget, and callers retried before the
// successors had entries.
func TestStaleEntriesGetSingleRequests(t *testing.T) {
	const targets, requests = 3, 60
	var targetProcesses []*fakeTarget
	for i := range targets {
		targetProcesses = append(targetProcesses, startFakeTarget(t, fmt.Sprintf("r%d", i), func(w net.Conn, r *http.Request) {
			if r.Header.Get("X-Target") == "old"+strconv.Itoa(i) {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 421 Misdirected Request\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
				return
			}
			writeResponse(w, r, "ok")
		}))
	}
	d := newDeployment(t, config())
	for i, r := range targetProcesses {
		old := r.target("b")
		old.ID, old.Slots = "old"+strconv.Itoa(i), 2*requests
		d.put("target/"+old.ID, old)
	}
	g := d.start("g1")
	responses := make(chan response, requests)
	for i := range requests {
		go func() { responses <- g.request(t.Context(), http.MethodGet, fmt.Sprintf("/read/%d", i), "") }()
	}
	time.Sleep(150 * time.Millisecond)
	arrived := int64(0)
	for _, r := range targetProcesses {
		arrived += r.requests.Load()
		successor := r.target("b")
		successor.Slots, successor.Incarnation = 2*requests, 1
		d.put("target/"+r.id, successor)
	}
	require.LessOrEqual(t, arrived, int64(2*targets), "of %d requests", requests)
	served := 0
	for range requests {
		a := <-responses
		require.NoError(t, a.err)
		if a.status == http.StatusOK {
			served++
		}
	}
	require.Equal(t, requests, served)
}

// Guards against a short Retry-After for a back end whose targets have all just
// refused requests.
func TestLongRetryAfterIfAllTargetsRefuse(t *testing.T) {
	d := newDeployment(t, config())
	g := d.start("g1")
	d.put("target/r", routing.Target{ID: "r", Backend: "b", Addr: "127.0.0.1:1", DataCentre: "dc1", Slots: 1})
	require.Eventually(t, func() bool { return len(g.snapshot.Load().targets["b"]) == 1 }, time.Second, time.Millisecond)
	q, now := g.queues.forBackend("b"), time.Now()
	require.False(t, q.isDown(now))
	g.target("r").pauseUntil(now.Add(time.Second))
	require.True(t, q.isDown(now))
	require.False(t, q.isDown(now.Add(2*time.Second)))
}

// Guards against requests that are rejected at once when the entries of all
// targets have expired in an outage and reappear a moment later, and against
// long waits for a back end without targets.
func TestLapsedEntriesAreWaitedFor(t *testing.T) {
	r := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) { writeResponse(w, r, "ok") })
	d := newDeployment(t, config())
	g := d.start("g1")
	responses := make(chan response, 1)
	request := func() { responses <- g.request(t.Context(), http.MethodGet, "/read/1", "") }
	go request()
	time.Sleep(100 * time.Millisecond)
	d.put("target/r", r.target("b"))
	require.Equal(t, http.StatusOK, (<-responses).status)

	_, err := d.kv.Direct().Commit(t.Context(), infra.Txn{Deletes: []string{"target/r"}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(g.snapshot.Load().targets["b"]) == 0 }, time.Second, time.Millisecond)
	start := time.Now()
	request()
	require.Equal(t, http.StatusServiceUnavailable, (<-responses).status)
	require.Less(t, time.Since(start), time.Second, "the wait is limited to 0.15 of the caller's 4 s")
	time.Sleep(expiryGrace - time.Since(start))
	start = time.Now()
	request()
	require.Equal(t, http.StatusServiceUnavailable, (<-responses).status)
	require.Less(t, time.Since(start), 100*time.Millisecond)
}

// Guards against a stream that is queued until its caller has disconnected: the
// caller would get neither a response nor a Retry-After.
func TestStreamWaitsNoLongerThanItsCaller(t *testing.T) {
	cfg := config()
	for i := range cfg.Routes {
		if cfg.Routes[i].Kind == routing.Stream {
			cfg.Routes[i].CallerIdleTimeout, cfg.Routes[i].LatencyGoal = 600*time.Millisecond, 200*time.Millisecond
		}
	}
	r := startFakeTarget(t, "r", func(net.Conn, *http.Request) {})
	d := newDeployment(t, cfg, r)
	g := d.start("g1")
	g.target("r").ownRequests.Store(100)
	start := time.Now()
	a := g.request(t.Context(), http.MethodPost, "/chat/1", "")
	require.Equal(t, http.StatusTooManyRequests, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Less(t, time.Since(start), 550*time.Millisecond, "the caller disconnects after 600 ms")
}
