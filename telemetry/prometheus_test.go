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

// Guards against a page that a Prometheus parser refuses, and against values in
// another unit than the name says.
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
