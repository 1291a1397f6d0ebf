package telemetry

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// bucketBounds are the upper bounds of the buckets of a Latency.
var bucketBounds = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second,
}

// Latency is a histogram of durations with fixed buckets, so that the values of
// several instances can be added. It is safe for concurrent use.
type Latency struct {
	// Histogram is embedded so that a registry accepts a Latency as a metric.
	metrics.Histogram
	buckets []atomic.Uint64 // one more than bucketBounds
	sum     atomic.Int64
}

// NewLatency returns a histogram and registers it under the name.
func NewLatency(name string, r metrics.Registry) (*Latency, error) {
	l := &Latency{Histogram: metrics.NilHistogram{}, buckets: make([]atomic.Uint64, len(bucketBounds)+1)}
	return l, r.Register(name, l)
}

// Observe adds one duration.
func (l *Latency) Observe(d time.Duration) {
	i := sort.Search(len(bucketBounds), func(i int) bool { return d <= bucketBounds[i] })
	l.buckets[i].Add(1)
	l.sum.Add(int64(d))
}
