package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// defaultDeadline is used for callers that do not say how long they wait.
	defaultDeadline = 10 * time.Second
	// responseMargin is how much sooner than the caller's deadline the gateway
	// gives up, so that its answer still arrives.
	responseMargin = 20 * time.Millisecond
	// defaultMaxBodyBytes bounds bodies while the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 2 * time.Second
)

// hopByHopHeaders concern one connection only and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// exchange is one request of a caller and its answer.
type exchange struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	startedAt time.Time
	meta      RequestMeta
	snapshot  *snapshot
	route     *routing.Route
	customer  *routing.Customer
	backend   string
	body      []byte
	hasBody   bool
	deadline  time.Time

	// timesSent is the number of times that the request was sent to a target, and
	// countedAttempts how many of these count towards the route's attempts.
	timesSent, countedAttempts int
	// mayHaveRun is set once a target may have begun to work.
	mayHaveRun bool
	// ended is set when a target has answered it with success.
	triedTargets map[string]bool
	lastErr      error
	queueTime    time.Duration
	lastTarget   string
	eventCount   int
	timing       streamTiming
}

// ServeHTTP implements http.Handler for callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, startedAt: time.Now(), meta: g.headers.Request(r.Header), triedTargets: map[string]bool{}}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	err := x.serve()
	if err != nil {
		x.writeError(err)
	}
	x.report(err)
	if errors.Is(err, errInterrupted) {
		panic(http.ErrAbortHandler)
	}
}

// errInterrupted says that an answer was begun and can't be finished.
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
	x.g.countFirstAttempt(x.backend)
	if x.route.Kind == routing.Stream {
		return x.serveStream(ctx)
	}
	return x.serveCall(ctx)
}

// accept finds the route and customer of a request.
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
	limit := x.meta.Deadline
	if limit == 0 {
		limit = defaultDeadline
	}
	x.deadline = x.startedAt.Add(limit - responseMargin)
	if t := x.startedAt.Add(x.route.Timeout); x.route.Timeout > 0 && t.Before(x.deadline) {
		x.deadline = t
	}
	return nil
}

// awaitSnapshot returns the state by which the request is served. A process that has
// just started waits a little for its first configuration; if there is none,
// callers are told to come back late, since those that come back at once use up
// their repeats.
func (x *exchange) awaitSnapshot() (*snapshot, error) {
	s, err := x.g.servingSnapshot()
	if errkind.KindOf(err) != errkind.NotReady {
		return s, err
	}
	timer := time.NewTimer(time.Duration(outageQueueTimeShare * float64(x.meta.Deadline)))
	defer timer.Stop()
	select {
	case <-x.g.configured:
		return x.g.servingSnapshot()
	case <-x.r.Context().Done():
	case <-timer.C:
	}
	comeBack := max(minRetryAfter, time.Duration(outageRetryAfterShare*float64(x.meta.Deadline)))
	return nil, errkind.From(err).WithRetryAfter(jitter(comeBack))
}

// readBody reads the whole body before anything is sent, so that a target never
// gets a part of a request.
func (x *exchange) readBody() error {
	limit := x.snapshot.table.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	x.hasBody = x.r.ContentLength != 0 || x.r.Header.Get("Content-Length") != ""
	if !x.hasBody {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.TooLarge, "the body exceeds %d bytes", limit)
	case err != nil:
		return errkind.Wrap(err, errkind.Canceled, "read the body")
	}
	x.body = body
	return nil
}

// mayUseTarget reports whether the request may go to a target.
func (x *exchange) mayUseTarget(t *target) bool {
	return !x.triedTargets[t.ID] && routing.RegionAllowed(x.route, x.customer, x.g.opts.Regions[t.DataCentre])
}

// acquireTarget waits for a target, and checks that a further attempt is allowed.
func (x *exchange) acquireTarget(ctx context.Context) (*target, error) {
	if x.countedAttempts >= x.route.MaxAttempts {
		return nil, x.attemptsFailedError()
	}
	if x.timesSent > 0 && !x.g.takeRetry(x.backend) {
		x.g.metrics.retriesRefused.Inc(1)
		return nil, x.attemptsFailedError()
	}
	began := time.Now()
	t, err := x.g.queues.forBackend(x.backend).acquire(ctx, slotRequest{
		backend: x.backend, priority: routing.Priority(x.route, x.customer), isAllowed: x.mayUseTarget, latencyGoalAt: x.startedAt.Add(x.route.LatencyGoal),
		waitUntil: x.limitToCallerIdleTimeout(x.afterShare(began, queueTimeShare)), outageWaitUntil: x.afterShare(began, outageQueueTimeShare), outageRetryAfter: time.Duration(outageRetryAfterShare * float64(x.deadline.Sub(began))),
	})
	x.queueTime += time.Since(began)
	if err == nil {
		x.triedTargets[t.ID] = true
		return t, nil
	}
	if x.timesSent > 0 {
		return nil, x.attemptsFailedError()
	}
	if errkind.KindOf(err) == errkind.Canceled && x.r.Context().Err() == nil {
		return nil, errkind.New(errkind.Overloaded, "no place at a target of back end %s in time", x.backend).WithRetryAfter(jitter(minRetryAfter))
	}
	return nil, err
}

const (
	// queueTimeShare is the part of the caller's time that may pass before a request
	// reaches a target, and downShare the part while the whole back end refuses
	// requests.
	queueTimeShare       = 0.4
	outageQueueTimeShare = 0.15
	// outageRetryAfterShare is the part of the caller's time after which it is told to
	// come back to a back end that is down.
	outageRetryAfterShare = 0.28
)

// limitToCallerIdleTimeout returns the given time, or an earlier one at which the caller of a stream
// would leave before a target could send the first event.
func (x *exchange) limitToCallerIdleTimeout(until time.Time) time.Time {
	if x.route.CallerIdleTimeout == 0 {
		return until
	}
	heard := x.startedAt
	if !x.timing.lastChunkAt.IsZero() {
		heard = x.timing.lastChunkAt
	}
	if leaves := heard.Add(x.route.CallerIdleTimeout - x.route.LatencyGoal); leaves.Before(until) {
		return leaves
	}
	return until
}

func (x *exchange) afterShare(now time.Time, share float64) time.Time {
	return now.Add(time.Duration(share * float64(x.deadline.Sub(now))))
}

// attemptsFailedError returns the final error of a request after its attempts.
func (x *exchange) attemptsFailedError() error {
	if !x.mayHaveRun {
		comeBack := minRetryAfter
		if x.g.queues.forBackend(x.backend).isDown(time.Now()) {
			comeBack = time.Duration(outageRetryAfterShare * float64(time.Until(x.deadline)))
		}
		return errkind.New(errkind.NoTarget, "no target took the request: %v", x.lastErr).
			WithRetryAfter(jitter(comeBack)).WithDidRun(errkind.NotRun)
	}
	return errkind.New(errkind.TargetLost, "the targets failed: %v", x.lastErr)
}

// deadlineError returns the final error of a request whose time is over.
func (x *exchange) deadlineError() error {
	switch {
	case x.r.Context().Err() != nil:
		return errkind.Wrap(x.r.Context().Err(), errkind.Canceled, "the caller has gone")
	case x.mayHaveRun:
		return errkind.New(errkind.DeadlineExceeded, "no complete answer in time")
	default:
		return errkind.New(errkind.Overloaded, "not begun in time").WithRetryAfter(jitter(minRetryAfter))
	}
}

// forwardHeader returns the header of the request to a target.
func (x *exchange) forwardHeader(t *target, lastEvent string) http.Header {
	h := x.r.Header.Clone()
	for _, name := range x.r.Header.Values("Connection") {
		h.Del(name)
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.Del("Content-Length")
	h.Del("Expect")
	f := ForwardMeta{Target: t.ID, RemainingTime: time.Until(x.deadline), LastEventID: lastEvent}
	if x.customer != nil {
		f.Customer = x.customer.Name
	}
	x.g.headers.Forward(h, f)
	return h
}
