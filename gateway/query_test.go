package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// Guards against a data race: the control goroutine still writes the result of
// a query when the caller has stopped waiting and reads it. Without the guard,
// the test fails under the race detector.
func TestQueryCanceled(t *testing.T) {
	g := New(Options{Instance: "g", KV: standin.NewKV().Direct(), ItemDecoder: testRecords{}, Headers: testHeaders{},
		Log: slog.New(slog.DiscardHandler), Registry: metrics.NewRegistry()})
	started, release := make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		f := <-g.control.inbox
		f()
	}()
	go func() { <-started; cancel(); time.Sleep(10 * time.Millisecond); close(release) }()
	v, ok := query(ctx, g.control, func() int { close(started); <-release; return 7 })
	require.False(t, ok)
	require.Zero(t, v)
	<-release
}
