package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// gatewayMetrics are the counters and latencies of one instance.
type gatewayMetrics struct {
	registry       metrics.Registry
	took           metrics.Timer
	hedges         metrics.Counter
	retries        metrics.Counter
	retriesRefused metrics.Counter
}

func newMetrics(r metrics.Registry) *gatewayMetrics {
	return &gatewayMetrics{
		registry: r, took: metrics.NewRegisteredTimer("request.duration", r),
		hedges:         metrics.NewRegisteredCounter("request.hedges", r),
		retries:        metrics.NewRegisteredCounter("request.retries", r),
		retriesRefused: metrics.NewRegisteredCounter("request.retries_refused", r),
	}
}

func (m *gatewayMetrics) finished(outcome string, took time.Duration) {
	m.took.Update(took)
	metrics.GetOrRegisterCounter("request.outcome."+outcome, m.registry).Inc(1)
}
