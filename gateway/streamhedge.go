package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// hedgeInterval is the pause between searches for another target for a stalled stream.
const hedgeInterval = 300 * time.Millisecond

// errStreamWentOn is why a hedge is ended whose stream went on at its target.
var errStreamWentOn = errors.New("the stream went on at its target")

// streamHedge asks another target to go on with a stream whose target has stalled, while
// the attempt at that target continues.
//
// The load pattern: engines preempt requests and read them again, which pauses streams for
// seconds, and there may be no other target for them: the retry budget is used up, or the
// others are full, leaving, or refuse. An attempt that was ended before another target has
// begun to go on would lose a stream that its own target completes.
type streamHedge struct {
	// attempt has no target until acquired is closed, and none after it if no slot was
	// acquired.
	attempt  *streamAttempt
	acquired chan struct{}
}

// hedge asks another target to go on with a stalled stream, if the request may be sent
// once more now. It reports whether it does so.
func (s *streamExchange) hedge(now time.Time) bool {
	if s.pendingHedge != nil || now.Before(s.nextHedgeAt) {
		return false
	}
	s.nextHedgeAt = now.Add(hedgeInterval)
	if !s.mayHedge(now) {
		return false
	}
	s.setEventCount()
	ctx, cancel := context.WithCancel(s.ctx)
	h := &streamHedge{
		attempt:  &streamAttempt{ctx: ctx, cancel: cancel, response: make(chan attemptResult, 1)},
		acquired: make(chan struct{}),
	}
	s.pendingHedge = h
	slot := s.slotRequest(now)
	lastEventID := s.events.LastID()
	go func() { h.attempt.response <- s.runHedge(h, slot, lastEventID, now) }()
	return true
}

// mayHedge reports whether the request may be sent once more while an attempt is in
// progress.
func (s *streamExchange) mayHedge(now time.Time) bool {
	return s.route.Retryable() && s.countedAttempts+1 < s.route.MaxAttempts && !s.mayCrashAgain() &&
		s.g.allowsRetry(s.backend) && s.checkStop(now) == nil && s.admitSubjects(now) == nil
}

// runHedge acquires a slot, sends the request, and waits until the response begins. It
// runs beside the attempt in progress and changes no state of the exchange that this uses.
func (s *streamExchange) runHedge(h *streamHedge, slot slotRequest, lastEventID string, now time.Time) attemptResult {
	ctx := h.attempt.ctx
	t, err := s.acquireHedgeSlot(ctx, slot, now)
	if err != nil {
		close(h.acquired)
		return attemptResult{verdict: notSent, err: err}
	}
	h.attempt.target, h.attempt.sentAt = t, time.Now()
	close(h.acquired)
	return awaitFirstBytes(s.send(ctx, t, lastEventID))
}

// acquireHedgeSlot acquires a slot, and a retry of the budget, for a hedge.
func (s *streamExchange) acquireHedgeSlot(ctx context.Context, slot slotRequest, now time.Time) (*target, error) {
	q := s.g.queues.forBackend(s.backend)
	t, err := s.acquireSlot(ctx, q, slot, now)
	if err != nil {
		return nil, err
	}
	if !s.g.takeRetry(s.backend) {
		q.releaseSlot(t, 0)
		return nil, errors.New("the retry budget is used up")
	}
	s.admission.RecordSent(time.Now())
	s.g.metrics.hedges.Inc(1)
	return t, nil
}

// awaitFirstBytes waits for the first bytes of the body of a response that consists of
// events. A target may send the head at once and pause then.
func awaitFirstBytes(res attemptResult) attemptResult {
	if res.verdict != succeeded || !res.hasEvents() {
		return res
	}
	first := make([]byte, chunkSize)
	n, err := res.resp.Body.Read(first)
	if n == 0 {
		res.resp.Close()
		return res.lostWith(errors.Wrapf(err, "target %s sent no event", res.target.ID))
	}
	res.resp.Body = &peekedBody{first: first[:n], err: err, ReadCloser: res.resp.Body}
	return res
}

// peekedBody is a body whose first bytes have been read.
type peekedBody struct {
	io.ReadCloser
	first []byte
	err   error // of the read of the first bytes
}

// Read implements io.Reader.
func (b *peekedBody) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.ReadCloser.Read(p)
}

// hedgeResponse returns the channel that receives the result of the hedge, or nil if there
// is none.
func (s *streamExchange) hedgeResponse() <-chan attemptResult {
	if s.pendingHedge == nil {
		return nil
	}
	return s.pendingHedge.attempt.response
}

// hedgeWins reports whether the target of the hedge goes on with the stream. The hedge is
// then the next attempt; otherwise it has ended.
func (s *streamExchange) hedgeWins(res attemptResult) bool {
	if res.verdict == succeeded && res.hasEvents() && s.continuesStream(res.resp) {
		s.pendingHedge.attempt.response <- res
		return true
	}
	s.endHedge(res)
	return false
}

// endHedge records a hedge that is not used.
func (s *streamExchange) endHedge(res attemptResult) {
	h := s.pendingHedge
	s.pendingHedge = nil
	defer h.attempt.cancel()
	if res.target == nil {
		s.g.log.Debug("no other target for a stalled stream", "request", s.meta.ID, "error", res.err.Error())
		return
	}
	if res.verdict == succeeded || res.verdict == failed {
		res.resp.Close()
	}
	if res.verdict == succeeded {
		res = res.lostWith(errors.Errorf("target %s sent status %d to a stalled stream", res.target.ID, res.resp.StatusCode))
	}
	s.triedTargets[res.target.ID] = true
	s.reportAttempt(h.attempt.ctx, res)
	s.recordAttempt(res)
	s.g.queues.forBackend(s.backend).releaseSlot(res.target, 0)
}

// dropHedge ends the hedge, if there is one, since it is not needed any more.
func (s *streamExchange) dropHedge() {
	h := s.pendingHedge
	if h == nil {
		return
	}
	h.attempt.cancel()
	res := <-h.attempt.response
	if res.verdict == succeeded {
		res.resp.Close()
		res = res.lostWith(errStreamWentOn)
	}
	s.endHedge(res)
}

// dropStalledHedge ends a hedge whose target has stalled as well, if the request may be sent
// to a third one.
func (s *streamExchange) dropStalledHedge(now time.Time) {
	h := s.pendingHedge
	if h == nil || !h.isSent() || s.countedAttempts+2 >= s.route.MaxAttempts {
		return
	}
	if s.isStalled(h.attempt.target, streamProgress{sentAt: h.attempt.sentAt}, now) {
		h.attempt.target.recordOutcome(true)
		s.dropHedge()
	}
}

// isSent reports whether the hedge has a slot at a target.
func (h *streamHedge) isSent() bool {
	select {
	case <-h.acquired:
		return h.attempt.target != nil
	default:
		return false
	}
}

// adoptHedge returns the hedge as the next attempt once it has a slot, or nil if there is
// no hedge or it gets none.
func (s *streamExchange) adoptHedge() *streamAttempt {
	h := s.pendingHedge
	if h == nil {
		return nil
	}
	<-h.acquired
	if h.attempt.target == nil {
		s.dropHedge()
		return nil
	}
	s.pendingHedge = nil
	s.triedTargets[h.attempt.target.ID] = true
	return h.attempt
}
