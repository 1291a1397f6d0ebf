package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/platform/platformtest"
)

// oddRecords are records under the prefixes of the product that no process writes.
func oddRecords() map[string][]byte {
	deep := []byte(strings.Repeat("[", 300_000))
	odd := map[string][]byte{}
	for _, prefix := range []string{"instances/", "ranks/", "ranks/g/", "coordinators/", "standbys/", "quarantine/", ""} {
		odd["skylarkstep/"+prefix+"odd-deep"] = deep
		odd["skylarkstep/"+prefix+"odd-bytes"] = []byte{0xff, 0}
		odd["skylarkstep/"+prefix+"odd-addresses"] = []byte(`{"caller_addr":"127.0.0.1:99999","peer_addr":":0","data_centre":"dc1","region":"r",
			"group":"g","back_end":"s","rank":2147483647,"size":2147483647,"rank_addr":"127.0.0.1:0"}`)
	}
	return odd
}

// Guards against an entry or a record of another writer that ends a process which reads it
// or stops its reading, at gateways, coordinators and agents, also while they start, and
// against one that fills the log.
func TestOddEntriesStopNoProcess(t *testing.T) {
	const oddLines = 200 // log lines of a process on odd entries; each is read several times while it starts
	d := newPlatformDeployment(t)
	put := func() {
		for id, value := range platformtest.OddTargets(d.target) {
			require.NoError(t, platformtest.PutOddTarget(t.Context(), d.store, id, value))
		}
		for key, value := range oddRecords() {
			require.NoError(t, d.store.PutRaw(t.Context(), key, value))
		}
	}
	before := d.start("gateway")
	before.waitReady()
	put()
	processes := []*platformProcess{before, d.start("gateway"), d.start("rank")}
	processes[1].waitReady()
	for range 10 {
		put()
		time.Sleep(100 * time.Millisecond)
	}
	for _, p := range processes[:2] {
		for range 5 {
			p.openStream(t.Context(), 5).requireComplete(t, 5)
		}
	}
	d.putTarget(13) // a change that comes after the odd ones
	for _, p := range processes {
		require.Less(t, strings.Count(p.out.String(), "odd-"), oddLines)
		p.signal(terminate)
	}
	for _, p := range processes {
		p.waitForExit()
	}
}
