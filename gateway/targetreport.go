package gateway

import (
	"net/http"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
)

// recordReport records what the headers of a response say about its target: the limit
// that it names, the rest that it wants, and that it leaves. targetState.canAccept
// decides by them. A response with status 421 comes from another process.
func (x *exchange) recordReport(t *target, status int, m ResponseMeta, sentAt time.Time) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	x.recordLimit(t, m)
	if m.Leaving {
		x.recordLeaving(t)
	}
	switch {
	case wantsRest(status, m):
		x.recordRest(t, m)
	case !m.NotRun:
		t.mu.Lock()
		t.rest.RecordAccepted(sentAt)
		t.mu.Unlock()
	}
}

// wantsRest reports whether a target wants no requests for a time. The same header
// of a response with status 429 concerns the customer.
func wantsRest(status int, m ResponseMeta) bool {
	return status == http.StatusServiceUnavailable && m.HasRest && (m.Rest > 0 || m.RestInvalid)
}

func (x *exchange) recordRest(t *target, m ResponseMeta) {
	now, rest := time.Now(), m.Rest
	if m.RestInvalid {
		rest = -1
	}
	t.mu.Lock()
	until := t.rest.Begin(rest, now)
	t.mu.Unlock()
	x.g.metrics.targetRests.Inc(1)
	x.g.log.Info("target wants a rest", "request", x.meta.ID, "target", t.ID, "back_end", t.Backend, "asked_ms", m.Rest.Milliseconds(),
		"valid", !m.RestInvalid, "rests_ms", until.Sub(now).Milliseconds())
}

// recordLeaving keeps all new requests from this incarnation of the target, whatever
// the store says of it.
func (x *exchange) recordLeaving(t *target) {
	if t.saidLeaving.Swap(true) {
		return
	}
	x.g.log.Info("target says that it leaves", "request", x.meta.ID, "target", t.ID, "back_end", t.Backend, "entry_leaving", t.Leaving)
	x.g.control.post(x.r.Context(), func() { x.g.control.needsPublish = true })
}

// isLeaving reports whether the target leaves: its entry or a response says so.
func (t *target) isLeaving() bool { return t.Leaving || t.saidLeaving.Load() }

// restUntil returns the end of the rest of a target; zero if it does not rest.
func (t *targetState) restUntil(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until := t.rest.Until(); now.Before(until) {
		return until
	}
	return time.Time{}
}

// allRestUntil returns when the first of the targets that a request may use ends
// its rest. It is zero if one of them does not rest, or there is none.
func (q *queue) allRestUntil(isAllowed func(*target) bool, now time.Time) time.Time {
	var earliest time.Time
	for _, t := range q.g.snapshot.Load().targets[q.backend] {
		if !isAllowed(t) {
			continue
		}
		until := t.restUntil(now)
		if until.IsZero() {
			return time.Time{}
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest
}

// restError returns the error for a request all of whose targets rest for longer
// than it may wait.
func (q *queue) restError(untilFirst time.Duration) error {
	return errkind.New(errkind.NoTarget, "all targets of back end %s want no requests for a time", q.backend).WithRetryAfter(untilFirst)
}
