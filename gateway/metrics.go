package gateway

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkstep/skylarkstep/telemetry"
)

// gatewayMetrics holds the counters and latency histograms of one instance.
type gatewayMetrics struct {
	registry metrics.Registry
	// duration is the time from a request to its final response, and queueTime
	// the time in the queue. firstEvent and longestGap describe streams.
	duration, queueTime, firstEvent, longestGap *telemetry.Latency

	hedges         metrics.Counter
	retries        metrics.Counter
	retriesRefused metrics.Counter
	// configsRefused counts the configurations that were not applied because they are
	// not valid.
	configsRefused metrics.Counter
	// storeRestores counts how often the store came back from an older copy.
	storeRestores metrics.Counter
	// quarantineRefusals counts the requests that were refused because they, or a part
	// of their prompt, crash targets.
	quarantineRefusals metrics.Counter
	// callersLeft counts the requests that were not sent because their callers had
	// left.
	callersLeft metrics.Counter
	// waitedUnread is how long requests waited in the kernel until they were read.
	waitedUnread *telemetry.Latency
	// placesRejected counts the requests that were rejected since no rank group had room
	// for them in time.
	placesRejected metrics.Counter
	// heldPromptsUsed counts the requests that were sent to a target because it probably
	// holds the beginning of their prompt.
	heldPromptsUsed metrics.Counter
	// targetRests counts the responses by which targets wanted a rest.
	targetRests metrics.Counter
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
		duration: latency("request.duration"), queueTime: latency("request.wait"),
		firstEvent: latency("stream.first_event"), longestGap: latency("stream.longest_gap"),
		hedges:         metrics.NewRegisteredCounter("request.hedges", r),
		retries:        metrics.NewRegisteredCounter("request.retries", r),
		retriesRefused: metrics.NewRegisteredCounter("request.retries_refused", r),
		configsRefused: metrics.NewRegisteredCounter("config.refused", r),
		storeRestores:  metrics.NewRegisteredCounter("store.restores", r),

		placesRejected:     metrics.NewRegisteredCounter("request.places_rejected", r),
		heldPromptsUsed:    metrics.NewRegisteredCounter("request.held_prompts_used", r),
		callersLeft:        metrics.NewRegisteredCounter("request.callers_left", r),
		waitedUnread:       latency("request.unread"),
		targetRests:        metrics.NewRegisteredCounter("target.rests", r),
		quarantineRefusals: metrics.NewRegisteredCounter("quarantine.refusals", r),
	}
}

// recordRequest counts a request that has its final response.
func (m *gatewayMetrics) recordRequest(x *exchange, outcome string, duration time.Duration) {
	m.duration.Observe(duration)
	m.queueTime.Observe(x.queueTime)
	m.waitedUnread.Observe(x.waitedUnread)
	if x.eventCount > 0 {
		m.firstEvent.Observe(x.timing.firstEventAt.Sub(x.startedAt))
		m.longestGap.Observe(x.timing.longestGap)
	}
	metrics.GetOrRegisterCounter("request.outcome."+outcome, m.registry).Inc(1)
}
