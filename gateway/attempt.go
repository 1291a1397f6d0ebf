package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/gateway/upstream"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// refusedTargetPause is how long a target that has refused a request gets
	// no new requests.
	refusedTargetPause = 100 * time.Millisecond
	// unreachableTargetPause is how long a target gets no new requests if it
	// cannot be reached, or if its address belongs to another target.
	unreachableTargetPause = 500 * time.Millisecond
)

// verdict classifies the result of one attempt.
type verdict uint8

const (
	// notSent means that the request did not reach the target.
	notSent verdict = iota
	// refused means that the target rejected the request and guarantees that it
	// did not run.
	refused
	// failed means that the request ran and the response reports a failure.
	failed
	// lost means that the request may have run and there is no usable response.
	lost
	// succeeded means that there is a response for the caller.
	succeeded
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	verdict   verdict
	target    *target
	resp      *upstream.Response
	body      []byte
	truncated bool // the response continues after body
	// targetUnwilling is set if the target rests or leaves: a refusal says nothing
	// about the others.
	targetUnwilling bool
	// beganAt is when the head of a response arrived that is no refusal, even if
	// the response broke off; zero if none has.
	beganAt time.Time
	err     error
}

// lostWith returns the result of an attempt whose response has broken off.
func (r attemptResult) lostWith(err error) attemptResult {
	return attemptResult{verdict: lost, target: r.target, beganAt: r.beganAt, err: err}
}

// send makes one attempt. It does not read the body of the response.
func (x *exchange) send(ctx context.Context, t *target, lastEventID string) attemptResult {
	req := &upstream.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: x.forwardHeader(t, lastEventID),
		Body: x.body, HasBody: x.hasBody,
		Attribute: x.attribute, IsWanted: x.callerWaits,
	}
	sentAt := time.Now()
	resp, err := t.pool.Do(ctx, req)
	if err != nil {
		var u *upstream.Error
		if errors.Is(err, upstream.ErrNotWanted) {
			return attemptResult{verdict: notSent, target: t, err: err}
		}
		if errors.As(err, &u) && !u.Sent {
			t.pauseUntil(time.Now().Add(unreachableTargetPause))
			return attemptResult{verdict: notSent, target: t, err: err}
		}
		if ctx.Err() == nil {
			t.recordOutcome(true)
		}
		return attemptResult{verdict: lost, target: t, err: err}
	}
	return x.classify(t, resp, sentAt)
}

// attribute tells whether a response belongs to the request. A refusal may lack the
// id; on a connection that was used before, it may also be an earlier one that the
// target has written once more while it runs the request.
func (x *exchange) attribute(status int, h http.Header, reused bool) upstream.Attribution {
	m := x.g.headers.Response(status, h)
	switch {
	case m.ID == "" && m.NotRun && reused:
		return upstream.Unknown
	case m.ID == x.meta.ID || m.ID == "" && m.NotRun:
		return upstream.Own
	default:
		return upstream.Foreign
	}
}

// classify determines the verdict of an attempt from the status and headers of
// the response.
func (x *exchange) classify(t *target, resp *upstream.Response, sentAt time.Time) attemptResult {
	m := x.g.headers.Response(resp.StatusCode, resp.Header)
	x.recordReport(t, resp.StatusCode, m, sentAt)
	res := attemptResult{target: t, resp: resp, targetUnwilling: m.Leaving || wantsRest(resp.StatusCode, m)}
	if !m.NotRun {
		res.beganAt = time.Now()
	}
	switch {
	case m.NotRun:
		pause := refusedTargetPause
		if resp.StatusCode == http.StatusMisdirectedRequest {
			pause = unreachableTargetPause
			x.recordMisdirected(t)
		} else if !res.targetUnwilling {
			x.g.queues.forBackend(x.backend).recordRefusal(t.ID, time.Now())
		}
		t.pauseUntil(time.Now().Add(pause))
		drainBody(resp)
		res.verdict, res.err = refused, errors.Errorf("target %s refused with status %d", t.ID, resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError:
		t.recordOutcome(true)
		res.verdict, res.err = failed, errors.Errorf("target %s failed with status %d", t.ID, resp.StatusCode)
	case resp.StatusCode < http.StatusMultipleChoices && !m.Sealed:
		t.recordOutcome(true)
		resp.Close()
		res.verdict, res.err = lost, errors.Errorf("target %s sent a response without a seal", t.ID)
	default:
		res.verdict = succeeded
		if x.route.Kind != routing.Stream {
			x.g.queues.forBackend(x.backend).recordResponse(sentAt, time.Now(), false)
		}
	}
	return res
}

// recordMisdirected records that another process has answered at the address of a
// target. Another target that claims the address may be the one that runs there, so it
// is used from now on.
func (x *exchange) recordMisdirected(t *target) {
	if t.misdirected.Swap(true) {
		return
	}
	x.g.log.Warn("another process at the address of a target", "target", t.ID, "addr", t.Addr, "request", x.meta.ID)
	c := x.g.control
	c.call(x.r.Context(), func() {
		c.needsPublish = true
		c.publish(time.Now())
	})
}

// maxDrainBytes and drainTimeout limit the reading of a refusal's body, which
// only serves to keep the connection. The request waits for it.
const (
	maxDrainBytes = 16 << 10
	drainTimeout  = 50 * time.Millisecond
)

func drainBody(resp *upstream.Response) {
	resp.LimitReading(drainTimeout)
	if _, err := io.CopyN(io.Discard, resp.Body, maxDrainBytes); errors.Is(err, io.EOF) {
		resp.Finish()
		return
	}
	resp.Close()
}

var verdictNames = [...]string{notSent: "not sent", refused: "refused", failed: "failed", lost: "lost", succeeded: "succeeded"}

// recordAttempt counts and logs an attempt. The counts determine whether the
// request may be sent again.
func (x *exchange) recordAttempt(res attemptResult) {
	x.lastTarget = res.target.ID
	if res.err != nil {
		x.lastErr = res.err
		x.g.log.Info("attempt failed", "request", x.meta.ID, "target", res.target.ID, "back_end", x.backend,
			"verdict", verdictNames[res.verdict], "sent", x.timesSent, "of", x.route.MaxAttempts, "repeatable", x.route.Retryable(),
			"target_load", res.target.ownRequests.Load()+res.target.peerRequests.Load(), "revision", x.snapshot.revision,
			"began", !res.beganAt.IsZero(), "events", x.eventCount, "prompt_parts", x.meta.PromptParts, "fingerprint", x.fingerprint, "error", res.err.Error())
	}
	switch res.verdict {
	case notSent:
	case refused:
		x.timesSent++
		if res.resp.StatusCode != http.StatusMisdirectedRequest {
			x.countedAttempts++
		}
	default:
		x.timesSent++
		x.countedAttempts++
		x.mayHaveRun = true
	}
}

const (
	// refusedBackoff is the pause before a retry if a target refused the
	// request although it had free capacity: the whole back end may be about to
	// become unavailable.
	refusedBackoff = 200 * time.Millisecond
	// lowLoadShare is the load, as a share of the slots, below which a target
	// certainly has free capacity.
	lowLoadShare = 0.5
)

// backOff waits if a target refused the request although it was not loaded.
func (x *exchange) backOff(ctx context.Context, res attemptResult) {
	load := float64(res.target.ownRequests.Load() + res.target.peerRequests.Load())
	if res.verdict == refused && !res.targetUnwilling && load < lowLoadShare*float64(res.target.Slots) {
		ctxtime.Sleep(ctx, refusedBackoff/2+rand.N(refusedBackoff))
	}
}

// shouldRetry reports whether the request may be sent once more after the
// result.
func (x *exchange) shouldRetry(res attemptResult) bool {
	switch res.verdict {
	case notSent:
		return true
	case refused:
		return x.countedAttempts < x.route.MaxAttempts
	case failed, lost:
		return x.route.Retryable() && x.countedAttempts < x.route.MaxAttempts && !x.mayCrashAgain()
	default:
		return false
	}
}
