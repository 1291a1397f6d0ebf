package gateway

import (
	"context"
	"net"
	"time"
)

const (
	// serveOn is how long after the begin of a planned stop new requests are
	// still served; callers keep addresses for that long.
	serveOn = 4500 * time.Millisecond
	// quietEnd ends a planned stop early when nothing has come for that long.
	quietEnd = 2500 * time.Millisecond
	// stopMargin is what is left of the time to stop when connections are cut.
	stopMargin = 500 * time.Millisecond
	stopPoll   = 50 * time.Millisecond
)

// stop ends the instance without cutting requests: callers are told to go
// elsewhere, and what arrives meanwhile is still served.
func (g *Gateway) stop(callers net.Listener) {
	began := time.Now()
	g.leaving.Store(true)
	g.log.Info("stopping", "working", g.working.Load())
	last := began
	for {
		now := time.Now()
		if g.working.Load() > 0 {
			last = now
		}
		if now.Sub(last) > quietEnd || now.Sub(began) > g.o.StopTimeout-stopMargin {
			break
		}
		if now.Sub(began) > serveOn {
			g.refusing.Store(true)
			if g.working.Load() == 0 {
				break
			}
		}
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(stopPoll, g.o.StopTimeout-stopMargin-time.Since(began)))
	defer cancel()
	if err := callers.Close(); err != nil {
		g.log.Warn("listener not closed", "error", err.Error())
	}
	err := g.callers.shutdown(ctx)
	g.log.Info("stopped", "after_ms", time.Since(began).Milliseconds(), "cut", err != nil)
}
