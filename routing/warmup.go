package routing

import "time"

// warmUpBurst is the number of requests that may follow each other at once at
// a cold target.
const warmUpBurst = 1

// WarmUpLimiter bounds the requests that one instance sends to a cold target, so that
// all instances together stay under what the target bears.
type WarmUpLimiter struct {
	tokens float64
	last   time.Time
}

// TakeRequest reports whether a request may be sent now. rate is what the target bears
// in a second from all instances.
func (w *WarmUpLimiter) TakeRequest(rate float64, instances int, now time.Time) bool {
	w.refill(rate, instances, now)
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// CanTakeRequest reports whether Take would succeed.
func (w *WarmUpLimiter) CanTakeRequest(rate float64, instances int, now time.Time) bool {
	w.refill(rate, instances, now)
	return w.tokens >= 1
}

func (w *WarmUpLimiter) refill(rate float64, instances int, now time.Time) {
	if w.last.IsZero() {
		w.tokens = warmUpBurst
	} else {
		w.tokens = min(warmUpBurst, w.tokens+now.Sub(w.last).Seconds()*rate/float64(max(1, instances)))
	}
	w.last = now
}
