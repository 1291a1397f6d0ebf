package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/gateway/sse"
)

// chunkSize is the size in bytes of the buffer for one read from a stream.
const chunkSize = 4 << 10

var errCallerNotReading = errors.New("the caller does not read")

// relay forwards complete events until the response ends.
func (x *exchange) relay(ctx context.Context, res attemptResult, sentAt time.Time, events *sse.Splitter, headerSent *bool) attemptResult {
	defer res.resp.Close()
	chunks := make(chan []byte)
	readErr := make(chan error, 1)
	go readChunks(ctx, res.resp.Body, chunks, readErr)
	progress := streamProgress{sentAt: sentAt}
	harmless := false
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case chunk := <-chunks:
			if err := x.relayChunk(res, chunk, &progress, events, headerSent); err != nil {
				return res.lostWith(err)
			}
			if !harmless && progress.lastEventAt.Sub(res.beganAt) >= beginningTime {
				harmless = true
				x.recordHarmless(ctx, progress.lastEventAt)
			}
		case err := <-readErr:
			return x.finishStream(ctx, res, err, progress, events, headerSent)
		case now := <-ticker.C:
			if err := x.checkProgress(res.target, progress, now); err != nil {
				res.target.recordOutcome(true)
				return res.lostWith(err)
			}
		case <-ctx.Done():
			return res.lostWith(errors.WithStack(ctx.Err()))
		}
	}
}

// relayChunk adds bytes to the stream and forwards the events that they complete.
func (x *exchange) relayChunk(res attemptResult, chunk []byte, progress *streamProgress, events *sse.Splitter, headerSent *bool) error {
	now := time.Now()
	eventsBefore := events.Events()
	out, streamErr := events.Push(chunk)
	if events.Events() > eventsBefore {
		progress.lastEventAt = now
		x.timing.recordEvent(now)
		newlyVerified := res.target.recordResponse(now, progress.sentAt)
		x.g.queues.forBackend(x.backend).recordResponse(progress.sentAt, now, newlyVerified)
	}
	switch {
	case !events.Incomplete():
		progress.incompleteSince = time.Time{}
	case out != nil || progress.incompleteSince.IsZero():
		progress.incompleteSince = now
	}
	if out != nil {
		if err := x.writeEvents(res, out, headerSent); err != nil {
			return err
		}
	}
	if streamErr != nil {
		res.target.recordOutcome(true)
		return errors.Wrapf(streamErr, "stream of target %s after event %q", res.target.ID, events.LastID())
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
func (x *exchange) beginStream(res attemptResult, headerSent *bool) {
	if *headerSent {
		return
	}
	*headerSent = true
	x.copyHeader(res.resp)
	x.w.WriteHeader(res.resp.StatusCode)
}

// writeEvents writes complete events to the caller. The headers of the first
// response precede them.
func (x *exchange) writeEvents(res attemptResult, out []byte, headerSent *bool) error {
	x.beginStream(res, headerSent)
	if err := x.write(out); err != nil {
		return errCallerNotReading
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errCallerNotReading
	}
	return nil
}

// finishStream determines whether a stream ended completely. One that only the end
// of its connection ends did not if it has no event or its target has crashed.
func (x *exchange) finishStream(ctx context.Context, res attemptResult, err error, progress streamProgress, events *sse.Splitter, headerSent *bool) attemptResult {
	isEmpty := progress.lastEventAt.IsZero() && endsWithConnection(res.resp.Response)
	if !errors.Is(err, io.EOF) || events.Incomplete() || isEmpty || res.endedByCrash(ctx) {
		res.target.recordOutcome(true)
		return res.lostWith(errors.Wrapf(err, "stream of target %s was interrupted after event %q", res.target.ID, events.LastID()))
	}
	x.beginStream(res, headerSent)
	res.resp.Finish()
	return res
}
