package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// maxBufferedBytes is the size in bytes up to which a response is read
	// completely before it is forwarded, so that the request can be retried if
	// the response is interrupted.
	maxBufferedBytes = 1 << 20
	// failureBodyTimeout limits the time for the body of a redirect or an error
	// response. It is shorter than hedgeDelay, so that the attempt counts as
	// failed before it may be cancelled.
	failureBodyTimeout = 500 * time.Millisecond
	// hedgeDelay is how long an idempotent call may remain without a response
	// before it is also sent to a second target.
	hedgeDelay = 700 * time.Millisecond
)

// errOvertaken is the cause with which an attempt is cancelled after the request
// has got its response from another one.
var errOvertaken = errors.New("another attempt was faster")

// serveCall serves a request with a single response. If the first target of an
// idempotent request does not respond for hedgeDelay, the request is also sent
// to a second target.
func (x *exchange) serveCall(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errOvertaken)
	results := make(chan attemptResult, 2*x.route.MaxAttempts+1)
	running := 0
	startAttempt := func() error {
		t, err := x.acquireTarget(ctx)
		if err != nil {
			return err
		}
		running++
		go x.attemptCall(ctx, t, results)
		return nil
	}
	if err := startAttempt(); err != nil {
		return err
	}
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	var lastFailed *attemptResult
	for running > 0 {
		select {
		case res := <-results:
			running--
			x.recordAttempt(res)
			if res.verdict == succeeded {
				return x.forwardResponse(res)
			}
			if res.verdict == failed {
				lastFailed = &res
			}
			if x.shouldRetry(res) && running == 0 {
				x.backOff(ctx, res)
				if err := startAttempt(); err != nil && lastFailed == nil {
					return err
				}
			}
		case <-hedge.C:
			if x.route.Kind == routing.Idempotent && running == 1 && x.countedAttempts+running < x.route.MaxAttempts && !x.admission.HasSuspect() && x.takeHedge() {
				_ = startAttempt() // if it fails, the first attempt continues alone
			}
		case <-ctx.Done():
			x.mayHaveRun = x.mayHaveRun || running > 0
			return x.deadlineError()
		}
	}
	if lastFailed != nil {
		return x.forwardFailure(*lastFailed)
	}
	return x.attemptsFailedError()
}

// takeHedge takes a retry out of the budget for a hedged attempt. acquireTarget
// does not count it, because no attempt has ended yet.
func (x *exchange) takeHedge() bool {
	if !x.g.takeRetry(x.backend) {
		return false
	}
	x.g.metrics.hedges.Inc(1)
	return true
}

// attemptCall makes one attempt, reads the response and sends the result. A target that
// has not sent the whole response keeps its slot until ctx ends, which it does with the
// request: otherwise the target gets more and more requests, and the gateway holds the
// first part of each response.
func (x *exchange) attemptCall(ctx context.Context, t *target, results chan<- attemptResult) {
	startedAt := time.Now()
	res := x.send(ctx, t, "")
	if res.verdict == succeeded || res.verdict == failed {
		res = readResponseBody(ctx, res)
	}
	x.reportAttempt(ctx, res)
	q := x.g.queues.forBackend(x.backend)
	slotTime := time.Since(startedAt)
	if res.verdict != succeeded {
		slotTime = 0
	} else {
		t.recordOutcome(false)
	}
	if res.truncated {
		results <- res
		<-ctx.Done()
		q.releaseSlot(t, slotTime)
		return
	}
	q.releaseSlot(t, slotTime)
	results <- res
}

// readResponseBody reads the body of a response, up to maxBufferedBytes. A
// redirect or error response whose body is longer or does not end in time counts
// as lost.
func readResponseBody(ctx context.Context, res attemptResult) attemptResult {
	isShort := res.resp.StatusCode >= http.StatusMultipleChoices
	if isShort {
		res.resp.LimitReading(failureBodyTimeout)
	}
	body, err := io.ReadAll(io.LimitReader(res.resp.Body, maxBufferedBytes+1))
	if err == nil && len(body) > maxBufferedBytes && isShort {
		err = errors.Errorf("body of a response with status %d exceeds %d bytes", res.resp.StatusCode, maxBufferedBytes)
	}
	if err == nil && len(body) <= maxBufferedBytes && res.endedByCrash(ctx) {
		err = io.ErrUnexpectedEOF
	}
	switch {
	case err != nil:
		res.resp.Close()
		if !errors.Is(context.Cause(ctx), context.Canceled) { // the caller is still there
			res.target.recordOutcome(true)
		}
		return res.lostWith(errors.Wrapf(err, "response of target %s was interrupted", res.target.ID))
	case len(body) > maxBufferedBytes:
		res.truncated = true
	default:
		res.resp.Finish()
	}
	res.body = body
	return res
}
