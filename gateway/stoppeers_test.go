package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stopping instance that no longer counts although it still
// sends requests: its peers would take its share of the limits of targets that
// warm up, and of the retries.
func TestStoppingInstanceCounts(t *testing.T) {
	t.Parallel()
	fake, ran := startTimedTarget(t, "r")
	d := newDeployment(t, config(), fake)
	d.stopTimeout = stopMargin + 1500*time.Millisecond
	a, b := d.start("a"), d.start("b")
	count := func() int { return a.snapshot.Load().instanceCount }
	require.Eventually(t, func() bool { return count() == 2 }, 2*time.Second, 5*time.Millisecond)
	go b.request(t.Context(), http.MethodPost, "/book/long", "")
	require.Eventually(t, func() bool { return ran.has("id-/book/long") }, time.Second, time.Millisecond)
	stopped := b.beginStop(t)
	require.Eventually(t, func() bool {
		list, _ := a.Addresses(Locality{})
		return len(list) == 1
	}, time.Second, time.Millisecond, "the stop is not known")
	time.Sleep(2 * heartbeatInterval)
	require.Equal(t, 2, count())
	<-stopped
	require.Eventually(t, func() bool { return count() == 1 }, 2*peerTimeout, 5*time.Millisecond)
}

// Guards against callers that are told to wait for long while all instances stop
// one after the other: the last ones still have time.
func TestRefusalWhileAllStop(t *testing.T) {
	t.Parallel()
	fake, ran := startTimedTarget(t, "r")
	d := newDeployment(t, config(), fake)
	d.stopTimeout = stopMargin + 2600*time.Millisecond
	a, b := d.start("a"), d.start("b")
	lists := func(g *instance, n int) func() bool {
		return func() bool { list, _ := g.Addresses(Locality{}); return len(list) == n }
	}
	require.Eventually(t, lists(a, 2), 2*time.Second, 5*time.Millisecond)
	require.Eventually(t, lists(b, 2), 2*time.Second, 5*time.Millisecond)
	a.learn(t, "/chat/")
	conn := a.keepConn(t)
	a.beginStop(t)
	beganAt := time.Now()
	require.Eventually(t, lists(b, 1), time.Second, 5*time.Millisecond)
	time.Sleep(time.Until(beganAt.Add(time.Second)))
	b.beginStop(t)
	require.Eventually(t, lists(a, 0), time.Second, 5*time.Millisecond)
	time.Sleep(time.Until(beganAt.Add(1700 * time.Millisecond)))
	resp := conn.send("/chat/late", "late")
	checkRefused(t, resp, "late", ran)
	var body errorBody
	require.NoError(t, json.Unmarshal([]byte(resp.body), &body))
	require.Equal(t, []string{b.opts.CallerAddr}, body.Addresses)
	require.Less(t, body.RetryAfterMs, minRetryAfter.Milliseconds())
}

// Guards against callers that are sent to an instance because its peers hear of
// its planned stop only with its next heartbeat.
func TestStopIsAnnouncedAtOnce(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, config())
	a, b := d.start("a"), d.start("b")
	heard := func() (at time.Time, leaving bool) {
		a.control.call(context.Background(), func() {
			if p := a.control.peers.byID["b"]; p != nil {
				at, leaving = p.lastHeartbeatAt, p.leaving
			}
		})
		return at, leaving
	}
	require.Eventually(t, func() bool { at, _ := heard(); return !at.IsZero() }, 2*time.Second, time.Millisecond)
	first, _ := heard()
	require.Eventually(t, func() bool { at, _ := heard(); return at.After(first) }, time.Second, time.Millisecond)
	b.beginStop(t) // the next heartbeat is due a whole interval later
	require.Eventually(t, func() bool { _, leaving := heard(); return leaving }, heartbeatInterval/2, time.Millisecond)
}
