package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

// garbageText marks bytes that belong to no response. It must not reach a
// caller.
const garbageText = "GARBAGE"

const sealedHead = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\n"

// endlessScript returns a handler that sends a prefix and then a unit again and
// again until the gateway closes the connection, with pauses. ID in the prefix
// stands for the id of the request.
func endlessScript(prefix, unit string, pause time.Duration) func(net.Conn, *http.Request) {
	return func(w net.Conn, r *http.Request) {
		_, err := w.Write([]byte(strings.ReplaceAll(prefix, "ID", r.Header.Get("X-Id"))))
		for err == nil {
			_, err = w.Write([]byte(unit))
			time.Sleep(pause)
		}
	}
}

const (
	floodPause   = time.Millisecond
	dribblePause = 20 * time.Millisecond
	// floodUnit is the size of one write of a flood in bytes.
	floodUnit = 16 << 10
)

func flood(prefix, unit string) func(net.Conn, *http.Request) {
	return endlessScript(prefix, strings.Repeat(unit, floodUnit/len(unit)), floodPause)
}

func dribble(prefix, unit string) func(net.Conn, *http.Request) {
	return endlessScript(prefix, unit, dribblePause)
}

// startBadAndGood starts an instance with a target that behaves as specified.
// Once that has received a request, there is also a target that works.
func startBadAndGood(t *testing.T, handle func(net.Conn, *http.Request), goodBody string) (g *instance, bad, good *fakeTarget) {
	good = startFakeTarget(t, "good", func(w net.Conn, r *http.Request) { writeResponse(w, r, goodBody) })
	var d *deployment
	addGood := sync.OnceFunc(func() {
		d.put("target/good", good.target("b"))
		for g.targetCount() < 2 {
			time.Sleep(time.Millisecond)
		}
	})
	bad = startFakeTarget(t, "bad", func(w net.Conn, r *http.Request) {
		addGood()
		handle(w, r)
	})
	d = newDeployment(t, patientConfig(), bad)
	g = d.start("g1")
	return g, bad, good
}

// patientDeadline is the deadline of requests that must end long before it.
const patientDeadline = 9 * time.Second

// patientConfig returns the usual configuration with routes that have this
// timeout.
func patientConfig() routing.Config {
	cfg := config()
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = patientDeadline
	}
	return cfg
}

// requireClosed fails if the gateway does not close a connection to the target
// soon.
func (f *fakeTarget) requireClosed(t *testing.T) {
	t.Helper()
	select {
	case <-f.closed:
	case <-time.After(5 * time.Second): // on a loaded machine
		require.Fail(t, "the connection to the target is still open")
	}
}

func (t *target) currentFailureRate() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failureRate
}

// atOnce is the time within which a request gets its final response: the time for
// a head, and what a loaded machine may add. The deadline is much later.
const atOnce = 4 * time.Second

// Guards against a target whose head never ends: the gateway buffered it without
// limit, and the caller got an error only at its deadline.
func TestHeadWithoutEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle func(net.Conn, *http.Request)
	}{
		{"no HTTP", flood("", garbageText)},
		{"no HTTP, with lines", flood("", garbageText+"\r\n")},
		{"no HTTP, slowly", dribble("", "G")},
		{"status line", flood("HTTP/1.1 200 ", garbageText)},
		{"status line, slowly", dribble("HTTP/1.1 200 ", "G")},
		{"status below 100", flood("HTTP/1.1 099 Odd\r\n\r\n", "HTTP/1.1 099 Odd\r\n\r\n")},
		{"header line", flood(sealedHead+"X-Garbage: ", garbageText)},
		{"header line, slowly", dribble(sealedHead+"X-Garbage: ", "G")},
		{"headers", flood(sealedHead, "X-Garbage: "+garbageText+"\r\n")},
		{"headers, slowly", dribble(sealedHead, "X-Garbage: 1\r\n")},
		{"head that is never completed", dribble(sealedHead+"X-Not-Run: 1\r\nX-Garbage: ", "G")},
		{"informational responses", flood("", "HTTP/1.1 102 Processing\r\n\r\n")},
		{"informational responses, slowly", dribble("", "HTTP/1.1 102 Processing\r\n\r\n")},
		{"malformed header", func(w net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s\r\n\r\n", r.Header.Get("X-Id"), garbageText)
		}},
	} {
		t.Run(c.name, func(t *testing.T) { t.Parallel(); requireFailureAtOnce(t, c.handle) })
	}
}

// goodEvent is the response of the good target: one event, which is also the
// body of a call.
const goodEvent = "id: 1\ndata: good\n\n"

// expectation is the result of a request whose first target misbehaves.
type expectation struct {
	path     string
	status   int
	arrivals int64
}

// afterFailure applies if the request may have run at the first target: one that
// may run only once gets an error that does not promise that it has not run, and
// the others the response of the second target.
var afterFailure = []expectation{
	{"/book/1", http.StatusBadGateway, 1},
	{"/swap/1", http.StatusBadGateway, 1},
	{"/read/1", http.StatusOK, 2},
	{"/chat/1", http.StatusOK, 2},
}

// afterRefusal applies if the first target guarantees that the request has not
// run.
var afterRefusal = []expectation{
	{"/book/1", http.StatusServiceUnavailable, 1},
	{"/swap/1", http.StatusOK, 2},
	{"/read/1", http.StatusOK, 2},
	{"/chat/1", http.StatusOK, 2},
}

func requireFailureAtOnce(t *testing.T, handle func(net.Conn, *http.Request)) {
	for _, c := range afterFailure {
		t.Run(c.path[1:5], func(t *testing.T) {
			t.Parallel()
			g := requireAtOnce(t, handle, c)
			require.Positive(t, g.target("bad").currentFailureRate())
		})
	}
}

// requireAtOnce sends a request whose first target behaves as specified. The
// result must be as expected well before the deadline, without bytes of the
// first target, and its connection must be closed.
func requireAtOnce(t *testing.T, handle func(net.Conn, *http.Request), c expectation) *instance {
	g, bad, good := startBadAndGood(t, handle, goodEvent)
	start := time.Now()
	resp := g.requestWithin(t.Context(), patientDeadline, http.MethodPost, c.path, "")
	require.Less(t, time.Since(start), atOnce)
	require.NoError(t, resp.err)
	require.Equal(t, c.status, resp.status, resp.body)
	require.NotContains(t, resp.body, garbageText)
	require.Empty(t, resp.header.Get("X-Garbage"))
	if c.status == http.StatusOK {
		require.Equal(t, goodEvent, resp.body)
	}
	require.Equal(t, c.arrivals, good.requests.Load()+bad.requests.Load())
	bad.requireClosed(t)
	require.Eventually(t, func() bool { return g.target("bad").ownRequests.Load() == 0 }, time.Second, time.Millisecond)
	return g
}

const chunkedHead = sealedHead + "Transfer-Encoding: chunked\r\n\r\n"

// Guards against a body that is no valid HTTP and never ends: its bytes must
// neither be buffered without limit nor count as a response.
func TestMalformedBodyWithoutEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle func(net.Conn, *http.Request)
	}{
		{"chunk size", flood(chunkedHead, "0000000")},
		{"no chunk size", flood(chunkedHead, garbageText)},
		{"chunk extension", flood(chunkedHead+"5;", garbageText)},
		{"chunk extensions", flood(chunkedHead, "1;"+garbageText+garbageText+garbageText+garbageText+"\r\nx\r\n")},
		{"trailer line", flood(chunkedHead+"3\r\nabc\r\n0\r\nX-Garbage: ", garbageText)},
		{"trailers", flood(chunkedHead+"3\r\nabc\r\n0\r\n", "X-Garbage: "+garbageText+"\r\n")},
		{"malformed trailer", func(w net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n%s\r\n\r\n", r.Header.Get("X-Id"), garbageText)
		}},
		{"response without a seal", flood("HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\n", garbageText)},
		{"response without a seal, slowly", dribble("HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\n", garbageText)},
		{"response to another request", flood("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\n\r\n", garbageText)},
		{"response to another request, slowly", dribble("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\n\r\n", garbageText)},
		{"failure", flood("HTTP/1.1 500 Failed\r\nX-Id: ID\r\nX-Seal: s\r\n\r\n", garbageText)},
		{"failure, slowly", dribble("HTTP/1.1 500 Failed\r\nX-Id: ID\r\nX-Seal: s\r\n\r\n", garbageText)},
		{"client error", flood("HTTP/1.1 404 Unknown\r\nX-Id: ID\r\nX-Seal: s\r\n\r\n", garbageText)},
		{"client error, slowly", dribble("HTTP/1.1 404 Unknown\r\nX-Id: ID\r\nX-Seal: s\r\n\r\n", garbageText)},
		{"redirect, slowly", dribble("HTTP/1.1 302 Elsewhere\r\nX-Id: ID\r\nX-Seal: s\r\n\r\n", garbageText)},
	} {
		t.Run(c.name, func(t *testing.T) { t.Parallel(); requireFailureAtOnce(t, c.handle) })
	}
}

// Guards against a refusal whose body does not end, which held the request until
// its deadline instead of sending it to another target.
func TestRefusalWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 503 Full\r\nX-Id: ID\r\nX-Not-Run: 1\r\n\r\n"
	for name, handle := range map[string]func(net.Conn, *http.Request){"fast": flood(head, garbageText), "slow": dribble(head, garbageText)} {
		for _, c := range afterRefusal {
			t.Run(name+c.path, func(t *testing.T) { t.Parallel(); requireAtOnce(t, handle, c) })
		}
	}
}

// Guards against a response without end that a caller takes for complete, that is
// passed on beyond the deadline, or whose target does not count as failing.
func TestResponseWithoutEnd(t *testing.T) {
	const timeout = 3 * time.Second // of the route
	// A slower flood leaves the caller little to read after the deadline.
	flood := func(prefix, unit string) func(net.Conn, *http.Request) {
		return endlessScript(prefix, strings.Repeat(unit, floodUnit/len(unit)), 10*floodPause)
	}
	for _, c := range []struct {
		name   string
		handle func(net.Conn, *http.Request)
		status int // 0 if the response is interrupted
	}{
		{"until the connection closes", flood(sealedHead+"\r\n", "a"), 0},
		{"until the connection closes, slowly", dribble(sealedHead+"\r\n", "a"), http.StatusGatewayTimeout},
		{"chunks", flood(chunkedHead, "400\r\n"+strings.Repeat("a", 0x400)+"\r\n"), 0},
		{"chunks, slowly", dribble(chunkedHead, "1\r\na\r\n"), http.StatusGatewayTimeout},
		{"length not reached", flood(sealedHead+"Content-Length: 100000000000\r\n\r\n", "a"), 0},
		{"length not reached, slowly", dribble(sealedHead+"Content-Length: 1000000\r\n\r\n", "a"), http.StatusGatewayTimeout},
		{"length not reached, closed after a large part", func(w net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 9000000\r\n\r\n%s", r.Header.Get("X-Id"), strings.Repeat("a", 2*maxBufferedBytes))
			_ = w.Close()
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bad := startFakeTarget(t, "bad", c.handle)
			d := newDeployment(t, config(), bad)
			g := d.start("g1")
			start := time.Now()
			resp := g.request(t.Context(), http.MethodPost, "/book/1", "")
			require.Less(t, time.Since(start), timeout+1500*time.Millisecond)
			if c.status == 0 {
				require.Error(t, resp.err)
			} else {
				require.NoError(t, resp.err)
				require.Equal(t, c.status, resp.status)
			}
			bad.requireClosed(t)
			require.Eventually(t, func() bool { return g.target("bad").currentFailureRate() > 0 }, time.Second, time.Millisecond)
		})
	}
}

// Guards against a large response that is interrupted although its target is
// still sending it.
func TestLargeResponseThatPauses(t *testing.T) {
	part := strings.Repeat("a", 3*maxBufferedBytes/2)
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), 2*len(part), part)
		time.Sleep(writeTimeout + 300*time.Millisecond)
		_, _ = w.Write([]byte(part))
	})
	d := newDeployment(t, config(), fake)
	g := d.start("g1")
	resp := g.request(t.Context(), http.MethodPost, "/book/1", "")
	require.NoError(t, resp.err)
	require.Len(t, resp.body, 2*len(part))
	require.Zero(t, g.target("r").currentFailureRate())
}

// Guards against bytes after a complete response that reach the next caller, or
// that keep the connection open.
func TestBytesAfterResponse(t *testing.T) {
	for name, c := range map[string]struct{ tail, unit string }{
		"no HTTP":           {"", garbageText},
		"another response":  {"HTTP/1.1 200 OK\r\nX-Id: id-/read/2\r\nX-Seal: s\r\nContent-Length: 7\r\n\r\n" + garbageText, garbageText},
		"informational":     {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"more than length":  {"GARB", "AGE"},
		"a response's head": {"HTTP/1.1 200 OK\r\nX-Id: id-/read/2\r\n", "X-Garbage: 1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
				writeResponse(w, r, "good")
				if r.URL.Path == "/read/1" {
					endlessScript(c.tail, c.unit, floodPause)(w, r)
				}
			})
			d := newDeployment(t, config(), fake)
			g := d.start("g1")
			require.Equal(t, "good", g.request(t.Context(), http.MethodPost, "/read/1", "").body)
			fake.requireClosed(t)
			resp := g.request(t.Context(), http.MethodPost, "/read/2", "")
			require.Equal(t, http.StatusOK, resp.status, resp.body)
			require.Equal(t, "good", resp.body)
		})
	}
}
