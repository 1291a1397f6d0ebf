package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/membership"
)

// applyTimeout is the time in which a change must reach every instance: the bound
// for configurations and for targets that leave.
const applyTimeout = 2 * time.Second

// startInstances starts instances and waits until only some of them watch.
func startInstances(t *testing.T, n int) (*deployment, []*instance) {
	r := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
	d := newDeployment(t, config(), r)
	var all []*instance
	for i := range n {
		all = append(all, d.start(fmt.Sprintf("g%d", i)))
	}
	require.Eventually(t, func() bool { return len(watching(all)) == watcherCount }, 5*time.Second, 10*time.Millisecond)
	return d, all
}

func watching(all []*instance) (found []*instance) {
	for _, i := range all {
		if i.kv.watches.Load() > 0 {
			found = append(found, i)
		}
	}
	return found
}

// requireApplied fails unless all instances take up a new configuration in time.
func (d *deployment) requireApplied(all []*instance, version int64) {
	next := config()
	next.Version = version
	d.put("config", next)
	began := time.Now()
	for _, i := range all {
		require.Eventually(d.t, func() bool { return i.snapshot.Load().table.Config.Version == version },
			max(time.Millisecond, applyTimeout-time.Since(began)), 5*time.Millisecond, "instance %s", i.id)
	}
}

// Guards against calls to the service that grow with the instances, and against
// changes that those without a watch miss.
func TestFewInstancesWatch(t *testing.T) {
	d, all := startInstances(t, 6)
	d.requireApplied(all, 2)
	time.Sleep(2 * watchTakeoverAge)
	require.Len(t, watching(all), watcherCount)
	d.requireApplied(all, 3)
}

// Guards against instances that rest and miss a change because those that watch
// have lost the service, with and without noticing.
func TestRestingInstancesTakeOver(t *testing.T) {
	for name, fail := range map[string]func(*faultyKV){
		"refused": func(k *faultyKV) { k.refuse.Store(true) },
		"silent":  func(k *faultyKV) { k.mute.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			d, all := startInstances(t, 5)
			for _, i := range watching(all) {
				fail(i.kv)
			}
			d.requireApplied(all, 2)
		})
	}
}

// Guards against a loss of those that watch being taken for an outage of the
// service: targets that leave would then be kept.
func TestNoOutageWhileOthersMayReach(t *testing.T) {
	g := newDeployment(t, config()).start("g1").Gateway
	var during, after bool
	g.control.call(t.Context(), func() {
		k, now := g.control, time.Now()
		k.confirmedAt = now
		k.peers.byID["p"] = &peer{lastHeartbeatAt: now, following: true}
		k.recordStoreFailure(errWatchEnded, now)
		during = k.lastStoreOutage.IsZero()
		k.peers.byID["p"].lastHeartbeatAt = now.Add(outageDetectionAge)
		k.recordStoreOutage(now.Add(outageDetectionAge + time.Millisecond))
		after = !k.lastStoreOutage.IsZero()
	})
	require.True(t, during, "the peer may reach the service")
	require.True(t, after, "the peer would have told")
}

// Guards against an instance that leaves the watch to one which leaves, is not heard,
// or does not reach the service.
func TestWhoMayWatchForOthers(t *testing.T) {
	g := newDeployment(t, config()).start("g1").Gateway
	now := time.Now()
	heard := now.Add(time.Hour)
	// Both have a higher rank than g1 and are in other data centres.
	var names []string
	for i := 0; len(names) < watcherCount; i++ {
		dc, name := fmt.Sprintf("dc%d", 10+i), fmt.Sprintf("p%d", i)
		if membership.WatchRank(dc, name) > membership.WatchRank("dc1", "g1") {
			names = append(names, dc+"/"+name)
		}
	}
	for state, change := range map[string]func(*peer){
		"sound":                      func(*peer) {},
		"resting":                    func(p *peer) { p.storeReachable, p.following = false, true },
		"leaving":                    func(p *peer) { p.leaving = true },
		"silent":                     func(p *peer) { p.lastHeartbeatAt = now.Add(-2 * peerTimeout) },
		"does not reach the service": func(p *peer) { p.storeReachable = false },
	} {
		peers := map[string]*peer{}
		for _, full := range names {
			dc, name, _ := strings.Cut(full, "/")
			peers[name] = &peer{lastHeartbeatAt: heard, storeReachable: true, record: instanceRecord{DataCentre: dc}}
			change(peers[name])
		}
		watch, ok := query(t.Context(), g.control, func() bool {
			k := g.control
			k.peers.byID, k.storeReachable, k.confirmedAt = peers, true, now
			return k.shouldWatch(now)
		})
		require.True(t, ok)
		require.Equal(t, state != "sound" && state != "resting", watch, state)
	}
}

// Guards against a coordinator that counts as alive because its instance runs again,
// and against one that counts as ended because this instance hears nobody.
func TestEnded(t *testing.T) {
	g := newDeployment(t, config()).start("g1").Gateway
	now := time.Now()
	set := func(peers map[string]*peer) { g.control.call(t.Context(), func() { g.control.peers.byID = peers }) }
	long := now.Add(-2 * peerTimeout)
	set(map[string]*peer{"a": {process: "a/1", lastHeartbeatAt: now.Add(time.Hour)}})
	require.False(t, g.ProcessExited(t.Context(), "a/1"))
	require.True(t, g.ProcessExited(t.Context(), "a/0"), "the instance runs another process")
	require.False(t, g.ProcessExited(t.Context(), "b/1"), "never heard")
	set(map[string]*peer{"a": {process: "a/1", lastHeartbeatAt: long}, "b": {process: "b/1", lastHeartbeatAt: now.Add(time.Hour)}})
	require.True(t, g.ProcessExited(t.Context(), "a/1"))
	set(map[string]*peer{"a": {process: "a/1", lastHeartbeatAt: long}})
	require.False(t, g.ProcessExited(t.Context(), "a/1"), "nobody is heard")
}

// Guards against slow targets that only the instance which coordinates their group
// spares, and against ones that are spared after that instance has ended.
func TestSlowTargetsAreKnownToAll(t *testing.T) {
	r := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
	d := newDeployment(t, config(), r)
	a, b := d.start("a"), d.start("b")
	slowness := func(i *instance) float64 {
		target := i.target("r")
		target.mu.Lock()
		defer target.mu.Unlock()
		return target.slowdown
	}
	a.SetSlowTargets(t.Context(), "g", map[string]float64{r.target("b").Addr: 1.6})
	for _, i := range []*instance{a, b} {
		require.Eventually(t, func() bool { return slowness(i) == 1.6 }, 2*time.Second, 10*time.Millisecond)
	}
	a.refusing.Store(true)
	a.stop()
	require.Eventually(t, func() bool { return slowness(b) == 1 }, 3*time.Second, 10*time.Millisecond)
}
