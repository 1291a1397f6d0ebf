package telemetry

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait to be written.
	queuedLines = 1024
	// dropReport is how often dropped lines are reported.
	dropReport = time.Second
	// linesPerSecond bounds the lines that one process writes.
	linesPerSecond = 500
)

// LogWriter writes lines in the background. Lines that come faster than they
// are written, or faster than linesPerSecond, are dropped and counted.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64
	count   atomic.Int64
	done    chan struct{}
}

// NewLogWriter returns a writer in front of w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer. It takes one line and never blocks.
func (l *LogWriter) Write(p []byte) (int, error) {
	now := time.Now().Unix()
	if l.second.Swap(now) != now {
		l.count.Store(0)
	}
	if l.count.Add(1) > linesPerSecond {
		l.dropped.Add(1)
		return len(p), nil
	}
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped since the last report.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Close writes what is queued. Write must not be called afterwards.
func (l *LogWriter) Close() {
	close(l.lines)
	<-l.done
}

func (l *LogWriter) run(w io.Writer) {
	defer close(l.done)
	report := slog.New(slog.NewJSONHandler(w, nil))
	last := time.Now()
	for line := range l.lines {
		_, _ = w.Write(line) // there is nowhere else to report to
		if time.Since(last) < dropReport {
			continue
		}
		last = time.Now()
		if n := l.dropped.Swap(0); n > 0 {
			report.Warn("log lines dropped", "count", n)
		}
	}
}
