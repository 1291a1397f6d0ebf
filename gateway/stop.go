package gateway

import (
	"context"
	"net"
	"time"
)

const (
	// serveDuringStop is how long after the begin of a planned stop new requests are
	// still served; callers keep addresses for that long.
	serveDuringStop = 4500 * time.Millisecond
	// idleStopAfter ends a planned stop early when nothing has come for that long.
	idleStopAfter = 2500 * time.Millisecond
	// stopMargin is what is left of the time to stop when connections are cut.
	stopMargin       = 500 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
)

// stop ends the instance without cutting requests: callers are told to go
// elsewhere, and what arrives meanwhile is still served.
func (g *Gateway) stop(callers net.Listener) {
	began := time.Now()
	g.leaving.Store(true)
	g.log.Info("stopping", "working", g.inFlight.Load())
	last := began
	for {
		now := time.Now()
		if g.inFlight.Load() > 0 {
			last = now
		}
		if now.Sub(last) > idleStopAfter || now.Sub(began) > g.opts.StopTimeout-stopMargin {
			break
		}
		if now.Sub(began) > serveDuringStop {
			g.refusing.Store(true)
			if g.inFlight.Load() == 0 {
				break
			}
		}
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(stopPollInterval, g.opts.StopTimeout-stopMargin-time.Since(began)))
	defer cancel()
	if err := callers.Close(); err != nil {
		g.log.Warn("listener not closed", "error", err.Error())
	}
	err := g.callers.shutdown(ctx)
	g.log.Info("stopped", "after_ms", time.Since(began).Milliseconds(), "cut", err != nil)
}
