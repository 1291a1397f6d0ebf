package gateway

import (
	"context"
	"net"
	"time"
)

const (
	// serveDuringStop is how long after the begin of a planned stop new
	// requests are still served; callers keep addresses for that long.
	serveDuringStop = 4500 * time.Millisecond
	// idleStopAfter ends a planned stop early if no request has been in
	// progress for that long.
	idleStopAfter = 2500 * time.Millisecond
	// stopMargin is what remains of the stop timeout when the connections are
	// closed.
	stopMargin       = 500 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// stopReportInterval is the pause between log lines about a stop in progress.
	stopReportInterval = time.Second
)

// stop ends the instance without interrupting requests. Readiness and the list
// of addresses direct callers to other instances, and requests that still
// arrive are served.
func (g *Gateway) stop(reason error, callers net.Listener) {
	startedAt := time.Now()
	g.leaving.Store(true)
	g.log.Info("stopping", "reason", reason.Error(), "working", g.inFlight.Load(), "timeout_ms", g.opts.StopTimeout.Milliseconds())
	lastActive, lastReport := startedAt, startedAt
	for {
		now := time.Now()
		if now.Sub(lastReport) >= stopReportInterval {
			lastReport = now
			g.log.Info("stop in progress", "after_ms", now.Sub(startedAt).Milliseconds(), "working", g.inFlight.Load(), "refusing", g.refusing.Load())
		}
		if g.inFlight.Load() > 0 {
			lastActive = now
		}
		if now.Sub(lastActive) > idleStopAfter || now.Sub(startedAt) > g.opts.StopTimeout-stopMargin {
			break
		}
		if now.Sub(startedAt) > serveDuringStop {
			g.refusing.Store(true)
			if g.inFlight.Load() == 0 {
				break
			}
		}
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(stopPollInterval, g.opts.StopTimeout-stopMargin-time.Since(startedAt)))
	defer cancel()
	if err := callers.Close(); err != nil {
		g.log.Warn("listener not closed", "error", err.Error())
	}
	err := g.callers.shutdown(ctx)
	g.log.Info("stopped", "after_ms", time.Since(startedAt).Milliseconds(), "cut", err != nil, "working", g.inFlight.Load())
}
