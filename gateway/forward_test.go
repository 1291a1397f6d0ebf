package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

// Guards, for each way in which a target fails, against a booking that runs
// twice, an error that wrongly reports that the request did not run, and a
// response that is incomplete or belongs to another request.
func TestTargetFailures(t *testing.T) {
	loseConnection := func(w net.Conn, _ *http.Request) { reset(w) }
	refuse := func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
	}
	interrupt := func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 10\r\n\r\nabc", r.Header.Get("X-Id"))
		reset(w)
	}
	stray := func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprint(w, "HTTP/1.1 200 OK\r\nX-Id: another\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nwrong")
		writeResponse(w, r, "right")
	}
	fail := func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 500 Failed\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nsorry", r.Header.Get("X-Id"))
	}
	ranBut503 := func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Broken\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
	}
	unsealed := func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nno", r.Header.Get("X-Id"))
	}
	for _, c := range []struct {
		name     string
		path     string
		first    func(net.Conn, *http.Request)
		status   int
		body     string
		arrivals int64
	}{
		{"booking, response lost", "/book/1", loseConnection, http.StatusBadGateway, "", 1},
		{"booking, refused", "/book/1", refuse, http.StatusServiceUnavailable, "", 1},
		{"booking, response interrupted", "/book/1", interrupt, http.StatusBadGateway, "", 1},
		{"booking, response to another request first", "/book/1", stray, http.StatusOK, "right", 1},
		{"booking, target fails", "/book/1", fail, http.StatusInternalServerError, "sorr", 1},
		{"booking, target ran it and returns 503", "/book/1", ranBut503, http.StatusBadGateway, "", 1},
		{"booking, response without a seal", "/book/1", unsealed, http.StatusBadGateway, "", 1},
		{"booking with two attempts, response lost", "/swap/1", loseConnection, http.StatusBadGateway, "", 1},
		{"booking with two attempts, response interrupted", "/swap/1", interrupt, http.StatusBadGateway, "", 1},
		{"booking with two attempts, target fails", "/swap/1", fail, http.StatusInternalServerError, "sorr", 1},
		{"booking with two attempts, refused", "/swap/1", refuse, http.StatusOK, "good", 2},
		{"read, response lost", "/read/1", loseConnection, http.StatusOK, "good", 2},
		{"read, refused", "/read/1", refuse, http.StatusOK, "good", 2},
		{"read, response interrupted", "/read/1", interrupt, http.StatusOK, "good", 2},
		{"read, target fails", "/read/1", fail, http.StatusOK, "good", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			good := startFakeTarget(t, "good", func(w net.Conn, r *http.Request) { writeResponse(w, r, "good") })
			bad := startFakeTarget(t, "bad", c.first)
			d := newDeployment(t, config(), bad)
			g := d.start("g1")
			require.Eventually(t, func() bool { return g.targetCount() == 1 }, time.Second, time.Millisecond)
			d.put("target/good", good.target("b"))
			require.Eventually(t, func() bool { return g.targetCount() == 2 }, time.Second, time.Millisecond)
			// The good target appears busier, so that the bad one is tried first.
			g.target("good").peerRequests.Store(2)
			resp := g.request(t.Context(), http.MethodPost, c.path, "")
			require.NoError(t, resp.err)
			require.Equal(t, c.status, resp.status, resp.body)
			if c.body != "" {
				require.Equal(t, c.body, resp.body)
			}
			require.Equal(t, c.arrivals, good.requests.Load()+bad.requests.Load())
			if c.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, resp.header.Get("Retry-After"))
			}
		})
	}
}

// Guards against a stream that repeats, loses or merges parts of events when
// its target fails in the middle of an event.
func TestStreamResumesOnAnotherTarget(t *testing.T) {
	for name, interrupt := range map[string]func(net.Conn){"reset": reset, "closed": func(w net.Conn) { _ = w.Close() }} {
		t.Run(name, func(t *testing.T) { requireStreamResumes(t, interrupt) })
	}
}

func requireStreamResumes(t *testing.T, interrupt func(net.Conn)) {
	first := startFakeTarget(t, "first", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: one\r\n\r\nid: 1\ndata: a\n\nid: 2\nda", r.Header.Get("X-Id"))
		time.Sleep(20 * time.Millisecond)
		interrupt(w)
	})
	second := startFakeTarget(t, "second", func(w net.Conn, r *http.Request) {
		require.Equal(t, "1", r.Header.Get("Last-Event-Id"))
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: two\r\nTransfer-Encoding: chunked\r\n\r\n19\r\nid: 2\ndata: b\n\nid: 3\ndata\r\n4\r\n: c\n\r\n1\r\n\n\r\n0\r\n\r\n", r.Header.Get("X-Id"))
	})
	d := newDeployment(t, config(), first, second)
	g := d.start("g1")
	g.target("second").peerRequests.Store(2)
	resp := g.request(t.Context(), http.MethodPost, "/chat/1", "")
	require.NoError(t, resp.err)
	require.Equal(t, "one", resp.header.Get("X-Seal"))
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", resp.body)
}

// Guards against a target that continues to work for a caller that has
// disconnected.
func TestTargetStopsWhenCallerDisconnects(t *testing.T) {
	fake := startFakeTarget(t, "r", func(net.Conn, *http.Request) {})
	d := newDeployment(t, config(), fake)
	g := d.start("g1")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan response)
	go func() { done <- g.request(ctx, http.MethodPost, "/chat/1", "") }()
	require.Eventually(t, func() bool { return fake.requests.Load() == 1 }, time.Second, time.Millisecond)
	cancel()
	select {
	case <-fake.closed:
	case <-time.After(500 * time.Millisecond):
		require.Fail(t, "the target's connection is still open")
	}
	require.Error(t, (<-done).err)
}

// Guards against slots that leak when the entry of a target changes while the
// target works on a request: after a few changes all targets appeared full.
func TestChangedEntryKeepsCount(t *testing.T) {
	release := make(chan struct{})
	fake := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { <-release; writeResponse(w, req, "ok") })
	d := newDeployment(t, config(), fake)
	g := d.start("g1")
	done := make(chan response)
	go func() { done <- g.request(t.Context(), http.MethodPost, "/read/1", "") }()
	require.Eventually(t, func() bool { return fake.requests.Load() == 1 }, time.Second, time.Millisecond)
	changed := fake.target("b")
	changed.WarmUpRemaining = 100 * time.Millisecond
	d.put("target/r", changed)
	require.Eventually(t, func() bool { return g.target("r").WarmUpRemaining > 0 }, time.Second, time.Millisecond)
	close(release)
	require.Equal(t, http.StatusOK, (<-done).status)
	require.Eventually(t, func() bool { return g.target("r").ownRequests.Load() == 0 }, time.Second, time.Millisecond)
}

// Guards against a planned stop that interrupts a request, or that rejects one
// which a caller sends before it has noticed the stop.
func TestPlannedStop(t *testing.T) {
	release := make(chan struct{})
	fake := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) {
		if req.URL.Path == "/read/slow" {
			<-release
		}
		writeResponse(w, req, "ok")
	})
	d := newDeployment(t, config(), fake)
	d.stopTimeout = 8 * time.Second
	g := d.start("g1")
	slow := make(chan response)
	go func() { slow <- g.request(t.Context(), http.MethodPost, "/read/slow", "") }()
	require.Eventually(t, func() bool { return fake.requests.Load() == 1 }, time.Second, time.Millisecond)
	stopped := make(chan struct{})
	go func() { g.stop(); close(stopped) }()
	require.Eventually(t, g.isLeaving, time.Second, time.Millisecond)
	require.Error(t, g.Ready())
	late := g.request(t.Context(), http.MethodPost, "/read/late", "")
	require.Equal(t, http.StatusOK, late.status)
	list, _ := g.Addresses(Locality{})
	require.Empty(t, list)
	close(release)
	require.Equal(t, http.StatusOK, (<-slow).status)
	<-stopped
}

// Guards against requests that are served with a revoked key, by a removed
// route or by a target in a data centre that is out of service, and against an
// older configuration that replaces a newer one.
func TestConfigurationTakesEffect(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
	d := newDeployment(t, config(), fake)
	g := d.start("g1")
	require.Equal(t, http.StatusOK, g.request(t.Context(), http.MethodPost, "/keyed/1", "k2").status)
	next := config()
	next.Version, next.Customers[0].Keys, next.Routes = 5, []string{"k1"}, next.Routes[1:]
	d.put("config", next)
	require.Eventually(t, func() bool { return g.snapshot.Load().table.Config.Version == 5 }, time.Second, time.Millisecond)
	require.Equal(t, http.StatusUnauthorized, g.request(t.Context(), http.MethodPost, "/keyed/1", "k2").status)
	require.Equal(t, http.StatusNotFound, g.request(t.Context(), http.MethodPost, "/book/1", "").status)
	d.put("config", config())
	d.put("out/dc1", struct{}{})
	require.Eventually(t, func() bool { return len(g.snapshot.Load().targets["b"]) == 0 }, time.Second, time.Millisecond)
	require.EqualValues(t, 5, g.snapshot.Load().table.Config.Version)
	require.Equal(t, http.StatusServiceUnavailable, g.request(t.Context(), http.MethodPost, "/read/1", "").status)
}

// Guards against requests to a crashed incarnation whose address now belongs to
// its successor.
func TestNewestIncarnationOfAddress(t *testing.T) {
	fake := startFakeTarget(t, "new", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
	current, crashed := fake.target("b"), fake.target("b")
	current.Incarnation, crashed.Incarnation = 20, 10
	d := newDeployment(t, config())
	g := d.start("g1")
	d.put("target/new", current)
	d.put("target/old", crashed)
	require.Eventually(t, func() bool { return g.targetCount() == 2 }, time.Second, time.Millisecond)
	got := g.snapshot.Load().targets["b"]
	require.Len(t, got, 1)
	require.Equal(t, "new", got[0].ID)
}

// Guards against streams that are retried although their whole rank group
// stalls: queued work would be lost, and another target would not help.
func TestStalledOnlyIfOthersContinue(t *testing.T) {
	d := newDeployment(t, config())
	g := d.start("g1")
	now := time.Now()
	x := &exchange{g: g.Gateway, backend: "b", route: &routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 2}}
	target := newTarget(routing.Target{ID: "a"})
	pendingStream := streamProgress{sentAt: now.Add(-3 * time.Second)}
	require.False(t, x.isStalled(target, pendingStream, now), "no stream receives events")
	target.recordResponse(now, now.Add(-4*time.Second))
	require.False(t, x.isStalled(target, pendingStream, now), "only requests sent earlier receive responses")
	target.recordResponse(now, now.Add(-time.Second))
	require.True(t, x.isStalled(target, pendingStream, now), "a request sent later receives its response")
	startedStream := streamProgress{sentAt: pendingStream.sentAt, lastEventAt: now.Add(-2 * time.Second)}
	require.True(t, x.isStalled(target, startedStream, now), "other streams of the target continue")
}

// Guards against targets that count as failing because callers disconnect while
// they receive a response. A target that has begun a response and is overtaken by
// one that got the request 0.7 s later does count as failing.
func TestCancelledAttempt(t *testing.T) {
	begin := func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 10\r\n\r\nbegin", r.Header.Get("X-Id"))
	}
	t.Run("caller disconnects", func(t *testing.T) {
		fake := startFakeTarget(t, "r", begin)
		g := newDeployment(t, config(), fake).start("g1")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan response)
		go func() { done <- g.request(ctx, http.MethodPost, "/book/1", "") }()
		require.Eventually(t, func() bool { return fake.requests.Load() == 1 }, time.Second, time.Millisecond)
		time.Sleep(50 * time.Millisecond) // the head arrives
		cancel()
		require.Error(t, (<-done).err)
		fake.requireClosed(t)
		require.Eventually(t, func() bool { return g.target("r").ownRequests.Load() == 0 }, time.Second, time.Millisecond)
		require.Zero(t, g.target("r").currentFailureRate())
	})
	t.Run("another target responds first", func(t *testing.T) {
		g, slow, _ := startBadAndGood(t, begin, goodEvent)
		require.Equal(t, goodEvent, g.request(t.Context(), http.MethodPost, "/read/1", "").body)
		slow.requireClosed(t)
		require.Eventually(t, func() bool { return g.target("bad").ownRequests.Load() == 0 }, time.Second, time.Millisecond)
		require.Positive(t, g.target("bad").currentFailureRate())
	})
}

// Guards against a data race of the two attempts at a hedged call whose targets crash at
// the same time. Only the race detector finds it.
func TestTargetsOfHedgedCallCrashTogether(t *testing.T) {
	t.Parallel()
	crash := make(chan struct{})
	start := func(id string) *fakeTarget {
		var f *fakeTarget
		f = startFakeTarget(t, id, func(w net.Conn, _ *http.Request) {
			<-crash
			_ = f.listener.Close()
			reset(w)
		})
		return f
	}
	a, b := start("a"), start("b")
	g := newDeployment(t, config(), a, b).start("g1")
	done := make(chan response, 1)
	go func() { done <- g.request(t.Context(), http.MethodPost, "/read/1", "") }()
	require.Eventually(t, func() bool { return a.requests.Load()+b.requests.Load() == 2 }, 2*time.Second, time.Millisecond)
	close(crash)
	require.Equal(t, http.StatusBadGateway, (<-done).status)
}
