package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing"
)

// The stream of the tests of pauses: its target sends two events, pauses for longer than
// stallTimeout and shorter than callers wait, and sends two more.
const (
	pausedEvents = 4
	enginePause  = stallTimeout + 500*time.Millisecond
)

// events returns the text of the events of a stream from one id to another.
func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	return text
}

// pausingTarget serves a stream that may be resumed. It pauses before the event after
// pauseAfter for each request whose turn it is.
type pausingTarget struct {
	*fakeTarget
	pauseAfter int
	pause      time.Duration
}

func startPausingTarget(t *testing.T, id string, pauseAfter int, pause time.Duration) *pausingTarget {
	p := &pausingTarget{pauseAfter: pauseAfter, pause: pause}
	p.fakeTarget = startFakeTarget(t, id, p.serve)
	return p
}

func (p *pausingTarget) serve(w net.Conn, r *http.Request) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	sendHead := func() {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
	}
	for i := first; i <= pausedEvents; i++ {
		if i == p.pauseAfter+1 {
			waitForEnd(w, p.pause)
		}
		if i == first {
			sendHead() // with the first event, as engines do
		}
		event := events(i, i)
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
	}
	_, _ = fmt.Fprint(w, "0\r\n\r\n")
}

// waitForEnd waits for a time, or until the other end closes the connection.
func waitForEnd(w net.Conn, d time.Duration) {
	_ = w.SetReadDeadline(time.Now().Add(d))
	_, _ = w.Read(make([]byte, 1))
	_ = w.SetReadDeadline(time.Time{})
}

// keepOthersGoing lets an instance believe that other streams of its targets continue.
func (i *instance) keepOthersGoing(t *testing.T, ids ...string) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := time.Now()
			for _, id := range ids {
				if target := i.target(id); target != nil {
					target.recordResponse(now, now)
					i.queues.forBackend("b").recordResponse(now, now, false)
				}
			}
		}
	}()
}

// startPausedStream starts a gateway with one target and sends a stream there. The channel
// receives its response.
func startPausedStream(t *testing.T, cfg routing.Config, paused *fakeTarget) (*deployment, *instance, <-chan response) {
	d := newDeployment(t, cfg, paused)
	g := d.start("g1")
	done := make(chan response, 1)
	go func() { done <- g.requestWithin(t.Context(), patientDeadline, http.MethodPost, "/chat/1", "") }()
	require.Eventually(t, func() bool { return paused.requests.Load() == 1 }, time.Second, time.Millisecond)
	return d, g, done
}

// addOther adds a second target. Other streams of both targets continue.
func (i *instance) addOther(t *testing.T, d *deployment, other *fakeTarget) {
	d.put("target/other", other.target("b"))
	require.Eventually(t, func() bool { return i.targetCount() == 2 }, time.Second, time.Millisecond)
	i.keepOthersGoing(t, "paused", "other")
}

// requireSlotsFree fails if a slot at a target is not given back.
func (i *instance) requireSlotsFree(t *testing.T, ids ...string) {
	for _, id := range ids {
		require.Eventually(t, func() bool { return i.target(id).ownRequests.Load() == 0 }, time.Second, time.Millisecond, "the slot at %s is kept", id)
	}
}

// refuseAll refuses a request as not run.
func refuseAll(w net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
}

// failAll fails a request that has run.
func failAll(w net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 500 Failed\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
}

// resetAll resets the connection of each request.
func resetAll(w net.Conn, _ *http.Request) { reset(w) }

// Guards against a stream that is cut, or answered with an error, since its target pauses
// and no other one can go on with it: there is none, the retry budget is used up, the
// others are full, leaving, refuse the request, fail, or pause as well. The target ends
// the stream as soon as its engine goes on.
func TestPausedStreamGoesOnWithoutAlternative(t *testing.T) {
	for name, c := range map[string]struct {
		// other serves the requests to a second target; nil if there is none.
		other   func(net.Conn, *http.Request)
		prepare func(d *deployment, g *instance)
	}{
		"one target": {},
		"retry budget used up": {(&pausingTarget{pauseAfter: pausedEvents}).serve, func(_ *deployment, g *instance) {
			limits := *g.limits.Load()
			limits.Retries = routing.RetryLimits{Window: 10 * time.Second}
			g.SetLimits(limits)
		}},
		"others full": {(&pausingTarget{pauseAfter: pausedEvents}).serve, func(_ *deployment, g *instance) {
			other := g.target("other")
			other.ownRequests.Store(10 * int64(other.Slots))
		}},
		"others leaving": {(&pausingTarget{pauseAfter: pausedEvents}).serve, func(d *deployment, g *instance) {
			d.remove("target/other")
			for g.targetCount() > 1 {
				time.Sleep(time.Millisecond)
			}
		}},
		"others refuse":     {refuseAll, nil},
		"others fail":       {failAll, nil},
		"others reset":      {resetAll, nil},
		"others pause, too": {func(w net.Conn, _ *http.Request) { waitForEnd(w, patientDeadline) }, nil},
	} {
		for where, pauseAfter := range map[string]int{"in the middle": 2, "before the first event": 0} {
			t.Run(name+" "+where, func(t *testing.T) {
				t.Parallel()
				paused := startPausingTarget(t, "paused", pauseAfter, enginePause)
				d, g, done := startPausedStream(t, patientConfig(), paused.fakeTarget)
				ids := []string{"paused"}
				if c.other != nil {
					other := startFakeTarget(t, "other", c.other)
					d.put("target/other", other.target("b"))
					require.Eventually(t, func() bool { return g.targetCount() == 2 }, time.Second, time.Millisecond)
					ids = append(ids, "other")
				}
				if c.prepare != nil {
					c.prepare(d, g)
				}
				g.keepOthersGoing(t, ids...)
				resp := <-done
				require.NoError(t, resp.err)
				require.Equal(t, http.StatusOK, resp.status, resp.body)
				require.Equal(t, events(1, pausedEvents), resp.body)
			})
		}
	}
}

// Guards against a stream that waits for its target although another one can go on with
// it: callers leave after 2 s without an event. The target may pause for good or be gone.
func TestPausedStreamMovesToOtherTarget(t *testing.T) {
	for where, pauseAfter := range map[string]int{"in the middle": 2, "before the first event": 0} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			paused := startPausingTarget(t, "paused", pauseAfter, patientDeadline)
			sentAt := time.Now()
			d, g, done := startPausedStream(t, patientConfig(), paused.fakeTarget)
			other := startPausingTarget(t, "other", pausedEvents, 0)
			g.addOther(t, d, other.fakeTarget)
			resp := <-done
			require.NoError(t, resp.err)
			require.Equal(t, events(1, pausedEvents), resp.body)
			require.Less(t, time.Since(sentAt), 2*time.Second)
			paused.requireClosed(t)
			require.Positive(t, g.target("paused").currentFailureRate())
			g.requireSlotsFree(t, "paused", "other")
		})
	}
}

// Guards against a stream that waits for a second target that has stalled as well, although
// a third one can go on with it.
func TestPausedStreamMovesToThirdTarget(t *testing.T) {
	t.Parallel()
	paused := startPausingTarget(t, "paused", 2, patientDeadline)
	cfg := patientConfig()
	cfg.Routes[3].MaxAttempts = 3
	d, g, done := startPausedStream(t, cfg, paused.fakeTarget)
	other := startPausingTarget(t, "other", 2, patientDeadline)
	d.put("target/other", other.target("b"))
	g.keepOthersGoing(t, "paused", "other", "third")
	require.Eventually(t, func() bool { return other.requests.Load() == 1 }, 2*time.Second, time.Millisecond)
	third := startPausingTarget(t, "third", pausedEvents, 0)
	d.put("target/third", third.target("b"))
	sentAt := time.Now()
	resp := <-done
	require.NoError(t, resp.err)
	require.Equal(t, events(1, pausedEvents), resp.body)
	require.Less(t, time.Since(sentAt), 2*time.Second)
	paused.requireClosed(t)
	other.requireClosed(t)
}

// Guards against events that come twice, are missing or of both targets when a target goes
// on just as another one begins to continue its stream.
func TestPausedStreamGoesOnBesideAlternative(t *testing.T) {
	var doubled atomic.Int64
	for n := range 12 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			// The target goes on from 0 to 240 ms after the other one has got the request.
			paused := startPausingTarget(t, "paused", 2, stallTimeout+time.Duration(20*n)*time.Millisecond)
			d, g, done := startPausedStream(t, patientConfig(), paused.fakeTarget)
			other := startPausingTarget(t, "other", 2, 100*time.Millisecond)
			g.addOther(t, d, other.fakeTarget)
			resp := <-done
			require.NoError(t, resp.err)
			require.Equal(t, events(1, pausedEvents), resp.body)
			doubled.Add(other.requests.Load())
			g.requireSlotsFree(t, "paused", "other")
		})
	}
}

// Guards against a stream that is lost since its target is gone while the other one that
// was asked to go on with it has not begun to.
func TestTargetOfPausedStreamGoes(t *testing.T) {
	paused := startFakeTarget(t, "paused", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("X-Id"), len(events(1, 2)), events(1, 2))
		time.Sleep(stallTimeout + 400*time.Millisecond)
		reset(w)
	})
	d, g, done := startPausedStream(t, patientConfig(), paused)
	other := startPausingTarget(t, "other", 2, 700*time.Millisecond)
	g.addOther(t, d, other.fakeTarget)
	resp := <-done
	require.NoError(t, resp.err)
	require.Equal(t, events(1, pausedEvents), resp.body)
	require.EqualValues(t, 1, other.requests.Load())
}

// Guards against a stream that is cut since its target pauses inside an event for longer
// than eventTimeout, although callers of the route wait longer.
func TestPauseInsideEvent(t *testing.T) {
	t.Parallel()
	second := events(2, 2)
	paused := startFakeTarget(t, "paused", func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(events(1, 2)), events(1, 1)+second[:5])
		waitForEnd(w, eventTimeout+500*time.Millisecond)
		_, _ = fmt.Fprint(w, second[5:])
	})
	cfg := patientConfig()
	cfg.Routes[3].CallerIdleTimeout = 2 * eventTimeout
	g := newDeployment(t, cfg, paused).start("g1")
	resp := g.requestWithin(t.Context(), patientDeadline, http.MethodPost, "/chat/1", "")
	require.NoError(t, resp.err)
	require.Equal(t, events(1, 2), resp.body)
}
