package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
)

// Guards against a tight loop of calls to a store without eras that has gone back
// to an older revision.
func TestOlderListIsNotRequestedInALoop(t *testing.T) {
	d := newDeployment(t, config())
	i := d.start("g1")
	i.control.call(t.Context(), func() { i.control.mirror.Load(nil, infra.NewRevision(2, 5)) })
	before := d.kv.Calls()["range"]
	d.kv.Compact(d.kv.Revision())
	require.NoError(t, d.kv.Rollback(d.kv.Revision()))
	time.Sleep(time.Second)
	require.Less(t, d.kv.Calls()["range"]-before, 20)
}

// Guards against an instance that keeps an old configuration because the watch from its
// revision fails each time, for example since the changes are too many for a response.
func TestListAfterWatchThatFailsAgain(t *testing.T) {
	fake := startFakeTarget(t, "r", func(w net.Conn, req *http.Request) { writeResponse(w, req, "ok") })
	d := newDeployment(t, config(), fake)
	g := d.start("g1")
	g.kv.refuse.Store(true)
	require.Eventually(t, func() bool { return g.kv.watches.Load() == 0 }, time.Second, time.Millisecond)
	next := config()
	next.Version = 2
	d.put("config", next)
	_, revision, err := d.kv.Direct().List(t.Context(), "")
	require.NoError(t, err)
	g.kv.brokenBefore.Store(revision)
	g.kv.refuse.Store(false)
	require.Eventually(t, func() bool { return g.snapshot.Load().table.Config.Version == 2 }, applyTimeout, 5*time.Millisecond)
}
