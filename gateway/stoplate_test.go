package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowingTarget serves as startTimedTarget does, and slower by a factor that may change.
type slowingTarget struct {
	*fakeTarget
	ran    *ranRequests
	factor atomic.Int64
}

func startSlowingTarget(t *testing.T) *slowingTarget {
	s := &slowingTarget{ran: &ranRequests{ids: map[string]bool{}}}
	s.factor.Store(1)
	s.fakeTarget = startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
		s.ran.add(r.Header.Get("X-Id"))
		factor := time.Duration(s.factor.Load())
		if !strings.HasPrefix(r.URL.Path, "/chat/") {
			time.Sleep(factor * callTime)
			writeResponse(w, r, "ok")
			return
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
		for i := range int(streamTime / eventPause) {
			time.Sleep(factor * eventPause)
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		_, _ = fmt.Fprint(w, "0\r\n\r\n")
	})
	return s
}

// isWhole reports whether a response is complete.
func isWhole(path string, resp response) bool {
	if resp.err != nil || resp.status != http.StatusOK {
		return false
	}
	return path != "/chat/" || strings.Contains(resp.body, fmt.Sprintf("id: %d\n", streamTime/eventPause))
}

// Guards against requests that are passed on late in a planned stop and cut at its end:
// by an instance that has just started and knows no times, and by one whose targets are
// slower than it knows. Whatever has reached a target gets its whole response, and
// everything else is refused as not run.
func TestLateRequestsOfStopAreFinishedOrRefused(t *testing.T) {
	const (
		stopTimeout  = 5 * time.Second
		sendInterval = 100 * time.Millisecond
	)
	for name, c := range map[string]struct {
		learns bool
		factor int64
	}{"just started": {false, 1}, "just started, slow targets": {false, 3}, "targets as known": {true, 1}, "targets three times as slow": {true, 3}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake := startSlowingTarget(t)
			d := newDeployment(t, config())
			large := fake.target("b")
			large.Slots = 1000
			d.put("target/r", large)
			d.stopTimeout = stopTimeout
			g := d.start("g1")
			require.Eventually(t, func() bool { return g.targetCount() == 1 }, time.Second, time.Millisecond)
			if c.learns {
				g.learn(t, "/read/", "/book/", "/swap/", "/chat/")
			}
			fake.factor.Store(c.factor)
			stopped := g.beginStop(t)
			beganAt := time.Now()
			var callers sync.WaitGroup
			for k := range int(stopTimeout / sendInterval) {
				for _, path := range []string{"/read/", "/book/", "/swap/", "/chat/"} {
					callers.Go(func() {
						time.Sleep(time.Until(beganAt.Add(time.Duration(k) * sendInterval)))
						id := fmt.Sprintf("%s%d", path, k)
						resp := g.requestWithin(t.Context(), 9*time.Second, http.MethodPost, id, "")
						if fake.ran.has("id-"+id) && !isWhole(path, resp) {
							t.Errorf("%s sent %d ms after the begin of the stop has run and got status %d, %q, %v",
								path, time.Since(beganAt).Milliseconds(), resp.status, resp.body, resp.err)
						}
					})
				}
			}
			callers.Wait()
			<-stopped
		})
	}
}

// Guards against a long stream that is passed on late in a planned stop and cut at its
// end, because the streams before it were short, had a single event, or were answered with
// an error: they say nothing about its length.
func TestStopRefusesStreamOfUnknownLength(t *testing.T) {
	const (
		pause      = 20 * time.Millisecond
		longEvents = 100 // 2 s
		maxTokens  = "500"
	)
	for name, shortEvents := range map[string]int{"short": 5, "single event": 1, "error": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ran := &ranRequests{ids: map[string]bool{}}
			fake := startFakeTarget(t, "r", func(w net.Conn, r *http.Request) {
				ran.add(r.Header.Get("X-Id"))
				events := shortEvents
				if strings.Contains(r.URL.Path, "long") {
					events = longEvents
				}
				if events == 0 {
					_, _ = fmt.Fprintf(w, "HTTP/1.1 404 Unknown\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
					return
				}
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
				for i := range events {
					time.Sleep(pause)
					event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
					_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
				}
				_, _ = fmt.Fprint(w, "0\r\n\r\n")
			})
			d := newDeployment(t, config(), fake)
			d.stopTimeout = 2500 * time.Millisecond
			g := d.start("g1")
			send := func(path string) response {
				return g.send(t.Context(), http.MethodPost, path, http.Header{"X-Max-Tokens": {maxTokens}, "X-Deadline": {"4s"}})
			}
			for n := range 15 {
				require.NoError(t, send(fmt.Sprintf("/chat/before-%d", n)).err)
			}
			stopped := g.beginStop(t)
			time.Sleep(500 * time.Millisecond)
			checkRefused(t, send("/chat/long"), "id-/chat/long", ran)
			<-stopped
		})
	}
}
