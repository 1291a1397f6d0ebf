package telemetry

import (
	"net/http"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// metricPrefix stands before every name in the Prometheus text format.
const metricPrefix = "skylark_"

// quantilesShown are the quantiles of timers and histograms.
var quantilesShown = []float64{0.5, 0.95, 0.99}

// ServePrometheus writes the registry in the Prometheus text format. A Latency
// becomes a histogram in seconds, a timer a summary in seconds.
func ServePrometheus(r metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		format := expfmt.NewFormat(expfmt.TypeTextPlain)
		w.Header().Set("Content-Type", string(format))
		enc := expfmt.NewEncoder(w, format)
		r.Each(func(name string, m any) {
			if f := family(name, m); f != nil {
				_ = enc.Encode(f)
			}
		})
	}
}

func family(name string, m any) *dto.MetricFamily {
	switch v := m.(type) {
	case metrics.Counter:
		return single(name, dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: ptr(float64(v.Count()))}})
	case metrics.Gauge:
		return single(name, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: ptr(float64(v.Value()))}})
	case metrics.GaugeFloat64:
		return single(name, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: ptr(v.Value())}})
	case *Latency:
		return single(name+".seconds", dto.MetricType_HISTOGRAM, histogram(v))
	case metrics.Timer:
		return single(name+".seconds", dto.MetricType_SUMMARY, summary(v.Snapshot()))
	default:
		return nil
	}
}

func summary(t metrics.Timer) *dto.Metric {
	const nanosPerSecond = 1e9
	s := &dto.Summary{
		SampleCount: ptr(uint64(t.Count())),
		SampleSum:   ptr(float64(t.Sum()) / nanosPerSecond),
	}
	for i, value := range t.Percentiles(quantilesShown) {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: ptr(quantilesShown[i]), Value: ptr(value / nanosPerSecond)})
	}
	return &dto.Metric{Summary: s}
}

func histogram(l *Latency) *dto.Metric {
	h := &dto.Histogram{SampleSum: ptr(time.Duration(l.sum.Load()).Seconds())}
	total := uint64(0)
	for i := range l.buckets {
		total += l.buckets[i].Load()
		if i < len(latencyBounds) {
			h.Bucket = append(h.Bucket, &dto.Bucket{UpperBound: ptr(latencyBounds[i].Seconds()), CumulativeCount: ptr(total)})
		}
	}
	h.SampleCount = ptr(total)
	return &dto.Metric{Histogram: h}
}

func single(name string, kind dto.MetricType, m *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: ptr(metricPrefix + metricName(name)), Type: kind.Enum(), Metric: []*dto.Metric{m}}
}

// metricName replaces what the format does not allow in names.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

func ptr[T any](v T) *T { return &v }
