package telemetry

import (
	"bytes"
	"io"
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

// Guards against a panic at the end of a process, when a goroutine logs after the
// log was closed.
func TestLogWriterAfterClose(t *testing.T) {
	w := NewLogWriter(io.Discard)
	w.Close()
	_, err := w.Write([]byte("late\n"))
	require.NoError(t, err)
	w.Close()
}

// Guards against a process that cannot exit because nobody reads its log.
func TestLogWriterCloseDoesNotWaitForReader(t *testing.T) {
	out := &blockedWriter{unblocked: make(chan struct{})}
	defer close(out.unblocked)
	w := NewLogWriter(out)
	_, err := w.Write([]byte("line\n"))
	require.NoError(t, err)
	closed := make(chan struct{})
	go func() { w.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(2 * closeTimeout):
		require.Fail(t, "Close waits for the reader")
	}
}

// Guards against dropped lines that are never reported, because no later line is
// written.
func TestLogWriterReportsDroppedLinesAtClose(t *testing.T) {
	out := &blockedWriter{unblocked: make(chan struct{})}
	w := NewLogWriter(out)
	for range 2 * maxLinesPerSecond {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	close(out.unblocked)
	w.Close()
	require.Contains(t, out.buf.String(), "log lines dropped")
}
