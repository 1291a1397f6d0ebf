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
	// answerMargin is how much sooner than the caller's deadline the gateway
	// gives up, so that its answer still arrives.
	answerMargin = 20 * time.Millisecond
	// defaultBodyBytes bounds bodies while the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// writeWait bounds one write to a caller that does not read.
	writeWait = 2 * time.Second
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// exchange is one request of a caller and its answer.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	began   time.Time
	meta    RequestMeta
	state   *snapshot
	route   *routing.Route
	cust    *routing.Customer
	backend string
	body    []byte
	hasBody bool
	expires time.Time

	// arrived is the number of times that the request was sent to a target, and
	// counted how many of these count towards the route's attempts.
	arrived, counted int
	// mayHaveRun is set once a target may have begun to work.
	mayHaveRun bool
	// ended is set when a target has answered it with success.
	tried   map[string]bool
	lastErr error
	waited  time.Duration
	target  string
	events  int
	pace    pace
}

// ServeHTTP implements http.Handler for callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, began: time.Now(), meta: g.headers.Request(r.Header), tried: map[string]bool{}}
	g.working.Add(1)
	defer g.working.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	err := x.serve()
	if err != nil {
		x.fail(err)
	}
	x.report(err)
	if errors.Is(err, errBroken) {
		panic(http.ErrAbortHandler)
	}
}

// errBroken says that an answer was begun and can't be finished.
var errBroken = errors.New("the answer was cut")

func (x *exchange) serve() error {
	if err := x.accept(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.expires)
	defer cancel()
	x.g.firstAttempt(x.backend)
	if x.route.Kind == routing.Stream {
		return x.stream(ctx)
	}
	return x.call(ctx)
}

// accept finds the route and customer of a request.
func (x *exchange) accept() error {
	s, err := x.awaitReady()
	if err != nil {
		return err
	}
	x.state = s
	if x.route, err = s.table.Route(x.r.Host, x.r.RequestURI); err != nil {
		return err
	}
	if x.cust, err = s.table.Customer(x.route, x.meta.Key); err != nil {
		return err
	}
	x.backend = x.route.PickBackend(x.g.draw())
	limit := x.meta.Deadline
	if limit == 0 {
		limit = defaultDeadline
	}
	x.expires = x.began.Add(limit - answerMargin)
	if t := x.began.Add(x.route.Timeout); x.route.Timeout > 0 && t.Before(x.expires) {
		x.expires = t
	}
	return nil
}

// awaitReady returns the state by which the request is served. A process that has
// just started waits a little for its first configuration; if there is none,
// callers are told to come back late, since those that come back at once use up
// their repeats.
func (x *exchange) awaitReady() (*snapshot, error) {
	s, err := x.g.ready()
	if errkind.KindOf(err) != errkind.NotReady {
		return s, err
	}
	timer := time.NewTimer(time.Duration(downShare * float64(x.meta.Deadline)))
	defer timer.Stop()
	select {
	case <-x.g.configured:
		return x.g.ready()
	case <-x.r.Context().Done():
	case <-timer.C:
	}
	comeBack := max(comeBackSoonest, time.Duration(comeBackShare*float64(x.meta.Deadline)))
	return nil, errkind.From(err).WithRetryAfter(jitter(comeBack))
}

// readBody reads the whole body before anything is sent, so that a target never
// gets a part of a request.
func (x *exchange) readBody() error {
	limit := x.state.table.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
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

// allowed reports whether the request may go to a target.
func (x *exchange) allowed(t *target) bool {
	return !x.tried[t.ID] && routing.RegionAllowed(x.route, x.cust, x.g.o.Regions[t.DataCentre])
}

// place waits for a target, and checks that a further attempt is allowed.
func (x *exchange) place(ctx context.Context) (*target, error) {
	if x.counted >= x.route.MaxAttempts {
		return nil, x.giveUp()
	}
	if x.arrived > 0 && !x.g.takeRetry(x.backend) {
		x.g.metrics.retriesRefused.Inc(1)
		return nil, x.giveUp()
	}
	began := time.Now()
	t, err := x.g.queues.of(x.backend).acquire(ctx, need{
		backend: x.backend, priority: routing.Priority(x.route, x.cust), allowed: x.allowed, goalAt: x.began.Add(x.route.LatencyGoal),
		until: x.withinPatience(x.share(began, waitShare)), downUntil: x.share(began, downShare), comeBack: time.Duration(comeBackShare * float64(x.expires.Sub(began))),
	})
	x.waited += time.Since(began)
	if err == nil {
		x.tried[t.ID] = true
		return t, nil
	}
	if x.arrived > 0 {
		return nil, x.giveUp()
	}
	if errkind.KindOf(err) == errkind.Canceled && x.r.Context().Err() == nil {
		return nil, errkind.New(errkind.Overloaded, "no place at a target of back end %s in time", x.backend).WithRetryAfter(jitter(comeBackSoonest))
	}
	return nil, err
}

const (
	// waitShare is the part of the caller's time that may pass before a request
	// reaches a target, and downShare the part while the whole back end refuses
	// requests.
	waitShare = 0.4
	downShare = 0.15
	// comeBackShare is the part of the caller's time after which it is told to
	// come back to a back end that is down.
	comeBackShare = 0.28
)

// withinPatience returns the given time, or an earlier one at which the caller of a stream
// would leave before a target could send the first event.
func (x *exchange) withinPatience(until time.Time) time.Time {
	if x.route.CallerIdleTimeout == 0 {
		return until
	}
	heard := x.began
	if !x.pace.last.IsZero() {
		heard = x.pace.last
	}
	if leaves := heard.Add(x.route.CallerIdleTimeout - x.route.LatencyGoal); leaves.Before(until) {
		return leaves
	}
	return until
}

func (x *exchange) share(now time.Time, share float64) time.Time {
	return now.Add(time.Duration(share * float64(x.expires.Sub(now))))
}

// giveUp returns the final error of a request after its attempts.
func (x *exchange) giveUp() error {
	if !x.mayHaveRun {
		comeBack := comeBackSoonest
		if x.g.queues.of(x.backend).isDown(time.Now()) {
			comeBack = time.Duration(comeBackShare * float64(time.Until(x.expires)))
		}
		return errkind.New(errkind.NoTarget, "no target took the request: %v", x.lastErr).
			WithRetryAfter(jitter(comeBack)).WithDidRun(errkind.NotRun)
	}
	return errkind.New(errkind.TargetLost, "the targets failed: %v", x.lastErr)
}

// expired returns the final error of a request whose time is over.
func (x *exchange) expired() error {
	switch {
	case x.r.Context().Err() != nil:
		return errkind.Wrap(x.r.Context().Err(), errkind.Canceled, "the caller has gone")
	case x.mayHaveRun:
		return errkind.New(errkind.DeadlineExceeded, "no complete answer in time")
	default:
		return errkind.New(errkind.Overloaded, "not begun in time").WithRetryAfter(jitter(comeBackSoonest))
	}
}

// forwardHeader returns the header of the request to a target.
func (x *exchange) forwardHeader(t *target, lastEvent string) http.Header {
	h := x.r.Header.Clone()
	for _, name := range x.r.Header.Values("Connection") {
		h.Del(name)
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	h.Del("Content-Length")
	h.Del("Expect")
	f := ForwardMeta{Target: t.ID, RemainingTime: time.Until(x.expires), LastEventID: lastEvent}
	if x.cust != nil {
		f.Customer = x.cust.Name
	}
	x.g.headers.Forward(h, f)
	return h
}
