package gateway

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// pace is when the parts of a stream arrived, which says why an answer was late.
type pace struct {
	first, last time.Time
	longestGap  time.Duration
}

// heard notes that a part of the answer has arrived.
func (p *pace) heard(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	} else {
		p.longestGap = max(p.longestGap, now.Sub(p.last))
	}
	p.last = now
}

// fail writes an answer of the gateway's own, unless one was begun.
func (x *exchange) fail(err error) {
	if errors.Is(err, errBroken) {
		return
	}
	kind := errkind.KindOf(err)
	if kind == errkind.Canceled && x.r.Context().Err() != nil {
		return // nobody reads the answer
	}
	answer := kind.Response()
	h := x.w.Header()
	if x.meta.ID != "" {
		x.g.headers.SetID(h, x.meta.ID)
	}
	if d := errkind.From(err).RetryAfter; d > 0 {
		x.g.headers.SetRetryAfter(h, d)
	}
	h.Set("Content-Type", "application/json")
	x.w.WriteHeader(answer.Status)
	body := map[string]string{"kind": kind.String(), "message": err.Error(), "request_id": x.meta.ID}
	if err := json.NewEncoder(x.w).Encode(body); err != nil {
		x.g.log.Debug("answer not written", "request", x.meta.ID, "error", err.Error())
	}
}

// report writes the line of the request to the log and counts its outcome.
func (x *exchange) report(err error) {
	outcome := "answered"
	if err != nil {
		outcome = errkind.KindOf(err).String()
	}
	took := time.Since(x.began)
	x.g.metrics.finished(x, outcome, took)
	attrs := []any{
		slog.String("request", x.meta.ID), slog.String("outcome", outcome), slog.String("target", x.target),
		slog.Int("sent", x.arrived), slog.Int64("ms", took.Milliseconds()), slog.Int64("waited_ms", x.waited.Milliseconds()),
		slog.Int64("deadline_ms", x.meta.Deadline.Milliseconds()),
	}
	if x.state != nil {
		attrs = append(attrs, slog.Int64("version", x.state.table.Config.Version), slog.Int64("revision", x.state.revision),
			slog.Int64("state_age_ms", x.g.control.age().Milliseconds()))
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", x.route.Name), slog.String("back_end", x.backend))
	}
	if x.meta.PromptTokens > 0 {
		attrs = append(attrs, slog.Int("prompt_tokens", x.meta.PromptTokens))
	}
	if x.events > 0 {
		attrs = append(attrs, slog.Int("events", x.events), slog.Int64("first_event_ms", x.pace.first.Sub(x.began).Milliseconds()),
			slog.Int64("longest_gap_ms", x.pace.longestGap.Milliseconds()))
	}
	if x.lastErr != nil {
		attrs = append(attrs, slog.String("last_failure", x.lastErr.Error()))
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	x.g.log.Info("request", attrs...)
}
