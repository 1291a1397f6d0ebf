package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// Guards against a record that is not written again after its lease expired,
// and against one that remains after its process has stopped.
func TestRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		ctx, cancel := context.WithCancel(t.Context())
		r := Record{KV: kv.Direct(), Key: "k", Value: []byte("v"), TTL: 4 * time.Second, RenewInterval: time.Second}
		done := make(chan struct{})
		go func() { r.Run(ctx); close(done) }()
		time.Sleep(10 * time.Second)
		it, _, err := kv.Direct().Get(t.Context(), "k")
		require.NoError(t, err)
		kv.Lapse(it.Lease)
		time.Sleep(3 * time.Second)
		_, _, err = kv.Direct().Get(t.Context(), "k")
		require.NoError(t, err, "written again under a new lease")
		cancel()
		<-done
		_, _, err = kv.Direct().Get(t.Context(), "k")
		require.ErrorIs(t, err, infra.ErrNotFound)
	})
}
