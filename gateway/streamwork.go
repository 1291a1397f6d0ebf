package gateway

import (
	"math"
	"slices"
	"time"
)

const (
	// streamQuantile is the quantile of the times to the first event and between
	// events from which the time of the longest stream is made.
	streamQuantile = 0.9
	// longestMargin multiplies that time. It is smaller than workMargin, since few
	// streams are as long as their maximum allows.
	longestMargin = 1.1
	// leastTokensPerEvent is the number of tokens that an event holds at least.
	leastTokensPerEvent = 1.0
)

// streamSample is what a completed stream shows about the time of a longer one. It
// is zero for other requests.
type streamSample struct {
	// expected is the length in tokens that the caller expected; zero if unknown.
	expected float64
	events   int
	// firstEvent is the time from the send to the first event.
	firstEvent time.Duration
}

// longestStream returns how long a stream takes that reaches its maximum size, and how
// many tokens each of its events is taken to hold. Streams that long are rare, so that few
// samples, or none, show their time; all samples show how long an event takes.
func (s *workSamples) longestStream(size float64) (time.Duration, float64) {
	first, perEvent := s.eventTimes()
	if len(first) < minWorkSamples {
		return 0, 0
	}
	tokens := s.tokensPerEvent()
	events := math.Ceil(size / tokens)
	return durationQuantile(first, streamQuantile) + time.Duration(events*float64(durationQuantile(perEvent, streamQuantile))), tokens
}

// eventTimes returns the times to the first event and between events. If nearly all
// streams had a single event, its time counts as that of each event: it is an upper limit.
func (s *workSamples) eventTimes() (first, perEvent []time.Duration) {
	var single []time.Duration
	for _, sample := range s.samples {
		switch sample.events {
		case 0:
		case 1:
			single = append(single, sample.took)
		default:
			first = append(first, sample.firstEvent)
			perEvent = append(perEvent, (sample.took-sample.firstEvent)/time.Duration(sample.events-1))
		}
	}
	if len(first) < minWorkSamples {
		return append(first, single...), append(perEvent, single...)
	}
	return first, perEvent
}

// tokensPerEvent estimates how many tokens an event holds. The lengths that callers
// expect are right at the median, and no response has more tokens than its maximum. That
// maximum alone only limits the number from above: streams that ended far below it would
// make every longer one look short. Without expected lengths, an event counts as
// leastTokensPerEvent.
func (s *workSamples) tokensPerEvent() float64 {
	atMost := math.Inf(1)
	var guesses []float64
	for _, sample := range s.samples {
		if sample.events == 0 || sample.size == 0 {
			continue
		}
		atMost = min(atMost, sample.size/float64(sample.events))
		if sample.expected > 0 {
			guesses = append(guesses, sample.expected/float64(sample.events))
		}
	}
	if len(guesses) < minWorkSamples {
		return min(atMost, leastTokensPerEvent)
	}
	slices.Sort(guesses)
	return min(atMost, guesses[certainlyBelowMedian(len(guesses))])
}

// certainlyBelowMedian returns the index of the largest of n sorted samples that is almost
// certainly below the median of what they are drawn from: two standard deviations of the
// number of samples below it. Among a few samples, half may by chance be far above.
func certainlyBelowMedian(n int) int {
	deviation := math.Sqrt(float64(n)) / 2
	return max(0, int(float64(n)/2-2*deviation))
}

// durationQuantile returns a quantile of durations, which it sorts.
func durationQuantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}
