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

// Guards against a value that the control goroutine still writes when the one who
// asked for it has given up and reads it. It fails under the race detector.
func TestQueryGivenUp(t *testing.T) {
	g := New(Options{Instance: "g", KV: standin.NewKV().Direct(), ItemDecoder: testRecords{}, Headers: testHeaders{},
		Log: slog.New(slog.DiscardHandler), Registry: metrics.NewRegistry()})
	begun, release := make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		f := <-g.control.inbox
		f()
	}()
	go func() { <-begun; cancel(); time.Sleep(10 * time.Millisecond); close(release) }()
	v, ok := query(ctx, g.control, func() int { close(begun); <-release; return 7 })
	require.False(t, ok)
	require.Zero(t, v)
	<-release
}
