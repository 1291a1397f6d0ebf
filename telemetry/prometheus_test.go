package telemetry

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against output that a Prometheus parser rejects, and against values in
// another unit than the name states.
func TestPrometheusPage(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("data_centre.attempts.gent-a", r).Inc(3)
	timer := metrics.NewTimer()
	defer timer.Stop()
	require.NoError(t, r.Register("requests.duration.lm-pool", timer))
	timer.Update(2 * time.Second)
	w := httptest.NewRecorder()
	ServePrometheus(r)(w, httptest.NewRequest("GET", "/metrics/prometheus", nil))
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(w.Body)
	require.NoError(t, err)
	assert.Equal(t, 3.0, families["skylark_data_centre_attempts_gent_a"].GetMetric()[0].GetCounter().GetValue())
	s := families["skylark_requests_duration_lm_pool_seconds"].GetMetric()[0].GetSummary()
	assert.EqualValues(t, 1, s.GetSampleCount())
	assert.Equal(t, 2.0, s.GetQuantile()[0].GetValue())
}

// Guards against buckets that are not cumulative, and against a duration that
// is counted in the wrong bucket.
func TestLatencyBecomesHistogram(t *testing.T) {
	r := metrics.NewRegistry()
	l, err := NewLatency("request.duration", r)
	require.NoError(t, err)
	for _, d := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 101 * time.Millisecond, time.Minute} {
		l.Observe(d)
	}
	w := httptest.NewRecorder()
	ServePrometheus(r)(w, httptest.NewRequest("GET", "/metrics", nil))
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(w.Body)
	require.NoError(t, err)
	h := families["skylark_request_duration_seconds"].GetMetric()[0].GetHistogram()
	assert.EqualValues(t, 4, h.GetSampleCount())
	assert.InDelta(t, 60.202, h.GetSampleSum(), 1e-9)
	counts := map[float64]uint64{}
	for _, b := range h.GetBucket() {
		counts[b.GetUpperBound()] = b.GetCumulativeCount()
	}
	assert.EqualValues(t, 1, counts[0.005])
	assert.EqualValues(t, 2, counts[0.1])
	assert.EqualValues(t, 3, counts[0.2])
	assert.EqualValues(t, 3, counts[12])
}
