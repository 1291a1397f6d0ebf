package ctxtime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against work that is cut at the begin of a planned stop, and against
// work that goes on after its time.
func TestExtend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		extended, end := Extend(ctx, time.Second)
		defer end()
		time.Sleep(time.Hour)
		cancel()
		time.Sleep(time.Second - time.Millisecond)
		require.NoError(t, extended.Err())
		time.Sleep(2 * time.Millisecond)
		require.Error(t, extended.Err())

		extended, end = Extend(t.Context(), time.Hour)
		end()
		require.Error(t, extended.Err())
	})
}
