package retry

import (
	"math"
	"time"
)

const (
	// HedgeQuantile is the latency at which an attempt counts as slow. One
	// request in twenty is then hedged, half of the retry budget.
	HedgeQuantile = 0.95
	minSamples    = 100
	// maxSamples ages the histogram: the counts are halved when it is reached.
	maxSamples = 2000
	buckets    = 128
	// bucketGrowth makes each bucket a quarter wider than the one before, from 100 us on.
	bucketGrowth    = 1.25
	firstBucketEdge = 100 * time.Microsecond
)

// Latency estimates quantiles of a latency from a histogram that forgets.
type Latency struct {
	counts [buckets]float64
	total  float64
}

// Observe takes in one latency.
func (l *Latency) Observe(d time.Duration) {
	if l.total >= maxSamples {
		for i := range l.counts {
			l.counts[i] /= 2
		}
		l.total /= 2
	}
	i := 0
	if d > firstBucketEdge {
		i = min(int(math.Ceil(math.Log(float64(d)/float64(firstBucketEdge))/math.Log(bucketGrowth))), buckets-1)
	}
	l.counts[i]++
	l.total++
}

// Quantile returns the upper edge of the bucket that holds the quantile, or
// false while there are too few samples.
func (l *Latency) Quantile(q float64) (time.Duration, bool) {
	if l.total < minSamples {
		return 0, false
	}
	remaining := q * l.total
	for i, n := range l.counts {
		if remaining -= n; remaining <= 0 {
			return time.Duration(float64(firstBucketEdge) * math.Pow(bucketGrowth, float64(i))), true
		}
	}
	return 0, false
}
