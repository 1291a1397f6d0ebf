package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/mirror"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// testInstanceRecord returns a record with addresses of its own.
func testInstanceRecord(i int) instanceRecord {
	ip := fmt.Sprintf("10.1.%d.%d", i/250, i%250)
	return instanceRecord{CallerAddr: ip + ":80", PeerAddr: ip + ":81"}
}

// Guards against a record of another writer whose addresses are given to callers.
func TestRecordWithOddAddressIsNotRead(t *testing.T) {
	for _, addr := range []string{"", "a", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", ":80", "host.example:80"} {
		record := testInstanceRecord(1)
		record.CallerAddr = addr
		require.Error(t, instanceTable{}.apply(recordKey("i"), record.encode(), true), addr)
		record = testInstanceRecord(1)
		record.PeerAddr = addr
		require.Error(t, instanceTable{}.apply(recordKey("i"), record.encode(), true), addr)
	}
}

// Guards against a heartbeat that costs more the more instances there are: all
// instances receive several a second, so that their processor time grew with the square
// of their number.
func TestHeartbeatCostDoesNotGrowWithInstances(t *testing.T) {
	allocations := func(instances int) float64 {
		g := newDeployment(t, config()).start("g1")
		var allocs float64
		g.control.call(t.Context(), func() {
			c := g.control
			revision := infra.RevisionNumber(c.mirror.Revision())
			var items []infra.Item
			for i := range instances {
				items = append(items, infra.Item{Key: recordKey(fmt.Sprint("i", i)), Value: testInstanceRecord(i).encode(), ModRevision: revision + int64(i) + 1})
			}
			c.updateCopy("test", time.Now(), func() []string {
				return c.mirror.Merge(mirror.Delta{Items: items, Revision: revision + int64(instances)})
			})
			require.Equal(t, instances+1, len(c.instances))
			beat := &wirepb.PeerBeat{StoreRevision: infra.RevisionNumber(c.mirror.Revision())}
			allocs = testing.AllocsPerRun(20, func() { c.applyHeartbeat(nil, "i1", beat, time.Now(), time.Now()) })
		})
		return allocs
	}
	few, many := allocations(10), allocations(1000)
	require.LessOrEqual(t, many, 2*few+10)
}

// Guards against a record that is kept although it was deleted or cannot be read.
func TestInstanceTableFollowsCopy(t *testing.T) {
	table := instanceTable{}
	record := testInstanceRecord(1)
	require.NoError(t, table.apply(recordKey("i"), record.encode(), true))
	require.NoError(t, table.apply("target/i", []byte("{}"), true))
	require.Equal(t, instanceTable{"i": record}, table)
	require.ErrorContains(t, table.apply(recordKey("i"), []byte("{"), true), recordKey("i"))
	require.Empty(t, table)
	require.NoError(t, table.apply(recordKey("i"), record.encode(), true))
	require.NoError(t, table.apply(recordKey("i"), nil, false))
	require.Empty(t, table)
}
