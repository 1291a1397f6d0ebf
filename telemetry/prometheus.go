package telemetry

import (
	"net/http"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// metricPrefix precedes every name in the Prometheus text format.
const metricPrefix = "skylark_"

// timerQuantiles are the quantiles that are exported for timers.
var timerQuantiles = []float64{0.5, 0.95, 0.99}

// ServePrometheus returns a handler that writes the metrics of the registry in
// the Prometheus text format. A Latency becomes a histogram in seconds, and a
// timer a summary in seconds.
func ServePrometheus(r metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		format := expfmt.NewFormat(expfmt.TypeTextPlain)
		w.Header().Set("Content-Type", string(format))
		enc := expfmt.NewEncoder(w, format)
		r.Each(func(name string, m any) {
			if f := metricFamily(name, m); f != nil {
				_ = enc.Encode(f)
			}
		})
	}
}

func metricFamily(name string, m any) *dto.MetricFamily {
	switch v := m.(type) {
	case metrics.Counter:
		return singleMetricFamily(name, dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: ptr(float64(v.Count()))}})
	case metrics.Gauge:
		return singleMetricFamily(name, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: ptr(float64(v.Value()))}})
	case metrics.GaugeFloat64:
		return singleMetricFamily(name, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: ptr(v.Value())}})
	case *Latency:
		return singleMetricFamily(name+".seconds", dto.MetricType_HISTOGRAM, latencyHistogram(v))
	case metrics.Timer:
		return singleMetricFamily(name+".seconds", dto.MetricType_SUMMARY, timerSummary(v.Snapshot()))
	default:
		return nil
	}
}

func timerSummary(t metrics.Timer) *dto.Metric {
	const nanosPerSecond = 1e9
	s := &dto.Summary{
		SampleCount: ptr(uint64(t.Count())),
		SampleSum:   ptr(float64(t.Sum()) / nanosPerSecond),
	}
	for i, value := range t.Percentiles(timerQuantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: ptr(timerQuantiles[i]), Value: ptr(value / nanosPerSecond)})
	}
	return &dto.Metric{Summary: s}
}

func latencyHistogram(l *Latency) *dto.Metric {
	h := &dto.Histogram{SampleSum: ptr(time.Duration(l.sum.Load()).Seconds())}
	cumulative := uint64(0)
	for i := range l.buckets {
		cumulative += l.buckets[i].Load()
		if i < len(bucketBounds) {
			h.Bucket = append(h.Bucket, &dto.Bucket{UpperBound: ptr(bucketBounds[i].Seconds()), CumulativeCount: ptr(cumulative)})
		}
	}
	h.SampleCount = ptr(cumulative)
	return &dto.Metric{Histogram: h}
}

func singleMetricFamily(name string, kind dto.MetricType, m *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: ptr(metricPrefix + metricName(name)), Type: kind.Enum(), Metric: []*dto.Metric{m}}
}

// metricName replaces characters that the format does not allow in names.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

func ptr[T any](v T) *T { return &v }
