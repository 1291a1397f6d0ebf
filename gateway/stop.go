package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// serveDuringStop is how long a stopping instance serves at least; callers
	// keep addresses for that long. After it, the stop ends as soon as no request
	// is in progress.
	serveDuringStop = 4500 * time.Millisecond
	// idleStopAfter ends a planned stop early if no request has been in
	// progress for that long.
	idleStopAfter = 2500 * time.Millisecond
	// stopMargin is what remains of the stop timeout when requests in progress
	// are cut: for their final responses, lastResponseTime at most, and for the
	// exit of the process.
	stopMargin       = 400 * time.Millisecond
	lastResponseTime = 150 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
	// stopReportInterval is the pause between log lines about a stop in progress.
	stopReportInterval = time.Second
)

// stopState tells the goroutines that serve requests about a planned stop.
type stopState struct {
	// window is nil until a planned stop begins.
	window atomic.Pointer[stopWindow]
	// began ends when a planned stop begins, and cut when the requests that are
	// still in progress at its end must be answered at once.
	began, cut            context.Context
	announce, cutRequests context.CancelFunc
}

func newStopState() *stopState {
	s := &stopState{}
	s.began, s.announce = context.WithCancel(context.Background())
	s.cut, s.cutRequests = context.WithCancel(context.Background())
	return s
}

// isLeaving reports whether a planned stop has begun.
func (g *Gateway) isLeaving() bool { return g.stops.window.Load() != nil }

// stop ends the instance without interrupting requests. Readiness and the list
// of addresses direct callers to other instances. Requests that still arrive are
// served if they fit into the remaining time, and otherwise rejected at once.
// Connections are closed while they carry no request.
func (g *Gateway) stop(reason error, callers net.Listener) {
	now := time.Now()
	timeout := g.limits.Load().StopTimeout
	w := &stopWindow{beganAt: now, endsAt: now.Add(timeout - stopMargin)}
	g.stops.window.Store(w)
	g.stops.announce()
	g.log.Info("stopping", "reason", reason.Error(), "working", g.inFlight.Load(), "timeout_ms", timeout.Milliseconds())
	g.serveUntilIdle(w)
	if err := callers.Close(); err != nil {
		g.log.Warn("listener not closed", "error", err.Error())
	}
	g.closeIdleUntil(w.endsAt)
	cut := g.inFlight.Load()
	g.stops.cutRequests()
	g.closeIdleUntil(w.endsAt.Add(lastResponseTime))
	g.log.Info("stopped", "after_ms", time.Since(w.beganAt).Milliseconds(), "cut", cut, "working", g.inFlight.Load())
}

// serveUntilIdle returns when callers have had the time to use other instances
// and no request is in progress, or at the end of the window.
func (g *Gateway) serveUntilIdle(w *stopWindow) {
	lastActive, lastReport := w.beganAt, w.beganAt
	for now := w.beganAt; now.Before(w.endsAt); now = time.Now() {
		if now.Sub(lastReport) >= stopReportInterval {
			lastReport = now
			g.log.Info("stop in progress", "after_ms", now.Sub(w.beganAt).Milliseconds(), "working", g.inFlight.Load())
		}
		working := g.inFlight.Load() > 0 || g.callers.conns.busyCount(now) > 0
		if working {
			lastActive = now
		}
		if now.Sub(lastActive) > idleStopAfter || !working && now.Sub(w.beganAt) > serveDuringStop {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// closeIdleUntil closes the connections of callers that carry no request, until
// none is open or the time has come.
func (g *Gateway) closeIdleUntil(end time.Time) {
	for now := time.Now(); g.callers.conns.closeIdle(now) > 0 && now.Before(end); now = time.Now() {
		time.Sleep(stopPollInterval)
	}
}

// closeConnectionIfLeaving asks the caller to open its next connection to
// another instance.
func (x *exchange) closeConnectionIfLeaving() {
	if x.g.isLeaving() {
		x.w.Header().Set("Connection", "close")
	}
}

// checkStop returns an error if a planned stop leaves too little time for the
// request. A stream that has begun is continued in any case: it would be cut now,
// and may end before the stop does.
func (x *exchange) checkStop(now time.Time) error {
	w := x.g.stops.window.Load()
	if w == nil || x.eventCount > 0 {
		return nil
	}
	basis := x.g.workTimes.basis(x.workGroup(), requestSize(x.meta))
	work, known := basis.estimate()
	if slowdown := x.g.inProgress.slowdown(x, now, &x.g.workTimes); slowdown > 1 {
		work = time.Duration(workMargin * slowdown * float64(work))
	}
	d := w.decide(now, x.deadline, work, known)
	d.basis = basis
	x.stopDecision = &d
	if d.fits(now) {
		return nil
	}
	if x.mayHaveRun {
		return x.attemptsFailedError()
	}
	return x.leavingError()
}

// latestSend returns when the request must have been sent to a target in a
// planned stop, or the zero time if no stop is in progress.
func (x *exchange) latestSend() time.Time {
	if _ = x.checkStop(time.Now()); x.stopDecision == nil || x.eventCount > 0 {
		return time.Time{}
	}
	return x.stopDecision.latestSend
}

// manyAlternativesShare is the share of the other instances that must have time
// for a rejected request, so that its caller is told to retry soon.
const manyAlternativesShare = 0.5

// leavingError returns the error for a request that a planned stop leaves too
// little time for. It has not run. If few instances have time for it, the
// Retry-After is long: callers that retried at once would use up their retries
// before an instance is back.
func (x *exchange) leavingError() error {
	work := time.Duration(0)
	if x.stopDecision != nil {
		work = x.stopDecision.work
	}
	found := x.g.alternatives(work)
	x.otherAddresses = found.addresses
	retryAfter := minRetryAfter / 2
	if found.share < manyAlternativesShare {
		retryAfter = max(minRetryAfter, time.Duration(outageRetryAfterShare*float64(x.meta.Deadline)))
	}
	return errkind.New(errkind.Leaving, "the instance is stopping and has too little time for the request").
		WithRetryAfter(jitter(retryAfter)).WithDidRun(errkind.NotRun)
}

// cutError returns the final error of a request that is still in progress at the
// end of a planned stop.
func (x *exchange) cutError() error {
	if x.mayHaveRun {
		return errkind.New(errkind.DeadlineExceeded, "no complete response before the end of the planned stop")
	}
	return x.leavingError()
}

func (x *exchange) workGroup() workGroup {
	return workGroup{route: x.route.Name, backend: x.backend, kind: x.route.Kind}
}

// recordWorkTime records how long a completed request took. Requests that failed
// early say nothing about that, and neither do errors and redirects of targets about
// streams.
func (x *exchange) recordWorkTime(err error) {
	if x.firstSentAt.IsZero() || err != nil && errkind.KindOf(err) != errkind.DeadlineExceeded || x.g.stops.cut.Err() != nil {
		return
	}
	if err == nil && x.route.Kind == routing.Stream && x.eventCount == 0 {
		return
	}
	s := workSample{size: requestSize(x.meta), took: time.Since(x.firstSentAt)}
	if x.eventCount > 0 {
		s.streamSample = streamSample{expected: float64(x.meta.ExpectedOutputTokens), events: x.eventCount, firstEvent: x.timing.firstEventAt.Sub(x.firstSentAt)}
	}
	x.g.workTimes.record(x.workGroup(), s)
}
