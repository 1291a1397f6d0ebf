package telemetry

import (
	"io"
	"log/slog"
	"sync"
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
	// closeTimeout limits the wait for queued lines at the end of the process. A
	// reader that does not read would otherwise keep the process from exiting.
	closeTimeout = 500 * time.Millisecond
)

// LogWriter writes lines in the background. It drops and counts lines that
// arrive faster than they can be written, or faster than maxLinesPerSecond.
type LogWriter struct {
	lines           chan []byte
	dropped         atomic.Int64
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
	closing         chan struct{}
	closeOnce       sync.Once
	done            chan struct{}
}

// NewLogWriter returns a writer that writes to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
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

// Close writes the queued lines and waits until they are written, but not longer
// than closeTimeout. Lines that are written to l afterwards are dropped.
func (l *LogWriter) Close() {
	l.closeOnce.Do(func() { close(l.closing) })
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

func (l *LogWriter) run(w io.Writer) {
	defer close(l.done)
	logger := slog.New(slog.NewJSONHandler(w, nil))
	lastReport := time.Now()
	for {
		select {
		case line := <-l.lines:
			_, _ = w.Write(line) // an error could only be reported to w itself
		case <-l.closing:
			l.writeQueued(w)
			l.reportDropped(logger)
			return
		}
		if time.Since(lastReport) >= dropReportInterval {
			lastReport = time.Now()
			l.reportDropped(logger)
		}
	}
}

// writeQueued writes the lines that are queued now.
func (l *LogWriter) writeQueued(w io.Writer) {
	for {
		select {
		case line := <-l.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

func (l *LogWriter) reportDropped(logger *slog.Logger) {
	if n := l.dropped.Swap(0); n > 0 {
		logger.Warn("log lines dropped", "count", n)
	}
}
