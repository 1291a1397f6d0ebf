package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/platform/standin"
)

// Guards against a heartbeat at the end of an outage that says the store is
// reachable while it still carries the age of the outage: other entries would
// take themselves for isolated and refuse work.
func TestHeartbeatAfterOutageIsConsistent(t *testing.T) {
	f := newFixture(t, "a")
	store := configsync.NewStore(standin.NewKV().Direct())
	_, err := store.Apply(context.Background(), configsync.Change{EditID: "first", Config: f.config})
	require.NoError(t, err)
	st, err := store.Load(context.Background())
	require.NoError(t, err)
	e := New(Options{Settings: &config.Settings{Name: "entry-burgos", DataCentre: "burgos"}, Node: f.entry.node})
	c := newControl(context.Background(), e)
	_, err = c.replica.Snapshot(1, st.Tree)
	require.NoError(t, err)
	c.publish()
	require.False(t, e.heartbeat().GetStoreReachable())
	require.Greater(t, e.heartbeat().GetFreshnessAgeMs(), uint64(configsync.FreshFor.Milliseconds()))

	assert.False(t, c.headSeen(st.Head, time.Now()))
	hb := e.heartbeat()
	assert.True(t, hb.GetStoreReachable())
	assert.Less(t, hb.GetFreshnessAgeMs(), uint64(configsync.FreshFor.Milliseconds()))
}
