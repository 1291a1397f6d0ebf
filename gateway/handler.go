package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/gateway/crashguard"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/routing/quarantine"
)

const (
	// defaultDeadline applies to callers that send no deadline.
	defaultDeadline = 10 * time.Second
	// responseMargin is how long before the caller's deadline the gateway
	// cancels a request, so that its error response still arrives in time.
	responseMargin = 20 * time.Millisecond
	// defaultMaxBodyBytes is the limit of request bodies while the
	// configuration sets none.
	defaultMaxBodyBytes = 4 << 20
	// writeTimeout limits one write to a caller that does not read.
	writeTimeout = 2 * time.Second
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// exchange is one request of a caller and its response.
type exchange struct {
	g    *Gateway
	w    http.ResponseWriter
	r    *http.Request
	conn *callerConn // nil if the request did not arrive through a callerServer
	// startedAt is when the request arrived, as far as the kernel tells.
	startedAt time.Time
	// waitedUnread is how long the request had waited in the kernel, at least.
	waitedUnread time.Duration
	meta         RequestMeta
	snapshot     *snapshot
	route        *routing.Route
	customer     *routing.Customer
	backend      string
	body         []byte
	hasBody      bool
	deadline     time.Time

	// timesSent is how often the request was sent to a target, and
	// countedAttempts how many of these count towards the maximum attempts of
	// the route. A response with status 421 does not count, because another
	// process answered at the address of the target.
	timesSent, countedAttempts int
	// mayHaveRun is set once a target may have begun to work on the request.
	mayHaveRun bool
	// triedTargets holds the ids of the targets that the request was assigned
	// to.
	triedTargets map[string]bool
	lastErr      error
	// admission is how the guard knows the request; nil until its body was read.
	admission *crashguard.Admission
	// fingerprint is the same for each repeat of the request.
	fingerprint string
	// crashedTarget is set if a target crashed when it had just begun to work on
	// the request. Attempts at a call that is hedged set it at the same time.
	crashedTarget atomic.Bool
	// quarantinedSubject is the part, or the request, for which the request was
	// refused, and quarantinedBy the decision that ended it while it was in progress.
	quarantinedSubject string
	quarantinedBy      atomic.Pointer[quarantine.Entry]
	firstSentAt        time.Time // when a slot for the first attempt was granted
	// stopDecision is the last decision on the request in a planned stop, or nil.
	stopDecision *stopDecision
	// otherAddresses are instances that the caller may use, if the request was
	// rejected for the stop.
	otherAddresses []string
	queueTime      time.Duration
	lastTarget     string
	eventCount     int
	timing         streamTiming
	// endForCaller ends the context of the request, as the server does when it finds
	// that the caller has left.
	endForCaller context.CancelFunc
}

// ServeHTTP implements http.Handler. It serves the requests of callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x := &exchange{
		g: g, w: w, r: r.WithContext(ctx), endForCaller: cancel, conn: callerConnOf(ctx), startedAt: time.Now(), meta: g.headers.Request(r.Header), triedTargets: map[string]bool{},
	}
	if x.conn != nil {
		x.waitedUnread = x.conn.waitedUnread()
		x.startedAt = x.startedAt.Add(-x.waitedUnread)
		defer x.conn.beginRequest(x)()
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x.closeConnectionIfLeaving()
	err := x.serve()
	if err != nil {
		x.writeError(err)
	}
	x.g.inProgress.end(x)
	x.recordWorkTime(err)
	x.report(err)
	if errors.Is(err, errInterrupted) || x.isForNobody(err) {
		// Otherwise net/http would complete the response: one that was begun, or an
		// empty success, which a caller that has closed only its writing side reads.
		panic(http.ErrAbortHandler)
	}
}

// errInterrupted reports that a response was begun and cannot be completed.
var errInterrupted = errors.New("the answer was cut")

func (x *exchange) serve() error {
	if err := x.accept(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.g.stops.cut, cancel)()
	defer x.enterGuard(cancel)()
	if err := x.admitSubjects(time.Now()); err != nil {
		return err
	}
	x.g.countFirstAttempt(x.backend)
	if x.route.Kind == routing.Stream {
		return x.serveStream(ctx)
	}
	return x.serveCall(ctx)
}

// accept determines the route, the customer, the back end and the deadline of a
// request.
func (x *exchange) accept() error {
	s, err := x.awaitSnapshot()
	if err != nil {
		return err
	}
	x.snapshot = s
	if x.route, err = s.table.Route(x.r.Host, x.r.RequestURI); err != nil {
		return err
	}
	if x.customer, err = s.table.Customer(x.route, x.meta.Key); err != nil {
		return err
	}
	x.backend = x.route.PickBackend(x.g.randomFraction())
	maxTime := x.meta.Deadline
	if maxTime == 0 {
		maxTime = defaultDeadline
	}
	x.deadline = x.startedAt.Add(maxTime - responseMargin)
	if t := x.startedAt.Add(x.route.Timeout); x.route.Timeout > 0 && t.Before(x.deadline) {
		x.deadline = t
	}
	return x.checkStop(time.Now())
}

// awaitSnapshot returns the snapshot by which the request is served. A process
// that has just started waits a short time for its first configuration. If none
// arrives, the Retry-After is long: callers that retried at once would use up
// their retries before the configuration arrives.
func (x *exchange) awaitSnapshot() (*snapshot, error) {
	s, err := x.g.servingSnapshot()
	if errkind.KindOf(err) != errkind.NotReady {
		return s, err
	}
	if x.g.isLeaving() {
		return nil, x.leavingError()
	}
	timer := time.NewTimer(time.Duration(outageQueueTimeShare * float64(x.meta.Deadline)))
	defer timer.Stop()
	select {
	case <-x.g.configured:
		return x.g.servingSnapshot()
	case <-x.g.stops.began.Done():
		return nil, x.leavingError()
	case <-x.r.Context().Done():
	case <-timer.C:
	}
	retryAfter := max(minRetryAfter, time.Duration(outageRetryAfterShare*float64(x.meta.Deadline)))
	return nil, errkind.From(err).WithRetryAfter(jitter(retryAfter))
}

// readBody reads the whole body before anything is sent, so that a target never
// receives part of a request.
func (x *exchange) readBody() error {
	limit := x.snapshot.table.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	x.hasBody = x.r.ContentLength != 0 || x.r.Header.Get("Content-Length") != ""
	if !x.hasBody {
		return nil
	}
	finish := x.limitUpload()
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	finish(err)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return x.uploadTimeoutError(time.Now())
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.TooLarge, "the body exceeds %d bytes", limit)
	case err != nil:
		return errkind.Wrap(err, errkind.Canceled, "read the body")
	}
	x.body = body
	return x.checkStop(time.Now())
}

// mayUseTarget reports whether the request may be sent to a target.
func (x *exchange) mayUseTarget(t *target) bool {
	return !x.triedTargets[t.ID] && routing.RegionAllowed(x.route, x.customer, x.g.opts.Regions[t.DataCentre])
}

// acquireTarget waits for a free slot at a target. It fails if the request has
// no attempt left, the retry budget is used up, or no slot is free in time.
func (x *exchange) acquireTarget(ctx context.Context) (*target, error) {
	if ctx.Err() != nil {
		return nil, x.deadlineError()
	}
	if x.countedAttempts >= x.route.MaxAttempts {
		return nil, x.attemptsFailedError()
	}
	if err := x.checkStop(time.Now()); err != nil {
		return nil, err
	}
	if err := x.admitSubjects(time.Now()); err != nil {
		return nil, err
	}
	if x.timesSent > 0 && !x.g.takeRetry(x.backend) {
		x.g.metrics.retriesRefused.Inc(1)
		return nil, x.attemptsFailedError()
	}
	queuedAt := time.Now()
	q := x.g.queues.forBackend(x.backend)
	t, err := x.acquireSlot(ctx, q, x.slotRequest(queuedAt), queuedAt)
	now := time.Now()
	x.queueTime += now.Sub(queuedAt)
	if err != nil {
		return nil, x.noSlotError(err)
	}
	err = x.checkStop(now)
	if err == nil {
		err = x.admitSubjects(now)
	}
	if err != nil {
		q.releaseSlot(t, 0)
		return nil, err
	}
	x.triedTargets[t.ID] = true
	x.admission.RecordSent(now)
	if x.firstSentAt.IsZero() {
		x.firstSentAt = now
		x.g.inProgress.begin(x, now)
	}
	return t, nil
}

// acquireSlot waits for a place at a rank group, if the back end has any, and for a free
// slot at a target there.
func (x *exchange) acquireSlot(ctx context.Context, q *queue, req slotRequest, now time.Time) (*target, error) {
	p, err := x.acquirePlace(ctx, &req, now)
	if err != nil {
		return nil, err
	}
	if p.group != nil && x.mayUseGroup(p.group) {
		req.place = p
		req.isAllowed = func(t *target) bool { return x.mayUseTarget(t) && p.allows(t, x.g.snapshot.Load()) }
	}
	return q.acquire(ctx, req)
}

// slotRequest returns what the request needs from a target and how long it may wait.
func (x *exchange) slotRequest(now time.Time) slotRequest {
	return slotRequest{
		prompt: x.promptParts(), backend: x.backend, priority: routing.Priority(x.route, x.customer), isAllowed: x.mayUseTarget,
		latencyGoalAt: x.startedAt.Add(x.route.LatencyGoal), stopLimit: x.latestSend,
		waitUntil:        x.limitToCallerIdleTimeout(x.afterShare(now, queueTimeShare)),
		outageWaitUntil:  x.afterShare(now, outageQueueTimeShare),
		outageRetryAfter: time.Duration(outageRetryAfterShare * float64(x.deadline.Sub(now))),
	}
}

// noSlotError returns the error of the request after it got no slot.
func (x *exchange) noSlotError(err error) error {
	if stopErr := x.checkStop(time.Now()); stopErr != nil {
		return stopErr
	}
	if e := x.quarantinedBy.Load(); e != nil {
		return x.quarantinedError(e, time.Now())
	}
	switch kind := errkind.KindOf(err); {
	case kind == errkind.Leaving && !x.mayHaveRun:
		return x.leavingError()
	case x.timesSent > 0:
		return x.attemptsFailedError()
	case kind == errkind.Canceled && x.r.Context().Err() == nil:
		return errkind.New(errkind.Overloaded, "no free slot at a target of back end %s in time", x.backend).WithRetryAfter(jitter(minRetryAfter))
	}
	return err
}

const (
	// queueTimeShare is the part of the caller's remaining time for which a
	// request may be queued, and outageQueueTimeShare the part while the whole
	// back end refuses requests or there is no configuration yet.
	queueTimeShare       = 0.4
	outageQueueTimeShare = 0.15
	// outageRetryAfterShare is the Retry-After in these two cases, as a part of
	// the caller's time.
	outageRetryAfterShare = 0.28
)

// limitToCallerIdleTimeout returns the given end of the queue time, or an
// earlier one: a request that was sent to a target later could not receive its
// first event before the caller drops the idle stream.
func (x *exchange) limitToCallerIdleTimeout(until time.Time) time.Time {
	if x.route.CallerIdleTimeout == 0 {
		return until
	}
	lastEventAt := x.startedAt
	if !x.timing.lastEventAt.IsZero() {
		lastEventAt = x.timing.lastEventAt
	}
	if latestStart := lastEventAt.Add(x.route.CallerIdleTimeout - x.route.LatencyGoal); latestStart.Before(until) {
		return latestStart
	}
	return until
}

// afterShare returns the time at which a share of the caller's remaining time
// has passed.
func (x *exchange) afterShare(now time.Time, share float64) time.Time {
	return now.Add(time.Duration(share * float64(x.deadline.Sub(now))))
}

// attemptsFailedError returns the final error of a request after its attempts
// have failed.
func (x *exchange) attemptsFailedError() error {
	if !x.mayHaveRun {
		return errkind.New(errkind.NoTarget, "no target accepted the request: %v", x.lastErr).
			WithRetryAfter(x.refusedRetryAfter(time.Now())).WithDidRun(errkind.NotRun)
	}
	return errkind.New(errkind.TargetLost, "all attempts failed: %v", x.lastErr)
}

// refusedRetryAfter returns the Retry-After of a request that all targets refused.
func (x *exchange) refusedRetryAfter(now time.Time) time.Duration {
	q := x.g.queues.forBackend(x.backend)
	if until := q.allRestUntil(func(*target) bool { return true }, now); !until.IsZero() {
		return until.Sub(now)
	}
	if remaining, ok := q.outageRemaining(now); ok {
		return remaining
	}
	if q.isDown(now) {
		return jitter(time.Duration(outageRetryAfterShare * float64(x.deadline.Sub(now))))
	}
	return jitter(minRetryAfter)
}

// deadlineError returns the final error of a request whose deadline has passed
// or whose caller has disconnected.
func (x *exchange) deadlineError() error {
	switch {
	case x.callerLeft():
		return errkind.New(errkind.Canceled, "the caller disconnected")
	case x.quarantinedBy.Load() != nil:
		return x.quarantinedError(x.quarantinedBy.Load(), time.Now())
	case x.g.stops.cut.Err() != nil:
		return x.cutError()
	case x.mayHaveRun:
		return errkind.New(errkind.DeadlineExceeded, "no complete response before the deadline")
	default:
		return errkind.New(errkind.Overloaded, "not sent to a target before the deadline").WithRetryAfter(jitter(minRetryAfter))
	}
}

// forwardHeader returns the headers of the request to a target.
func (x *exchange) forwardHeader(t *target, lastEventID string) http.Header {
	h := x.r.Header.Clone()
	for _, name := range x.r.Header.Values("Connection") {
		h.Del(name)
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.Del("Content-Length")
	h.Del("Expect")
	f := ForwardMeta{Target: t.ID, RemainingTime: time.Until(x.deadline), LastEventID: lastEventID}
	if x.customer != nil {
		f.Customer = x.customer.Name
	}
	x.g.headers.Forward(h, f)
	return h
}
