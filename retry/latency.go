package retry

import (
	"math"
	"time"
)

const (
	// HedgeQuantile is the quantile of latency above which an attempt counts as
	// slow. One request in twenty is then hedged, which is half of the retry
	// budget.
	HedgeQuantile = 0.95
	// minSamples is the number of samples below which there is no estimate.
	minSamples = 100
	// maxSamples is the number of samples at which all counts are halved, so that
	// old samples lose weight.
	maxSamples = 2000
	buckets    = 128
	// bucketGrowth makes each bucket a quarter wider than the one before, starting
	// from 100 us.
	bucketGrowth    = 1.25
	firstBucketEdge = 100 * time.Microsecond
)

// Latency estimates latency quantiles from a histogram in which old samples
// lose weight.
type Latency struct {
	counts [buckets]float64
	total  float64
}

// Observe records one latency.
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

// Quantile returns the upper edge of the bucket that contains the quantile q,
// or false while there are too few samples.
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
