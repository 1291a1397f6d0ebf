package telemetry

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blocked is a standard output that nobody reads for a while.
type blocked struct {
	mu   sync.Mutex
	free chan struct{}
	buf  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.free
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Guards against a log that holds up requests when its reader is slow, and
// against lines that are lost without a trace.
func TestLogWriterNeverBlocks(t *testing.T) {
	out := &blocked{free: make(chan struct{})}
	w := NewLogWriter(out)
	began := time.Now()
	for range 3 * queuedLines {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), time.Second)
	require.Positive(t, w.Dropped())
	close(out.free)
	w.Close()
	require.LessOrEqual(t, bytes.Count(out.buf.Bytes(), []byte("line")), 3*linesPerSecond)
}
