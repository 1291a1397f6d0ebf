package gateway

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// streamTiming records when the events of a stream arrived. It shows whether a
// late stream began late or paused.
type streamTiming struct {
	firstEventAt, lastEventAt time.Time
	longestGap                time.Duration
}

// recordEvent records that an event of the response has arrived.
func (t *streamTiming) recordEvent(now time.Time) {
	if t.firstEventAt.IsZero() {
		t.firstEventAt = now
	} else {
		t.longestGap = max(t.longestGap, now.Sub(t.lastEventAt))
	}
	t.lastEventAt = now
}

// errorBody is the JSON body of an error response of the gateway itself.
type errorBody struct {
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	DidRun       string `json:"did_run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	// Addresses are other instances to use while this one stops.
	Addresses []string `json:"addresses,omitempty"`
}

// writeError writes an error response of the gateway itself, unless a response
// was already begun.
func (x *exchange) writeError(err error) {
	if errors.Is(err, errInterrupted) {
		return
	}
	if x.isForNobody(err) {
		return
	}
	kind := errkind.KindOf(err)
	x.closeConnectionIfLeaving()
	response := kind.Response()
	h := x.w.Header()
	if x.meta.ID != "" {
		x.g.headers.SetID(h, x.meta.ID)
	}
	retryAfter := errkind.From(err).RetryAfter
	if retryAfter > 0 {
		x.g.headers.SetRetryAfter(h, retryAfter)
	}
	h.Set("Content-Type", "application/json")
	x.w.WriteHeader(response.Status)
	body := errorBody{
		Kind: kind.String(), Message: err.Error(), RequestID: x.meta.ID,
		DidRun: errkind.From(err).DidRun.String(), RetryAfterMs: retryAfter.Milliseconds(), Addresses: x.otherAddresses,
	}
	if err := json.NewEncoder(x.w).Encode(body); err != nil {
		x.g.log.Debug("error response not written", "request", x.meta.ID, "error", err.Error())
	}
}

// report writes the log line of the request and updates the metrics.
func (x *exchange) report(err error) {
	outcome := "answered"
	if err != nil {
		outcome = errkind.KindOf(err).String()
	}
	duration := time.Since(x.startedAt)
	x.g.metrics.recordRequest(x, outcome, duration)
	attrs := []any{
		slog.String("request", x.meta.ID), slog.String("outcome", outcome), slog.String("target", x.lastTarget),
		slog.Int("sent", x.timesSent), slog.Int64("ms", duration.Milliseconds()), slog.Int64("waited_ms", x.queueTime.Milliseconds()),
		slog.Int64("unread_ms", x.waitedUnread.Milliseconds()),
		slog.Int64("deadline_ms", x.meta.Deadline.Milliseconds()),
	}
	if x.snapshot != nil {
		attrs = append(attrs, slog.Int64("version", x.snapshot.table.Config.Version), slog.Int64("revision", x.snapshot.revision),
			slog.Int64("state_age_ms", x.g.control.staleness().Milliseconds()))
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", x.route.Name), slog.String("back_end", x.backend))
	}
	if x.meta.PromptTokens > 0 {
		attrs = append(attrs, slog.Int("prompt_tokens", x.meta.PromptTokens), slog.Int("max_output_tokens", x.meta.MaxOutputTokens))
	}
	if len(x.meta.PromptParts) > 0 {
		attrs = append(attrs, slog.Any("prompt_parts", x.meta.PromptParts))
	}
	if x.admission != nil {
		attrs = append(attrs, slog.String("fingerprint", x.fingerprint))
	}
	if x.quarantinedSubject != "" {
		attrs = append(attrs, slog.String("quarantined_part", x.quarantinedSubject))
	}
	if x.eventCount > 0 {
		attrs = append(attrs, slog.Int("events", x.eventCount), slog.Int64("first_event_ms", x.timing.firstEventAt.Sub(x.startedAt).Milliseconds()),
			slog.Int64("longest_gap_ms", x.timing.longestGap.Milliseconds()))
	}
	if d := x.stopDecision; d != nil {
		attrs = append(attrs, slog.Int64("stop_left_ms", d.left.Milliseconds()), slog.Int64("work_ms", d.work.Milliseconds()), slog.Bool("work_known", d.known),
			slog.Int("work_samples", d.basis.samples), slog.Int64("work_usual_ms", d.basis.usual.Milliseconds()),
			slog.Int64("work_longest_ms", d.basis.longest.Milliseconds()), slog.Float64("tokens_per_event", d.basis.tokensPerEvent))
	}
	if x.lastErr != nil {
		attrs = append(attrs, slog.String("last_failure", x.lastErr.Error()))
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	x.g.log.Info("request", attrs...)
}
