package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// Guards against all requests being sent to a back end that refuses them: each
// refusal uses up an attempt and part of the retry budget.
func TestOutageTriesSingleRequests(t *testing.T) {
	var o outageDetector
	now := time.Unix(0, 0)
	for i, id := range []string{"a", "a", "a", "a", "a"} {
		require.False(t, o.recordRefusal(id, 5, now.Add(time.Duration(i)*time.Millisecond)), "refusals of a single target are not an outage")
	}
	require.True(t, o.recordRefusal("b", 5, now.Add(5*time.Millisecond)))
	now = now.Add(10 * time.Millisecond)
	require.True(t, o.allowsRequest(now))
	o.recordProbe(now)
	require.False(t, o.allowsRequest(now.Add(probeInterval/2)))
	require.True(t, o.allowsRequest(now.Add(probeInterval)))
	require.True(t, o.recordAccepted(now, now))
	require.True(t, o.allowsRequest(now))
	o.recordRefusal("a", 5, now)
	require.False(t, o.isOngoing(now.Add(2*outageTimeout)), "an outage without further refusals ends")
}

// Guards against one broken rank group of several that blocks the whole back
// end.
func TestOneGroupOfSeveralIsNoOutage(t *testing.T) {
	var o outageDetector
	now := time.Unix(0, 0)
	for i := range 20 {
		require.False(t, o.recordRefusal(fmt.Sprint("group one, rank ", i%4), 12, now))
	}
	require.True(t, o.allowsRequest(now))
	require.True(t, o.recordRefusal("group two", 12, now))
}

// Guards against callers that are rejected at once during a short outage of a
// rank group, or whose Retry-After ends before the outage can be over: in a
// simulated day two thirds of them retried in vain.
func TestShortOutageIsWaitedFor(t *testing.T) {
	var broken atomic.Bool
	broken.Store(true)
	var targets []*fakeTarget
	for i := range 3 {
		targets = append(targets, startFakeTarget(t, fmt.Sprint("r", i), func(w net.Conn, r *http.Request) {
			if broken.Load() {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Broken\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
				return
			}
			writeResponse(w, r, "ok")
		}))
	}
	d := newDeployment(t, config(), targets...)
	g := d.start("g1")
	require.Eventually(t, func() bool { return g.targetCount() == 3 }, time.Second, time.Millisecond)
	time.AfterFunc(350*time.Millisecond, func() { broken.Store(false) })
	var clients sync.WaitGroup
	var served atomic.Int64
	for i := range 30 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			if g.request(t.Context(), http.MethodPost, fmt.Sprintf("/read/%d", i), "").status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	clients.Wait()
	require.GreaterOrEqual(t, served.Load(), int64(24), "all requests are served except those that detected the outage")
}

// Guards against a request whose connection is closed without a response: its
// back end refuses all requests, and the deadline has passed when its last
// attempt fails, so that no time is left for Retry-After.
func TestOutageErrorAfterDeadline(t *testing.T) {
	g := newDeployment(t, config()).start("g1")
	for _, remaining := range []time.Duration{0, -time.Second} {
		x := &exchange{g: g.Gateway, backend: "b", deadline: time.Now().Add(remaining)}
		require.NotPanics(t, func() { require.Equal(t, errkind.NoTarget, errkind.KindOf(x.attemptsFailedError())) })
		require.NotPanics(t, func() { _ = g.queues.forBackend("b").outageError(remaining) })
	}
}

// Guards against streams that are sent to the other ranks of a group after one has
// crashed: they wait there until the others have noticed it, and are lost.
func TestGroupLossBeginsOutageAtOnce(t *testing.T) {
	var o outageDetector
	now := time.Unix(0, 0)
	require.True(t, o.recordGroupLoss(now))
	require.False(t, o.recordGroupLoss(now), "another rank has crashed at the same time")
	remaining, known := o.remaining(now)
	require.True(t, known)
	require.Positive(t, remaining)
	require.False(t, o.recordAccepted(now.Add(-time.Second), now.Add(100*time.Millisecond)), "the group has sent this before the crash")
	for at := time.Duration(0); at < groupProbeDelay; at += 100 * time.Millisecond {
		require.False(t, o.allowsRequest(now.Add(at)), at)
	}
	probe := now.Add(groupProbeDelay)
	require.True(t, o.allowsRequest(probe))
	o.recordProbe(probe)
	require.False(t, o.recordRefusal("a", 5, probe.Add(10*time.Millisecond)))
	require.False(t, o.allowsRequest(probe.Add(probeInterval)), "no rank has taken the place of the crashed one")
	o.recordReplacement(probe)
	require.True(t, o.allowsRequest(probe.Add(probeInterval)))
	ready := probe.Add(time.Second)
	require.True(t, o.recordAccepted(ready.Add(-50*time.Millisecond), ready))
	require.False(t, o.isOngoing(ready))
	_, known = o.remaining(ready)
	require.True(t, known, "the length of the outage has been learned")
}

// Guards against a group that is shut out by one false report of a crash: what its
// targets answer counts.
func TestFalseGroupLossEnds(t *testing.T) {
	var o outageDetector
	now := time.Unix(0, 0)
	o.recordGroupLoss(now)
	later := now.Add(lateResponseTime + time.Millisecond)
	require.True(t, o.recordAccepted(now.Add(-time.Second), later), "a stream of the group goes on")
	require.True(t, o.allowsRequest(later))
	o.recordGroupLoss(now)
	require.False(t, o.isOngoing(now.Add(groupProbeDelay+outageTimeout+time.Millisecond)), "without refusals it ends by itself")
}
