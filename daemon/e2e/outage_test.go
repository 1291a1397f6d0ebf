package e2e

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
)

// threeEntries has a third entry, so that two of them are a majority.
func threeEntries(t *testing.T) *config.Config {
	c := twoByTwo(t)
	c.Inventory.Entries = append(c.Inventory.Entries, config.Entry{
		Name: "entry-burgos-2", DataCentre: "burgos", HTTPAddr: freeAddr(t), PeerAddr: freeAddr(t),
	})
	return c
}

func (k *cluster) storeDown(down bool) {
	k.kv.SetRefuse(down)
	k.kv.BreakWatches()
}

func (k *cluster) freshness(entry int) string {
	res, err := k.request(http.MethodGet, k.entryURL(entry)+"/v1/config/status", operatorToken, nil, nil)
	var st struct{ Freshness string }
	if err != nil || json.Unmarshal(res.body, &st) != nil {
		return ""
	}
	return st.Freshness
}

func (k *cluster) waitFreshness(entry int, want configsync.FreshnessState) {
	require.Eventually(k.t, func() bool { return k.freshness(entry) == string(want) }, waitBound, 20*time.Millisecond)
}

// Guards against refused work in an outage of the key-value service, against a
// zone out that is lost when the service goes down right after it, and against
// a process restarted in the outage that stays without the configuration.
func TestZoneOutThenStoreDown(t *testing.T) {
	k := startCluster(t, threeEntries(t))
	k.waitPeers()
	l := startLoad(k)
	l.waitMore(50)
	out := k.current()
	out.Rules.DataCentresOut = []string{"burgos"}
	k.apply(1, out)
	k.storeDown(true)
	k.waitInForce(2)
	before := k.started("burgos")
	for i := range k.config.Inventory.Entries {
		k.waitFreshness(i, configsync.StoreDown)
	}
	l.waitMore(100)

	k.kill("cabina-app-burgos")
	k.kill("entry-burgos-2")
	for _, tg := range k.config.Inventory.Targets {
		if tg.Name == "cabina-app-burgos" {
			k.startTarget(tg)
		}
	}
	k.startEntry(k.config.Inventory.Entries[2])
	k.waitInForce(2)
	k.waitFreshness(2, configsync.StoreDown)
	l.waitMore(100)
	assert.Equal(t, before, k.started("burgos"), "work started in a data centre that is out")

	k.storeDown(false)
	for i := range k.config.Inventory.Entries {
		k.waitFreshness(i, configsync.Fresh)
	}
	l.waitMore(50)
	l.finish()
}

// Guards against an entry that takes new work although it hears neither the
// key-value service nor a majority, and so may have missed a zone out.
func TestIsolatedEntryRefusesNewWork(t *testing.T) {
	k := startCluster(t, threeEntries(t))
	k.waitPeers()
	k.storeDown(true)
	k.waitFreshness(0, configsync.StoreDown)
	for _, name := range []string{"entry-vitoria", "entry-burgos-2"} {
		require.NoError(t, k.procs[name].cmd.Process.Signal(syscall.SIGSTOP))
	}
	k.waitFreshness(0, configsync.Isolated)
	res, err := k.request(http.MethodPost, k.entryURL(0)+"/v1/services/cabina-app/book", customerKey, nil, []byte(`{}`))
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, res.status)
	assert.Contains(t, string(res.body), `"kind":"isolated"`)
	assert.Contains(t, string(res.body), `"did_run":"not_run"`)

	// A change is refused too, since no majority would carry it on.
	document, err := json.Marshal(k.config)
	require.NoError(t, err)
	res, err = k.request(http.MethodPut, k.entryURL(0)+"/v1/config", operatorToken,
		http.Header{"If-Match": {"1"}, "Edit-Id": {"isolated-edit"}}, document)
	require.NoError(t, err)
	assert.Contains(t, string(res.body), `"kind":"isolated"`)

	for _, name := range []string{"entry-vitoria", "entry-burgos-2"} {
		require.NoError(t, k.procs[name].cmd.Process.Signal(syscall.SIGCONT))
	}
	k.waitFreshness(0, configsync.StoreDown)
	res, err = k.request(http.MethodPost, k.entryURL(0)+"/v1/services/cabina-app/book", customerKey, nil, []byte(`{}`))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.status, "%s", res.body)
}

// Guards against a revision that falls after the store was restored from a
// backup, and against an edit on top of such a store.
func TestRolledBackStoreChangesNothing(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	k.waitPeers()
	backup := k.kv.Revision()
	out := k.current()
	out.Rules.DataCentresOut = []string{"burgos"}
	k.apply(1, out)
	k.waitInForce(2)
	require.NoError(t, k.kv.Rollback(backup))
	k.waitFreshness(0, configsync.StoreDown)
	k.waitFreshness(1, configsync.StoreDown)
	assert.True(t, k.inForce(0, 2) && k.inForce(1, 2))
	document, err := json.Marshal(k.config)
	require.NoError(t, err)
	res, err := k.request(http.MethodPut, k.entryURL(0)+"/v1/config", operatorToken,
		http.Header{"If-Match": {"1"}, "Edit-Id": {"after-rollback"}}, document)
	require.NoError(t, err)
	assert.Contains(t, string(res.body), `"kind":"revision_stale"`)
	res, err = k.request(http.MethodPost, k.entryURL(0)+"/v1/services/cabina-app/book", customerKey, nil, []byte(`{}`))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.status, "%s", res.body)
}

// Guards against an accepted change that only the accepting entry knows, which
// is lost to the others if that entry and the store fail right after.
func TestAcceptedChangeIsHeldByMajority(t *testing.T) {
	k := startCluster(t, twoByTwo(t))
	k.waitPeers()
	c := k.current()
	for base := uint64(1); base <= 20; base++ {
		c.Rules.AddressTTLMs = 500 + int(base)
		k.apply(base, c)
		res, err := k.request(http.MethodGet, k.entryURL(1)+"/v1/config", operatorToken, nil, nil)
		require.NoError(t, err)
		var doc struct{ Revision uint64 }
		require.NoError(t, json.Unmarshal(res.body, &doc))
		require.Equal(t, base+1, doc.Revision)
	}
}
