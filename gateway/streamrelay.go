package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// chunkSize is the size in bytes of the buffer for one read from a stream.
const chunkSize = 4 << 10

var errCallerNotReading = errors.New("the caller does not read")

// relay forwards complete events until the response ends, or another target goes on with
// the stream.
func (s *streamExchange) relay(a *streamAttempt, res attemptResult) attemptResult {
	defer res.resp.Close()
	chunks := make(chan []byte)
	readErr := make(chan error, 1)
	go readChunks(a.ctx, res.resp.Body, chunks, readErr)
	progress := streamProgress{sentAt: a.sentAt}
	harmless := false
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case chunk := <-chunks:
			if err := s.relayChunk(res, chunk, &progress); err != nil {
				return res.lostWith(err)
			}
			if !harmless && progress.lastEventAt.Sub(res.beganAt) >= beginningTime {
				harmless = true
				s.recordHarmless(a.ctx, progress.lastEventAt)
			}
		case err := <-readErr:
			return s.finishStream(a.ctx, res, err, progress)
		case now := <-ticker.C:
			if err := s.checkEvent(res.target, progress, now); err != nil {
				res.target.recordOutcome(true)
				return res.lostWith(err)
			}
			s.checkStall(a, progress, now)
		case hedged := <-s.hedgeResponse():
			if s.hedgeWins(hedged) {
				res.target.recordOutcome(true)
				return res.lostWith(errors.Errorf("target %s sent no event for %d ms in a stream", a.target.ID, time.Since(progress.idleSince()).Milliseconds()))
			}
		case <-a.ctx.Done():
			return res.lostWith(errors.WithStack(a.ctx.Err()))
		}
	}
}

// relayChunk adds bytes to the stream and forwards the events that they complete.
func (s *streamExchange) relayChunk(res attemptResult, chunk []byte, progress *streamProgress) error {
	now := time.Now()
	eventsBefore := s.events.Events()
	out, streamErr := s.events.Push(chunk)
	progressed := s.events.Events() > eventsBefore
	if progressed {
		progress.lastEventAt = now
		s.timing.recordEvent(now)
		newlyVerified := res.target.recordResponse(now, progress.sentAt)
		s.g.queues.forBackend(s.backend).recordResponse(progress.sentAt, now, newlyVerified)
	}
	switch {
	case !s.events.Incomplete():
		progress.incompleteSince = time.Time{}
	case out != nil || progress.incompleteSince.IsZero():
		progress.incompleteSince = now
	}
	if out != nil {
		if err := s.writeEvents(res, out); err != nil {
			return err
		}
	}
	if progressed {
		s.dropHedge() // it was to begin after an earlier event
	}
	if streamErr != nil {
		res.target.recordOutcome(true)
		return errors.Wrapf(streamErr, "stream of target %s after event %q", res.target.ID, s.events.LastID())
	}
	return nil
}

func readChunks(ctx context.Context, body io.Reader, chunks chan<- []byte, readErr chan<- error) {
	for {
		buf := make([]byte, chunkSize)
		n, err := body.Read(buf)
		if n > 0 {
			select {
			case chunks <- buf[:n]:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			readErr <- err
			return
		}
	}
}

// beginStream writes the headers of the first response.
func (s *streamExchange) beginStream(res attemptResult) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.copyHeader(res.resp)
	s.w.WriteHeader(res.resp.StatusCode)
}

// writeEvents writes complete events to the caller. The headers of the first
// response precede them.
func (s *streamExchange) writeEvents(res attemptResult, out []byte) error {
	s.beginStream(res)
	if err := s.write(out); err != nil {
		return errCallerNotReading
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errCallerNotReading
	}
	return nil
}

// finishStream determines whether a stream ended completely. One that only the end
// of its connection ends did not if it has no event or its target has crashed.
func (s *streamExchange) finishStream(ctx context.Context, res attemptResult, err error, progress streamProgress) attemptResult {
	isEmpty := progress.lastEventAt.IsZero() && endsWithConnection(res.resp.Response)
	if !errors.Is(err, io.EOF) || s.events.Incomplete() || isEmpty || res.endedByCrash(ctx) {
		res.target.recordOutcome(true)
		return res.lostWith(errors.Wrapf(err, "stream of target %s was interrupted after event %q", res.target.ID, s.events.LastID()))
	}
	s.beginStream(res)
	res.resp.Finish()
	return res
}
