package telemetry

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines limits the lines that are queued for writing.
	maxQueuedLines = 1024
	// dropReportInterval is the shortest interval between reports of dropped
	// lines.
	dropReportInterval = time.Second
	// maxLinesPerSecond limits the lines that one process writes.
	maxLinesPerSecond = 500
)

// LogWriter writes lines in the background. It drops and counts lines that
// arrive faster than they can be written, or faster than maxLinesPerSecond.
type LogWriter struct {
	lines           chan []byte
	dropped         atomic.Int64
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
	done            chan struct{}
}

// NewLogWriter returns a writer that writes to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer. It queues one line and never blocks.
func (l *LogWriter) Write(p []byte) (int, error) {
	now := time.Now().Unix()
	if l.currentSecond.Swap(now) != now {
		l.linesThisSecond.Store(0)
	}
	if l.linesThisSecond.Add(1) > maxLinesPerSecond {
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

// Close writes the queued lines. Write must not be called afterwards.
func (l *LogWriter) Close() {
	close(l.lines)
	<-l.done
}

func (l *LogWriter) run(w io.Writer) {
	defer close(l.done)
	logger := slog.New(slog.NewJSONHandler(w, nil))
	lastReport := time.Now()
	for line := range l.lines {
		_, _ = w.Write(line) // an error could only be reported to w itself
		if time.Since(lastReport) < dropReportInterval {
			continue
		}
		lastReport = time.Now()
		if n := l.dropped.Swap(0); n > 0 {
			logger.Warn("log lines dropped", "count", n)
		}
	}
}
