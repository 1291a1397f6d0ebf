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

// threeEntryConfig returns twoByTwoConfig with a third entry, so that two entries
// are a majority.
func threeEntryConfig(t *testing.T) *config.Config {
	c := twoByTwoConfig(t)
	c.Inventory.Entries = append(c.Inventory.Entries, config.Entry{
		Name: "entry-burgos-2", DataCentre: "burgos", HTTPAddr: freeAddr(t), PeerAddr: freeAddr(t),
	})
	return c
}

func (k *cluster) setStoreDown(down bool) {
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
	require.Eventually(k.t, func() bool { return k.freshness(entry) == string(want) }, waitTimeout, 20*time.Millisecond)
}

// Guards against refusing work during an outage of the key-value store, against
// losing the change that takes a data centre out of service when the store fails
// right after it, and against a process that is restarted in the outage and gets
// no configuration.
func TestZoneOutThenStoreDown(t *testing.T) {
	k := startCluster(t, threeEntryConfig(t))
	k.waitPeers()
	l := startLoad(k)
	l.waitCompleted(50)
	changed := k.copyConfig()
	changed.Rules.DataCentresOut = []string{"burgos"}
	k.applyConfig(1, changed)
	k.setStoreDown(true)
	k.waitActive(2)
	before := k.startedWork("burgos")
	for i := range k.config.Inventory.Entries {
		k.waitFreshness(i, configsync.StoreDown)
	}
	l.waitCompleted(100)

	k.kill("cabina-app-burgos")
	k.kill("entry-burgos-2")
	for _, tg := range k.config.Inventory.Targets {
		if tg.Name == "cabina-app-burgos" {
			k.startTarget(tg)
		}
	}
	k.startEntry(k.config.Inventory.Entries[2])
	k.waitActive(2)
	k.waitFreshness(2, configsync.StoreDown)
	l.waitCompleted(100)
	assert.Equal(t, before, k.startedWork("burgos"), "work started in a data centre that is out")

	k.setStoreDown(false)
	for i := range k.config.Inventory.Entries {
		k.waitFreshness(i, configsync.Fresh)
	}
	l.waitCompleted(50)
	l.finish()
}

// Guards against an entry that accepts new work although it reaches neither the
// key-value store nor a majority, and so may have missed that a data centre was
// taken out of service.
func TestIsolatedEntryRefusesNewWork(t *testing.T) {
	k := startCluster(t, threeEntryConfig(t))
	k.waitPeers()
	k.setStoreDown(true)
	k.waitFreshness(0, configsync.StoreDown)
	for _, name := range []string{"entry-vitoria", "entry-burgos-2"} {
		k.signal(name, syscall.SIGSTOP)
	}
	k.waitFreshness(0, configsync.Isolated)
	res, err := k.request(http.MethodPost, k.entryURL(0)+"/v1/services/cabina-app/book", customerKey, nil, []byte(`{}`))
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, res.status)
	assert.Contains(t, string(res.body), `"kind":"isolated"`)
	assert.Contains(t, string(res.body), `"did_run":"not_run"`)

	// A configuration change is refused too, since no majority would have it.
	document, err := json.Marshal(k.config)
	require.NoError(t, err)
	res, err = k.request(http.MethodPut, k.entryURL(0)+"/v1/config", operatorToken,
		http.Header{"If-Match": {"1"}, "Edit-Id": {"isolated-edit"}}, document)
	require.NoError(t, err)
	assert.Contains(t, string(res.body), `"kind":"isolated"`)

	for _, name := range []string{"entry-vitoria", "entry-burgos-2"} {
		require.NoError(t, k.processes[name].cmd.Process.Signal(syscall.SIGCONT))
	}
	k.waitFreshness(0, configsync.StoreDown)
	res, err = k.request(http.MethodPost, k.entryURL(0)+"/v1/services/cabina-app/book", customerKey, nil, []byte(`{}`))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.status, "%s", res.body)
}

// Guards against returning to a lower revision after the store was restored from a
// backup, and against accepting an edit based on such a store.
func TestRolledBackStoreChangesNothing(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	k.waitPeers()
	backup := k.kv.Revision()
	changed := k.copyConfig()
	changed.Rules.DataCentresOut = []string{"burgos"}
	k.applyConfig(1, changed)
	k.waitActive(2)
	require.NoError(t, k.kv.Rollback(backup))
	k.waitFreshness(0, configsync.StoreDown)
	k.waitFreshness(1, configsync.StoreDown)
	assert.True(t, k.isActive(0, 2) && k.isActive(1, 2))
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

// Guards against accepting a change that only the accepting entry has. The others
// would lose it if that entry and the store failed right after.
func TestAcceptedChangeIsHeldByMajority(t *testing.T) {
	k := startCluster(t, twoByTwoConfig(t))
	k.waitPeers()
	c := k.copyConfig()
	for base := uint64(1); base <= 20; base++ {
		c.Rules.AddressTTLMs = 500 + int(base)
		k.applyConfig(base, c)
		res, err := k.request(http.MethodGet, k.entryURL(1)+"/v1/config", operatorToken, nil, nil)
		require.NoError(t, err)
		var doc struct{ Revision uint64 }
		require.NoError(t, json.Unmarshal(res.body, &doc))
		require.Equal(t, base+1, doc.Revision)
	}
}
