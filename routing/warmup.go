package routing

import "time"

// maxTokens is the number of requests that may be sent at once to a target in
// its warm-up.
const maxTokens = 1

// WarmUpLimiter is a token bucket for the requests that one instance sends to a
// target in its warm-up, so that all instances together stay below the rate
// that the target can handle.
type WarmUpLimiter struct {
	tokens     float64
	lastRefill time.Time
}

// TakeRequest reports whether a request may be sent now, and counts it if so.
// rate is the number of requests per second from all instances that the target
// can handle.
func (w *WarmUpLimiter) TakeRequest(rate float64, instances int, now time.Time) bool {
	w.refill(rate, instances, now)
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// CanTakeRequest reports whether TakeRequest would succeed.
func (w *WarmUpLimiter) CanTakeRequest(rate float64, instances int, now time.Time) bool {
	w.refill(rate, instances, now)
	return w.tokens >= 1
}

func (w *WarmUpLimiter) refill(rate float64, instances int, now time.Time) {
	if w.lastRefill.IsZero() {
		w.tokens = maxTokens
	} else {
		w.tokens = min(maxTokens, w.tokens+now.Sub(w.lastRefill).Seconds()*rate/float64(max(1, instances)))
	}
	w.lastRefill = now
}
