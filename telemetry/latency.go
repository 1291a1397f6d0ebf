package telemetry

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// latencyBounds are the upper bounds of the buckets of a Latency.
var latencyBounds = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second,
}

// Latency counts durations in fixed buckets, so that the pages of several
// instances can be added up. It is safe for use by several goroutines.
type Latency struct {
	// Histogram makes it a metric that a registry takes.
	metrics.Histogram
	buckets []atomic.Uint64 // one more than bounds
	sum     atomic.Int64
}

// NewLatency returns a histogram that is in a registry.
func NewLatency(name string, r metrics.Registry) (*Latency, error) {
	l := &Latency{Histogram: metrics.NilHistogram{}, buckets: make([]atomic.Uint64, len(latencyBounds)+1)}
	return l, r.Register(name, l)
}

// Observe counts one duration.
func (l *Latency) Observe(d time.Duration) {
	i := sort.Search(len(latencyBounds), func(i int) bool { return d <= latencyBounds[i] })
	l.buckets[i].Add(1)
	l.sum.Add(int64(d))
}
