package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// coordinator returns the first entry of the data centre whose last lease event
// is that it acquired the lease, or an empty string.
func (k *cluster) coordinator(dataCentre string) string {
	for i, e := range k.config.Inventory.Entries {
		if e.DataCentre != dataCentre {
			continue
		}
		res, err := k.request(http.MethodGet, k.entryURL(i)+"/v1/timeline", operatorToken, nil, nil)
		var batches []struct {
			Events []struct{ Kind string }
		}
		if err != nil || json.Unmarshal(res.body, &batches) != nil || len(batches) == 0 {
			continue
		}
		holdsLease := false
		for _, ev := range batches[0].Events {
			if strings.HasPrefix(ev.Kind, "lease_") {
				holdsLease = ev.Kind == "lease_taken"
			}
		}
		if holdsLease {
			return e.Name
		}
	}
	return ""
}

// Guards against a data centre that stays without a coordinator after a planned
// stop of the entry with the lease. The entry must release the lease instead of
// letting it expire.
func TestLeaseMovesAtPlannedStop(t *testing.T) {
	k := startCluster(t, threeEntryConfig(t))
	k.waitPeers()
	require.Eventually(t, func() bool { return k.coordinator("burgos") != "" }, waitTimeout, 20*time.Millisecond)
	require.Eventually(t, func() bool { return k.coordinator("vitoria") != "" }, waitTimeout, 20*time.Millisecond)
	first := k.coordinator("burgos")
	k.terminate(first)
	// Without the release this takes at least 5 s: the TTL of 9 s less up to 3 s
	// since the last renewal and 1 s for the stop.
	require.Eventually(t, func() bool { return k.coordinator("burgos") != "" }, 4*time.Second, 20*time.Millisecond)
}
