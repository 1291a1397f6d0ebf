package telemetry

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter is an output whose writes block until unblocked is closed.
type blockedWriter struct {
	mu        sync.Mutex
	unblocked chan struct{}
	buf       bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblocked
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Guards against a log that delays requests when its reader is slow, and
// against lines that are dropped without being counted.
func TestLogWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{unblocked: make(chan struct{})}
	w := NewLogWriter(out)
	began := time.Now()
	for range 3 * maxQueuedLines {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), time.Second)
	require.Positive(t, w.Dropped())
	close(out.unblocked)
	w.Close()
	require.LessOrEqual(t, bytes.Count(out.buf.Bytes(), []byte("line")), 3*maxLinesPerSecond)
}
