package gateway

import (
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
	"github.com/skylarkstep/skylarkstep/routing"
)

// Guards against an instance that misses changes because the store refuses its
// calls, although other instances have received the changes.
func TestInstanceRefusedByStoreReceivesChangesFromPeer(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
	d := newDeployment(t, config(), fake)
	a, b := d.start("a"), d.start("b")
	require.Eventually(t, func() bool { return a.snapshot.Load().instanceCount == 2 && b.snapshot.Load().instanceCount == 2 }, 3*time.Second, 10*time.Millisecond)
	b.kv.refuse.Store(true)
	time.Sleep(200 * time.Millisecond)
	next := config()
	next.Version, next.Customers[0].Keys = 2, []string{"k1"}
	d.put("config", next)
	require.Eventually(t, func() bool {
		return b.request(t.Context(), http.MethodPost, "/keyed/1", "k2").status == http.StatusUnauthorized
	}, 1500*time.Millisecond, 20*time.Millisecond)
	require.Equal(t, http.StatusOK, b.request(t.Context(), http.MethodPost, "/keyed/1", "k1").status)
	list, _ := a.Addresses(Locality{Region: "r1", DataCentre: "dc1"})
	require.Len(t, list, 2)
}

// Guards against a removed entry that is treated as expired although the store
// refuses only this instance, and against a running target that is removed
// during a store outage.
func TestLapseOnlyInOutageOfAll(t *testing.T) {
	for _, c := range []struct {
		name        string
		peerReaches bool
		kept        bool
	}{
		{"another instance reaches the store", true, false},
		{"no instance reaches the store", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newDeployment(t, config()).start("g1").Gateway
			var afterRemoval, later bool
			g.control.call(t.Context(), func() {
				ctrl, now := g.control, time.Now()
				ctrl.targets["a"] = newTarget(routing.Target{ID: "a", Backend: "b"})
				ctrl.peers.byID["p"] = &peer{lastHeartbeatAt: now, storeReachable: c.peerReaches}
				ctrl.recordStoreFailure(errWatchEnded, now)
				ctrl.applyTargetDeletion("a", now.Add(time.Second))
				afterRemoval = ctrl.targets["a"] != nil
				ctrl.recordStoreSuccess(now, now.Add(2*time.Second))
				ctrl.removeExpired(now.Add(5 * time.Second))
				later = ctrl.targets["a"] != nil
			})
			require.Equal(t, c.kept, afterRemoval)
			require.False(t, later, "a target whose entry does not reappear is removed")
		})
	}
}

// Guards against an isolated instance that serves requests by a configuration
// which may have been replaced.
func TestIsolatedInstanceRefuses(t *testing.T) {
	g := newDeployment(t, config()).start("g1").Gateway
	var early, late, reachable bool
	g.control.call(t.Context(), func() {
		ctrl, now := g.control, time.Now()
		ctrl.peers.byID["p"] = &peer{lastHeartbeatAt: now.Add(-10 * time.Second)}
		ctrl.confirmedAt = now.Add(-5 * time.Second)
		ctrl.updateIsolation(now)
		early = g.isIsolated()
		ctrl.confirmedAt = now.Add(-7 * time.Second)
		ctrl.updateIsolation(now)
		late = g.isIsolated()
		ctrl.peers.byID["p"].lastHeartbeatAt = now
		ctrl.updateIsolation(now)
		reachable = g.isIsolated()
	})
	require.False(t, early, "not stale for long enough")
	require.True(t, late)
	require.False(t, reachable, "heartbeats of another instance arrive: the store is unreachable for all")
}

// Guards against requests that are rejected by a process which receives its
// first configuration a moment later, and against a short Retry-After while
// there is no configuration.
func TestFirstConfigurationIsWaitedFor(t *testing.T) {
	g := New(Options{Instance: "g", Limits: Limits{MaxIsolatedStaleness: time.Second}, KV: standin.NewKV().Direct(), ItemDecoder: testDecoder{},
		Headers: testHeaders{}, Log: slog.New(slog.DiscardHandler), Registry: metrics.NewRegistry()})
	request := func() *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodGet, "/nowhere", nil)
		r.Header.Set("X-Deadline", "2s")
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		return w
	}
	w := request()
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	require.NoError(t, err)
	require.GreaterOrEqual(t, seconds, 0.25)
	go func() {
		time.Sleep(50 * time.Millisecond)
		g.control.table = routing.NewTable(&routing.Config{Version: 1})
		g.control.needsPublish = true
		g.control.publish(time.Now())
	}()
	require.Equal(t, http.StatusNotFound, request().Code, "the configuration has no routes")
}

// Guards against waiters that are overtaken by those of lower priority, and
// against requests that are queued although they cannot be served in time.
func TestQueue(t *testing.T) {
	d := newDeployment(t, config())
	g := d.start("g1")
	d.put("target/r", routing.Target{ID: "r", Backend: "b", Addr: "127.0.0.1:1", DataCentre: "dc1", Slots: 1})
	require.Eventually(t, func() bool { return len(g.snapshot.Load().targets["b"]) == 1 }, time.Second, time.Millisecond)
	g.target("r").recordResponse(time.Now(), time.Now())
	q := g.queues.forBackend("b")
	anyTarget := func(*target) bool { return true }
	until := func() time.Time { return time.Now().Add(2 * time.Second) }
	first, err := q.acquire(t.Context(), slotRequest{backend: "b", isAllowed: anyTarget, waitUntil: until()})
	require.NoError(t, err)
	second, err := q.acquire(t.Context(), slotRequest{backend: "b", isAllowed: anyTarget, waitUntil: until()})
	require.NoError(t, err, "a quarter of the slots, rounded up, may wait at the target")
	grantedPriorities := make(chan int, 2)
	for _, priority := range []int{2, 1} {
		go func() {
			t2, err := q.acquire(t.Context(), slotRequest{backend: "b", priority: priority, isAllowed: anyTarget, waitUntil: until()})
			if err == nil {
				grantedPriorities <- priority
				time.Sleep(10 * time.Millisecond)
				q.releaseSlot(t2, time.Millisecond)
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	q.releaseSlot(first, time.Millisecond)
	require.Equal(t, 1, <-grantedPriorities)
	q.releaseSlot(second, time.Millisecond)
	require.Equal(t, 2, <-grantedPriorities)
	require.Eventually(t, func() bool { return g.target("r").ownRequests.Load() == 0 }, time.Second, time.Millisecond)
	q.mu.Lock()
	q.meanSlotTime = time.Minute
	q.mu.Unlock()
	for range 2 {
		_, err = q.acquire(t.Context(), slotRequest{backend: "b", isAllowed: anyTarget, waitUntil: until()})
		require.NoError(t, err)
	}
	start := time.Now()
	_, err = q.acquire(t.Context(), slotRequest{backend: "b", isAllowed: anyTarget, waitUntil: until()})
	require.ErrorContains(t, err, "overloaded")
	require.Less(t, time.Since(start), 100*time.Millisecond)
}

// Guards against callers that receive a single address of their own data
// centre, or addresses of another region although their own has enough.
func TestNearestAddresses(t *testing.T) {
	all := []instanceRecord{
		{CallerAddr: "1", DataCentre: "a", Region: "r"}, {CallerAddr: "2", DataCentre: "a", Region: "r"},
		{CallerAddr: "3", DataCentre: "b", Region: "r"}, {CallerAddr: "4", DataCentre: "c", Region: "s"},
	}
	require.ElementsMatch(t, []string{"1", "2"}, nearest(all, Locality{"r", "a"}))
	require.ElementsMatch(t, []string{"1", "2", "3"}, nearest(all, Locality{"r", "b"}))
	require.ElementsMatch(t, []string{"1", "2", "3", "4"}, nearest(all, Locality{"s", "c"}))
}

var _ infra.KV = (*faultyKV)(nil)

// Guards against a configuration that cannot be applied and takes the place of the one
// in force, and against one that keeps the next valid one out.
func TestInvalidConfigurationIsRefused(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
	d := newDeployment(t, config(), fake)
	g := d.start("g1")
	refused := func() int64 { return g.metrics.configsRefused.Count() }
	for i, change := range []func(*routing.Config){
		func(c *routing.Config) { c.Routes[0].Split = nil },
		func(c *routing.Config) { c.Routes[2].Prefix = c.Routes[1].Prefix },
		func(c *routing.Config) { c.Routes[0].Timeout = -1 },
	} {
		next := config()
		next.Version = int64(10 + i)
		change(&next)
		d.put("config", next)
		require.Eventually(t, func() bool { return refused() == int64(i+1) }, applyTimeout, time.Millisecond)
		require.Equal(t, http.StatusOK, g.request(t.Context(), http.MethodGet, "/read/", "").status)
	}
	require.EqualValues(t, 1, g.snapshot.Load().table.Config.Version)
	d.requireApplied([]*instance{g}, 2)
}
