package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/routing"
)

func (d *deployment) remove(key string) {
	_, err := d.kv.Direct().Commit(d.t.Context(), infra.Txn{Deletes: []string{key}})
	require.NoError(d.t, err)
}

// waitForEra waits until the instance has the contents of an era.
func (i *instance) waitForEra(t *testing.T, era int64) {
	require.Eventually(t, func() bool {
		revision, _ := query(t.Context(), i.control, i.control.mirror.Revision)
		return infra.Era(revision) == era
	}, 3*time.Second, time.Millisecond, "instance %s", i.id)
}

// receives reports whether a target is among those that receive new requests.
func (i *instance) receives(target string) bool {
	for _, t := range i.snapshot.Load().targets["b"] {
		if t.ID == target {
			return true
		}
	}
	return false
}

// tickAt checks timeouts as if a time from now had passed.
func (i *instance) tickAt(t *testing.T, after time.Duration) {
	i.control.call(t.Context(), func() {
		i.control.storeReachable = true
		i.control.tick(time.Now().Add(after))
	})
	i.control.call(t.Context(), func() {}) // the snapshot has been published
}

// extraTarget is a target beside that of the deployment.
func extraTarget(leaving bool) routing.Target {
	return routing.Target{ID: "x", Backend: "b", Addr: "127.0.0.1:1", DataCentre: "dc2", Slots: 1, Incarnation: 7, Leaving: leaving}
}

// startWithExtra starts one instance and waits for the extra target.
func startWithExtra(t *testing.T) (*deployment, *instance) {
	fake := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
	d := newDeployment(t, config(), fake)
	d.put("target/x", extraTarget(false))
	i := d.start("g1")
	require.Eventually(t, func() bool { return i.receives("x") && i.receives("r") }, 3*time.Second, time.Millisecond)
	return d, i
}

// Guards against instances that stay on the contents of before a restore, or watch
// from a revision of before that exists again; against a configuration that goes
// back to an older version or a key that was revoked; and against instances that
// miss later changes.
func TestRestoredStoreIsFollowed(t *testing.T) {
	d, all := startInstances(t, 4)
	d.requireApplied(all, 2)
	older := d.kv.TakeCopy()
	next := config()
	next.Version, next.Customers[0].Keys = 3, []string{"k1"}
	d.put("config", next)
	for _, i := range all {
		require.Eventually(t, func() bool { return i.snapshot.Load().table.Config.Version == 3 }, applyTimeout, time.Millisecond)
	}
	for range 20 {
		d.put("other", "x")
	}
	d.kv.Restore(older)
	for range 30 {
		d.put("other", "y")
	}
	for _, i := range all {
		i.waitForEra(t, 1)
		require.EqualValues(t, 3, i.snapshot.Load().table.Config.Version, "the configuration went back at %s", i.id)
		require.Equal(t, http.StatusUnauthorized, i.request(t.Context(), http.MethodPost, "/keyed/1", "k2").status, "a revoked key came back")
		require.Equal(t, http.StatusOK, i.request(t.Context(), http.MethodPost, "/keyed/1", "k1").status)
	}
	d.requireApplied(all, 4)
}

// Guards against a data centre that receives requests after a restore although the
// operator has taken it out of service, and against one that stays out although the
// operator has brought it back.
func TestEvacuationSurvivesRestore(t *testing.T) {
	d, i := startWithExtra(t)
	older := d.kv.TakeCopy()
	d.put("out/dc2", 1)
	require.Eventually(t, func() bool { return !i.receives("x") }, 3*time.Second, time.Millisecond)
	d.kv.Restore(older)
	i.waitForEra(t, 1)
	i.tickAt(t, expiryGrace+time.Second)
	require.False(t, i.receives("x"), "the operator has not brought the data centre back")
	i.tickAt(t, restoredOutGrace+time.Second)
	require.True(t, i.receives("x"), "the operator did not write the evacuation again")

	d.put("out/dc2", 1)
	require.Eventually(t, func() bool { return !i.receives("x") }, 3*time.Second, time.Millisecond)
	d.kv.Restore(older)
	i.waitForEra(t, 2)
	d.put("out/dc2", 1)
	time.Sleep(100 * time.Millisecond)
	require.False(t, i.receives("x"))
	d.remove("out/dc2")
	require.Eventually(t, func() bool { return i.receives("x") }, time.Second, time.Millisecond, "written again and removed")
}

// Guards against running targets that are dropped since the restored store lacks
// their entries, and against targets that are kept although they do not come back.
func TestTargetSurvivesRestore(t *testing.T) {
	for name, back := range map[string]bool{"written again": true, "gone": false} {
		t.Run(name, func(t *testing.T) {
			fake := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
			d := newDeployment(t, config(), fake)
			older := d.kv.TakeCopy()
			d.put("target/x", extraTarget(false))
			i := d.start("g1")
			require.Eventually(t, func() bool { return i.receives("x") }, 3*time.Second, time.Millisecond)
			i.control.call(t.Context(), func() { // the store is reachable, so this is no outage
				i.control.peers.byID["p"] = &peer{lastHeartbeatAt: time.Now().Add(time.Hour), storeReachable: true}
			})
			d.kv.Restore(older)
			i.waitForEra(t, 1)
			i.tickAt(t, expiryGrace/2)
			require.True(t, i.receives("x"))
			if back {
				d.put("target/x", extraTarget(false))
				require.Eventually(t, func() bool {
					expired, _ := query(t.Context(), i.control, func() int { return len(i.control.expired) })
					return expired == 0
				}, time.Second, time.Millisecond)
			}
			i.tickAt(t, expiryGrace+time.Second)
			require.Equal(t, back, i.receives("x"))
		})
	}
}

// Guards against new requests to a target that is leaving or has left, since the
// restored store holds its entry of before.
func TestRestoreBringsNoTargetBack(t *testing.T) {
	for name, leave := range map[string]func(*deployment){
		"leaving": func(d *deployment) { d.put("target/x", extraTarget(true)) },
		"left":    func(d *deployment) { d.remove("target/x") },
		"restarted": func(d *deployment) {
			next := extraTarget(true)
			next.Incarnation++
			d.put("target/x", next)
		},
		"overwritten": func(d *deployment) { d.put("target/x", "not an entry") },
	} {
		t.Run(name, func(t *testing.T) {
			d, i := startWithExtra(t)
			older := d.kv.TakeCopy()
			leave(d)
			require.Eventually(t, func() bool { return !i.receives("x") }, 3*time.Second, time.Millisecond)
			d.kv.Restore(older)
			i.waitForEra(t, 1)
			i.tickAt(t, restoredEntryGrace/2)
			require.False(t, i.receives("x"), "the entry is older than what the target wrote since")
			i.tickAt(t, restoredEntryGrace+time.Second)
			require.True(t, i.receives("x"), "the entry has not expired, so the target runs")
		})
		t.Run(name+", then written again", func(t *testing.T) {
			d, i := startWithExtra(t)
			older := d.kv.TakeCopy()
			leave(d)
			require.Eventually(t, func() bool { return !i.receives("x") }, 3*time.Second, time.Millisecond)
			d.kv.Restore(older)
			i.waitForEra(t, 1)
			again := extraTarget(false)
			again.Slots = 2
			d.put("target/x", again)
			require.Eventually(t, func() bool { return i.receives("x") }, time.Second, time.Millisecond)
		})
	}
}

// Guards against an instance that has left and is listed again: its record is in
// the restored copy, and its lease may not exist any more, so that it never expires.
func TestRestoredRecordOfLeftInstanceIsNotListed(t *testing.T) {
	g := newDeployment(t, config()).start("g1").Gateway
	var listed, forgotten bool
	g.control.call(t.Context(), func() {
		ctrl, now := g.control, time.Now()
		record := instanceRecord{CallerAddr: "10.0.0.9:1", PeerAddr: "10.0.0.9:2"}
		ctrl.applyInstanceRecords(ctrl.mirror.Load([]infra.Item{{Key: recordKey("left"), Value: record.encode(), ModRevision: infra.NewRevision(1, 3)}}, infra.NewRevision(1, 4)))
		ctrl.peers.byID["left"] = &peer{lastHeartbeatAt: now, leaving: true, record: record}
		later := now.Add(2 * peerRetention)
		ctrl.peers.byID["other"] = &peer{lastHeartbeatAt: later}
		ctrl.tick(later)
		_, listed = ctrl.liveInstances(later)["left"]
		ctrl.applyInstanceRecords(ctrl.mirror.Apply([]infra.Event{{Item: infra.Item{Key: recordKey("left"), ModRevision: infra.NewRevision(1, 5)}, Deleted: true}}))
		ctrl.tick(later)
		_, known := ctrl.peers.byID["left"]
		forgotten = !known
	})
	require.False(t, listed)
	require.True(t, forgotten, "a peer without a record is removed")
}
