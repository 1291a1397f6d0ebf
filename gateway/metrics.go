package gateway

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkstep/skylarkstep/telemetry"
)

// gatewayMetrics are the counters and latencies of one instance.
type gatewayMetrics struct {
	registry metrics.Registry
	// took is the time of requests to their final answer, waited the time in the
	// queue for a place; firstEvent and longestGap are of streams.
	took, waited, firstEvent, longestGap *telemetry.Latency

	hedges         metrics.Counter
	retries        metrics.Counter
	retriesRefused metrics.Counter
}

func newMetrics(r metrics.Registry, log *slog.Logger) *gatewayMetrics {
	latency := func(name string) *telemetry.Latency {
		l, err := telemetry.NewLatency(name, r)
		if err != nil {
			log.Error("metric not registered", "name", name, "error", err.Error())
		}
		return l
	}
	return &gatewayMetrics{
		registry: r,
		took:     latency("request.duration"), waited: latency("request.wait"),
		firstEvent: latency("stream.first_event"), longestGap: latency("stream.longest_gap"),
		hedges:         metrics.NewRegisteredCounter("request.hedges", r),
		retries:        metrics.NewRegisteredCounter("request.retries", r),
		retriesRefused: metrics.NewRegisteredCounter("request.retries_refused", r),
	}
}

// finished counts a request that has its final answer.
func (m *gatewayMetrics) finished(x *exchange, outcome string, took time.Duration) {
	m.took.Observe(took)
	m.waited.Observe(x.waited)
	if x.events > 0 {
		m.firstEvent.Observe(x.pace.first.Sub(x.began))
		m.longestGap.Observe(x.pace.longestGap)
	}
	metrics.GetOrRegisterCounter("request.outcome."+outcome, m.registry).Inc(1)
}
