package gateway

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/membership"
)

// applyTimeout is the time within which a change must reach every instance: the
// limit for configurations and for leaving targets.
const applyTimeout = 2 * time.Second

// startInstances starts instances and waits until only watcherCount of them
// watch the store.
func startInstances(t *testing.T, n int) (*deployment, []*instance) {
	fake := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
	d := newDeployment(t, config(), fake)
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

// requireApplied fails the test unless all instances apply a new configuration
// in time.
func (d *deployment) requireApplied(all []*instance, version int64) {
	next := config()
	next.Version = version
	d.put("config", next)
	start := time.Now()
	for _, i := range all {
		require.Eventually(d.t, func() bool { return i.snapshot.Load().table.Config.Version == version },
			max(time.Millisecond, applyTimeout-time.Since(start)), 5*time.Millisecond, "instance %s", i.id)
	}
}

// Guards against calls to the store that grow with the number of instances, and
// against changes that do not reach the instances without a watch.
func TestFewInstancesWatch(t *testing.T) {
	d, all := startInstances(t, 6)
	d.requireApplied(all, 2)
	time.Sleep(2 * defaultWatchTakeoverAge)
	require.Len(t, watching(all), watcherCount)
	d.requireApplied(all, 3)
}

// Guards against followers that miss a change because the watchers have lost
// the store, whether or not the watchers notice.
func TestFollowersTakeOverWatch(t *testing.T) {
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

// Guards against a change that comes into force late because those that read the store
// are silent to it and do not know it yet, at any moment of their silence, and with more
// instances than have sessions with each other.
func TestChangeInTimeWhileWatchersAreSilent(t *testing.T) {
	sizes := []int{3, 9, 25}
	if n, err := strconv.Atoi(os.Getenv("SKYLARK_TEST_INSTANCES")); err == nil {
		sizes = []int{n} // larger ones take long and are played by hand
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			t.Parallel()
			fake := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
			d := newDeployment(t, config(), fake)
			var all []*instance
			for i := range n {
				all = append(all, d.start(fmt.Sprintf("g%d", i)))
			}
			time.Sleep(2 * defaultWatchTakeoverAge)
			for i, silence := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond} {
				silent := watching(all)
				for _, w := range silent {
					w.kv.mute.Store(true)
				}
				time.Sleep(silence)
				others := slices.DeleteFunc(slices.Clone(all), func(i *instance) bool { return i.kv.mute.Load() })
				d.requireApplied(others, int64(2+i))
				for _, w := range silent {
					w.kv.mute.Store(false)
				}
				time.Sleep(defaultWatchTakeoverAge)
			}
		})
	}
}

// Guards against a loss of the watchers being treated as a store outage:
// leaving targets would then be kept.
func TestNoOutageWhileOthersMayReach(t *testing.T) {
	g := newDeployment(t, config()).start("g1").Gateway
	var during, after bool
	g.control.call(t.Context(), func() {
		ctrl, now := g.control, time.Now()
		ctrl.confirmedAt = now
		ctrl.peers.byID["p"] = &peer{lastHeartbeatAt: now, following: true}
		ctrl.recordStoreFailure(errWatchEnded, now)
		during = ctrl.lastStoreOutage.IsZero()
		ctrl.peers.byID["p"].lastHeartbeatAt = now.Add(ctrl.outageDetectionAge())
		ctrl.recordStoreOutage(now.Add(ctrl.outageDetectionAge() + time.Millisecond))
		after = !ctrl.lastStoreOutage.IsZero()
	})
	require.True(t, during, "the peer may reach the store")
	require.True(t, after, "a heartbeat of the peer would have reported it")
}

// Guards against an instance that follows a peer which is leaving, is
// unresponsive or does not reach the store.
func TestWhoMayWatchForOthers(t *testing.T) {
	g := newDeployment(t, config()).start("g1").Gateway
	now := time.Now()
	recent := now.Add(time.Hour)
	// Both have a higher rank than g1 and are in other data centres.
	var rankedAbove []string
	for i := 0; len(rankedAbove) < watcherCount; i++ {
		dc, name := fmt.Sprintf("dc%d", 10+i), fmt.Sprintf("p%d", i)
		if membership.WatchRank(dc, name) > membership.WatchRank("dc1", "g1") {
			rankedAbove = append(rankedAbove, dc+"/"+name)
		}
	}
	for state, change := range map[string]func(*peer){
		"sound":                    func(*peer) {},
		"resting":                  func(p *peer) { p.storeReachable, p.following = false, true },
		"leaving":                  func(p *peer) { p.leaving = true },
		"silent":                   func(p *peer) { p.lastHeartbeatAt = now.Add(-2 * peerTimeout) },
		"does not reach the store": func(p *peer) { p.storeReachable = false },
	} {
		peers := map[string]*peer{}
		for _, full := range rankedAbove {
			dc, name, _ := strings.Cut(full, "/")
			peers[name] = &peer{lastHeartbeatAt: recent, storeReachable: true, record: instanceRecord{DataCentre: dc}}
			change(peers[name])
		}
		watch, ok := query(t.Context(), g.control, func() bool {
			ctrl := g.control
			ctrl.peers.byID, ctrl.storeReachable, ctrl.confirmedAt = peers, true, now
			return ctrl.shouldWatch(now)
		})
		require.True(t, ok)
		require.Equal(t, state != "sound" && state != "resting", watch, state)
	}
}

// Guards against a coordinator that counts as running because its instance runs
// again as another process, and against one that counts as exited because this
// instance receives no heartbeats at all.
func TestProcessExited(t *testing.T) {
	g := newDeployment(t, config()).start("g1").Gateway
	now := time.Now()
	setPeers := func(peers map[string]*peer) { g.control.call(t.Context(), func() { g.control.peers.byID = peers }) }
	expired := now.Add(-2 * peerTimeout)
	setPeers(map[string]*peer{"a": {process: "a/1", lastHeartbeatAt: now.Add(time.Hour)}})
	require.False(t, g.ProcessExited(t.Context(), "a/1"))
	require.True(t, g.ProcessExited(t.Context(), "a/0"), "the instance runs another process")
	require.False(t, g.ProcessExited(t.Context(), "b/1"), "no heartbeat was ever received")
	setPeers(map[string]*peer{"a": {process: "a/1", lastHeartbeatAt: expired}, "b": {process: "b/1", lastHeartbeatAt: now.Add(time.Hour)}})
	require.True(t, g.ProcessExited(t.Context(), "a/1"))
	setPeers(map[string]*peer{"a": {process: "a/1", lastHeartbeatAt: expired}})
	require.False(t, g.ProcessExited(t.Context(), "a/1"), "no heartbeats are received")
}

// Guards against slow targets that are avoided only by the instance which
// coordinates their group, and against targets that are still avoided after
// that instance has exited.
func TestSlowTargetsAreKnownToAll(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
	d := newDeployment(t, config(), fake)
	a, b := d.start("a"), d.start("b")
	slowdown := func(i *instance) float64 {
		target := i.target("r")
		target.mu.Lock()
		defer target.mu.Unlock()
		return target.slowdown
	}
	a.SetSlowTargets(t.Context(), "g", map[string]float64{fake.target("b").Addr: 1.6})
	for _, i := range []*instance{a, b} {
		require.Eventually(t, func() bool { return slowdown(i) == 1.6 }, 2*time.Second, 10*time.Millisecond)
	}
	a.stop()
	require.Eventually(t, func() bool { return slowdown(b) == 1 }, 3*time.Second, 10*time.Millisecond)
}
