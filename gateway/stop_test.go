package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/routing"
)

// Durations of the requests at the fake target of the tests of planned stops, by
// path.
const (
	callTime   = 300 * time.Millisecond
	streamTime = 800 * time.Millisecond
	eventPause = 50 * time.Millisecond
)

// ranRequests records which requests a target began to work on.
type ranRequests struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *ranRequests) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id] = true
}

func (r *ranRequests) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

// startTimedTarget starts a target whose calls take callTime and whose streams
// take streamTime. A path that contains "quick" takes no time, and one that contains
// "long" takes longer than any stop.
func startTimedTarget(t *testing.T, id string) (*fakeTarget, *ranRequests) {
	ran := &ranRequests{ids: map[string]bool{}}
	return startFakeTarget(t, id, func(w net.Conn, r *http.Request) {
		ran.add(r.Header.Get("X-Id"))
		switch {
		case strings.Contains(r.URL.Path, "quick"):
			writeResponse(w, r, "ok")
		case strings.Contains(r.URL.Path, "long"):
			time.Sleep(10 * time.Second)
		case strings.HasPrefix(r.URL.Path, "/chat/"):
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
			for i := range int(streamTime / eventPause) {
				time.Sleep(eventPause)
				event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
				_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
			}
			_, _ = fmt.Fprint(w, "0\r\n\r\n")
		default:
			time.Sleep(callTime)
			writeResponse(w, r, "ok")
		}
	}), ran
}

// learn lets an instance complete requests, so that it knows how long they take.
func (i *instance) learn(t *testing.T, paths ...string) {
	var group sync.WaitGroup
	for _, path := range paths {
		for n := range 4 {
			group.Go(func() {
				resp := i.request(t.Context(), http.MethodPost, fmt.Sprintf("%slearn-%d", path, n), "")
				if resp.status != http.StatusOK {
					t.Errorf("request before the stop: status %d, %v", resp.status, resp.err)
				}
			})
		}
	}
	group.Wait()
}

// beginStop begins a planned stop and returns a channel that is closed at its
// end.
func (i *instance) beginStop(t *testing.T) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.stop()
	}()
	require.Eventually(t, i.isLeaving, time.Second, time.Millisecond)
	return done
}

// keptConn is a connection that a caller keeps.
type keptConn struct {
	net.Conn
	r *bufio.Reader
}

func (i *instance) keepConn(t *testing.T) *keptConn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(i.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &keptConn{conn, bufio.NewReader(conn)}
}

// send sends a request without a body and reads the response.
func (c *keptConn) send(path, id string) response {
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Deadline: 9s\r\n\r\n", path, id); err != nil {
		return response{err: err}
	}
	return c.read()
}

func (c *keptConn) read() response {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, headerWithClose(resp), string(body), err}
}

// checkRefused checks that a response is a final and true refusal.
func checkRefused(t *testing.T, resp response, id string, ran *ranRequests) {
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusServiceUnavailable, resp.status, resp.body)
	require.NotEmpty(t, resp.header.Get("Retry-After"))
	require.Equal(t, "close", resp.header.Get("Connection"))
	var body struct {
		Kind   string `json:"kind"`
		DidRun string `json:"did_run"`
	}
	require.NoError(t, json.Unmarshal([]byte(resp.body), &body), resp.body)
	require.Equal(t, errkind.Leaving.String(), body.Kind)
	require.Equal(t, errkind.NotRun.String(), body.DidRun)
	require.False(t, ran.has(id), "a request that was refused has run")
}

// Guards against requests that a stopping instance takes and cuts: a caller that
// keeps a connection, or the address, sends at any moment of the stop. The stop
// also overlaps with changes of the limits, which start further servers.
func TestStopFinishesOrRefusesEveryRequest(t *testing.T) {
	for name, changeLimits := range map[string]bool{"limits unchanged": false, "limits change": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireStopCutsNothing(t, changeLimits)
		})
	}
}

func requireStopCutsNothing(t *testing.T, changeLimits bool) {
	const (
		stopTimeout  = 2500 * time.Millisecond
		sendInterval = 100 * time.Millisecond
		// Requests that are sent this early certainly end in time.
		takenUntil = 500 * time.Millisecond
	)
	fake, ran := startTimedTarget(t, "r")
	d := newDeployment(t, config())
	large := fake.target("b")
	large.Slots = 1000
	d.put("target/r", large)
	d.stopTimeout = stopTimeout
	g := d.start("g1")
	require.Eventually(t, func() bool { return g.targetCount() == 1 }, time.Second, time.Millisecond)
	g.learn(t, "/read/", "/chat/")
	paths := []string{"/read/", "/book/", "/chat/"}
	var kept []*keptConn
	for range int(stopTimeout/sendInterval) * len(paths) {
		kept = append(kept, g.keepConn(t))
		require.NoError(t, kept[len(kept)-1].send("/swap/quick", "opened").err)
	}
	stopped := g.beginStop(t)
	beganAt := time.Now()
	var callers sync.WaitGroup
	for k := range kept {
		callers.Go(func() {
			sendAt := time.Duration(k/len(paths)) * sendInterval
			time.Sleep(time.Until(beganAt.Add(sendAt)))
			id, path := fmt.Sprintf("%s-%d", paths[k%len(paths)], k), paths[k%len(paths)]
			resp := kept[k].send(path+"x", id)
			switch {
			case resp.err != nil && sendAt >= stopTimeout-stopMargin:
				if ran.has(id) {
					t.Errorf("%s sent %v after the begin of the stop was cut: %v", path, sendAt, resp.err)
				}
			case resp.err != nil:
				t.Errorf("%s sent %v after the begin of the stop was cut: %v", path, sendAt, resp.err)
			case resp.status == http.StatusOK && path == "/chat/":
				if !strings.Contains(resp.body, fmt.Sprintf("id: %d\n", streamTime/eventPause)) {
					t.Errorf("%s sent %v after the begin of the stop is incomplete", path, sendAt)
				}
			case resp.status == http.StatusOK:
			case sendAt <= takenUntil:
				t.Errorf("%s sent %v after the begin of the stop: status %d, %s", path, sendAt, resp.status, resp.body)
			default:
				checkRefused(t, resp, id, ran)
			}
		})
	}
	if changeLimits {
		for n := range 8 {
			time.Sleep(2 * sendInterval)
			g.callers.setLimits(routing.Limits{IdleTimeout: time.Minute + time.Duration(n)})
		}
	}
	callers.Wait()
	<-stopped
}

// Guards against a request that leaves the queue so late in a stop that it is
// cut.
func TestStopRefusesQueuedRequests(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	ran := &ranRequests{ids: map[string]bool{}}
	fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
		ran.add(r.Header.Get("X-Id"))
		if strings.Contains(r.URL.Path, "hold") {
			<-release
		} else {
			time.Sleep(callTime)
		}
		writeResponse(w, r, "ok")
	})
	d := newDeployment(t, config(), fake)
	d.stopTimeout = stopMargin + time.Second
	g := d.start("g1")
	g.learn(t, "/read/")
	held, queued := make(chan response, 5), make(chan response)
	for range cap(held) {
		go func() { held <- g.request(t.Context(), http.MethodPost, "/book/hold", "") }()
	}
	require.Eventually(t, func() bool { return g.target("r").ownRequests.Load() == int64(cap(held)) }, time.Second, time.Millisecond)
	go func() { queued <- g.request(t.Context(), http.MethodPost, "/read/queued", "") }()
	require.Eventually(t, func() bool {
		q := g.queues.forBackend("b")
		q.mu.Lock()
		defer q.mu.Unlock()
		return len(q.waiters) == 1
	}, time.Second, time.Millisecond)
	stopped := g.beginStop(t)
	time.AfterFunc(800*time.Millisecond, func() { close(release) })
	checkRefused(t, <-queued, "id-/read/queued", ran)
	for range cap(held) {
		require.Equal(t, http.StatusOK, (<-held).status)
	}
	<-stopped
}

// Guards against a retry that a stop cuts: the first target refuses late.
func TestStopRefusesRetry(t *testing.T) {
	t.Parallel()
	good, ran := startTimedTarget(t, "good")
	bad := startFakeTarget(t, "bad", func(w net.Conn, r *http.Request) {
		time.Sleep(500 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
	})
	d := newDeployment(t, config(), good)
	d.stopTimeout = stopMargin + 700*time.Millisecond
	g := d.start("g1")
	g.learn(t, "/swap/")
	d.put("target/bad", bad.target("b"))
	require.Eventually(t, func() bool { return g.targetCount() == 2 }, time.Second, time.Millisecond)
	g.target("good").peerRequests.Store(2)
	stopped := g.beginStop(t)
	resp := g.request(t.Context(), http.MethodPost, "/swap/1", "")
	require.EqualValues(t, 1, bad.requests.Load())
	checkRefused(t, resp, "id-/swap/1", ran)
	<-stopped
}

// Guards against a request that is sent on and cut because its body arrives late
// in a stop, and against one that is cut in the middle of its upload.
func TestStopDuringUpload(t *testing.T) {
	for name, c := range map[string]struct {
		header    string
		first     string
		rest      string
		restAfter time.Duration
	}{
		"with a length":          {"Content-Length: 10\r\n", "12345", "67890", 850 * time.Millisecond},
		"in chunks":              {"Transfer-Encoding: chunked\r\n", "5\r\n12345\r\n", "5\r\n67890\r\n0\r\n\r\n", 850 * time.Millisecond},
		"that does not end":      {"Content-Length: 10\r\n", "12345", "", 0},
		"with expected continue": {"Content-Length: 10\r\nExpect: 100-continue\r\n", "", "1234567890", 850 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake, ran := startTimedTarget(t, "r")
			d := newDeployment(t, config(), fake)
			d.stopTimeout = stopMargin + time.Second
			g := d.start("g1")
			g.learn(t, "/book/")
			conn := g.keepConn(t)
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, err := fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Id: upload\r\nX-Deadline: 9s\r\n%s\r\n%s", c.header, c.first)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return g.inFlight.Load() == 1 }, time.Second, time.Millisecond)
			stopped := g.beginStop(t)
			beganAt := time.Now()
			time.AfterFunc(c.restAfter, func() { _, _ = fmt.Fprint(conn, c.rest) })
			resp := conn.read()
			if resp.status == http.StatusContinue {
				resp = conn.read()
			}
			checkRefused(t, resp, "upload", ran)
			require.Less(t, time.Since(beganAt), 900*time.Millisecond)
			<-stopped
		})
	}
}

// Guards against a connection that is closed without a response at the end of a
// stop, and against a refusal that wrongly says that the request did not run.
func TestStopEndsWithResponse(t *testing.T) {
	t.Parallel()
	fake, ran := startTimedTarget(t, "r")
	d := newDeployment(t, config(), fake)
	g := d.start("g1")
	done := make(chan response)
	go func() { done <- g.request(t.Context(), http.MethodPost, "/book/long", "") }()
	require.Eventually(t, func() bool { return ran.has("id-/book/long") }, time.Second, time.Millisecond)
	stopped := g.beginStop(t)
	resp := <-done
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusGatewayTimeout, resp.status, resp.body)
	require.Contains(t, resp.body, `"did_run":"unknown"`)
	<-stopped
}

// Guards against a caller that waits for a first configuration which a stopping
// process need not receive.
func TestStopDuringFirstConfiguration(t *testing.T) {
	t.Parallel()
	fake, ran := startTimedTarget(t, "r")
	d := newDeployment(t, config(), fake)
	_, err := d.kv.Direct().Commit(t.Context(), infra.Txn{Deletes: []string{"config"}})
	require.NoError(t, err)
	d.stopTimeout = 3 * time.Second
	g := d.launch("g1")
	waiting := make(chan response)
	go func() { waiting <- g.request(t.Context(), http.MethodPost, "/book/1", "") }()
	require.Eventually(t, func() bool { return g.inFlight.Load() == 1 }, time.Second, time.Millisecond)
	g.beginStop(t)
	beganAt := time.Now()
	checkRefused(t, <-waiting, "id-/book/1", ran)
	checkRefused(t, g.request(t.Context(), http.MethodPost, "/book/2", ""), "id-/book/2", ran)
	require.Less(t, time.Since(beganAt), 200*time.Millisecond)
}

// Guards against a connection that stays open after a response which was sent
// during a stop: the caller would send its next request there.
func TestStopClosesConnectionAfterFailure(t *testing.T) {
	t.Parallel()
	fake := startFakeTarget(t, "r", func(w net.Conn, _ *http.Request) {
		time.Sleep(callTime)
		reset(w)
	})
	d := newDeployment(t, config(), fake)
	d.stopTimeout = stopMargin + time.Second
	g := d.start("g1")
	conn := g.keepConn(t)
	done := make(chan response)
	go func() { done <- conn.send("/book/1", "failing") }()
	require.Eventually(t, func() bool { return fake.requests.Load() == 1 }, time.Second, time.Millisecond)
	g.beginStop(t)
	resp := <-done
	require.Equal(t, http.StatusBadGateway, resp.status)
	require.Equal(t, "close", resp.header.Get("Connection"))
}

// Guards against a kept connection that is closed although its caller is sending
// a request on it, when a stop ends early.
func TestStopWaitsForRequestThatArrives(t *testing.T) {
	t.Parallel()
	fake, _ := startTimedTarget(t, "r")
	d := newDeployment(t, config(), fake)
	d.stopTimeout = 8 * time.Second
	g := d.start("g1")
	g.learn(t, "/read/")
	conn := g.keepConn(t)
	require.Equal(t, http.StatusOK, conn.send("/read/1", "first").status)
	stopped := g.beginStop(t)
	time.Sleep(idleStopAfter - 200*time.Millisecond)
	_, err := fmt.Fprint(conn, "GET /read/2 HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	time.Sleep(400 * time.Millisecond)
	_, err = fmt.Fprint(conn, "X-Id: second\r\nX-Deadline: 9s\r\n\r\n")
	require.NoError(t, err)
	resp := conn.read()
	require.NoError(t, resp.err)
	require.Equal(t, http.StatusOK, resp.status)
	<-stopped
}

// Guards against lookups and hand-overs that block after the control goroutine
// has ended: a blocked lookup is cut, and a blocked hand-over keeps the process
// from exiting.
func TestQueriesAfterStop(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, config())
	g := d.start("g1")
	g.stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Addresses(Locality{})
		g.HandOver(context.Background(), Term{})
		g.ProcessExited(context.Background(), "g2/1")
	}()
	select {
	case <-done:
	case <-time.After(200 * time.Millisecond):
		require.Fail(t, "a query still waits for the control goroutine")
	}
}

// Guards against a waiter that is told that all targets are full, with a short
// Retry-After, although it was rejected for an outage just as its time ended.
func TestAbandonAfterRejection(t *testing.T) {
	d := newDeployment(t, config())
	g := d.start("g1")
	q := g.queues.forBackend("b")
	w := &waiter{slotRequest: slotRequest{outageRetryAfter: time.Minute}, granted: make(chan *target, 1), rejected: make(chan error, 1)}
	w.rejected <- q.outageError(w.outageRetryAfter)
	_, err := q.abandon(t.Context(), w)
	require.Equal(t, errkind.NoTarget, errkind.KindOf(err))
	require.GreaterOrEqual(t, errkind.From(err).RetryAfter, 30*time.Second)
}

// Guards against a stop that lasts longer than its timeout, or ends early, since
// the timeout has changed while the process ran.
func TestStopTimeoutChanges(t *testing.T) {
	t.Parallel()
	fake, ran := startTimedTarget(t, "r")
	d := newDeployment(t, config(), fake)
	d.stopTimeout = 8 * time.Second
	g := d.start("g1")
	go g.request(t.Context(), http.MethodPost, "/book/long", "")
	require.Eventually(t, func() bool { return ran.has("id-/book/long") }, time.Second, time.Millisecond)
	limits := *g.limits.Load()
	limits.StopTimeout = stopMargin + 300*time.Millisecond
	g.SetLimits(limits)
	stopped := g.beginStop(t)
	select {
	case <-stopped:
	case <-time.After(time.Second):
		require.Fail(t, "the process would have been killed")
	}
}
