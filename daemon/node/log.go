package node

import (
	"context"
	"io"
	"log/slog"
	"sync"

	"golang.org/x/time/rate"
)

// Rate and burst of log records per message. During an outage the same message
// is logged for every session and every retry. The next record that passes the
// limit reports how many were suppressed.
const (
	logRatePerMessage  = 1
	logBurstPerMessage = 20
)

// newLogger returns a logger that writes rate-limited JSON lines.
func newLogger(w io.Writer, l slog.Level) *slog.Logger {
	json := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l})
	return slog.New(&limitHandler{Handler: json, limits: &messageLimits{byMessage: map[string]*messageLimit{}}})
}

// limitHandler limits the rate of each message. Messages are constant strings in
// the code, so that the size of the map is limited.
type limitHandler struct {
	slog.Handler
	limits *messageLimits
}

type messageLimits struct {
	mu        sync.Mutex
	byMessage map[string]*messageLimit
}

type messageLimit struct {
	bucket     *rate.Limiter
	suppressed int
}

// Handle implements slog.Handler.
func (h *limitHandler) Handle(ctx context.Context, r slog.Record) error {
	pass, suppressed := h.limits.allow(&r)
	if !pass {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("suppressed", suppressed))
	}
	return h.Handler.Handle(ctx, r)
}

func (l *messageLimits) allow(r *slog.Record) (pass bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.byMessage[r.Message]
	if m == nil {
		m = &messageLimit{bucket: rate.NewLimiter(logRatePerMessage, logBurstPerMessage)}
		l.byMessage[r.Message] = m
	}
	if !m.bucket.AllowN(r.Time, 1) {
		m.suppressed++
		return false, 0
	}
	suppressed, m.suppressed = m.suppressed, 0
	return true, suppressed
}

// WithAttrs implements slog.Handler.
func (h *limitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitHandler{Handler: h.Handler.WithAttrs(attrs), limits: h.limits}
}

// WithGroup implements slog.Handler.
func (h *limitHandler) WithGroup(name string) slog.Handler {
	return &limitHandler{Handler: h.Handler.WithGroup(name), limits: h.limits}
}
