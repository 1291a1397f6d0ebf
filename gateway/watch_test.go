package gateway

import (
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
