package routing

import (
	"hash/fnv"
	"time"
)

// warmUpExcess is the part of the rate by which the requests of a second may
// exceed it.
const warmUpExcess = 0.5

// WarmUpSenders returns how many of the instances may send requests to a target in
// its warm-up. If all of them send their first requests at once, they exceed the
// rate by warmUpExcess at most.
func WarmUpSenders(rate float64, instances int) int {
	return max(1, min(instances, int(warmUpExcess*rate)))
}

// IsSender reports whether the instance at the given position in the order of
// ids is one of the senders to a target that only some instances send to. The senders of different targets are spread
// over all instances.
func IsSender(target string, position, instances, senders int) bool {
	if senders >= instances {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(target)) // never fails
	first := int(h.Sum32() % uint32(instances))
	return (position-first+instances)%instances < senders
}

// WarmUpLimiter limits the requests that one instance sends to a target in its
// warm-up, so that all instances together stay below the rate that the target can
// handle.
type WarmUpLimiter struct{ bucket TokenBucket }

// TakeRequest reports whether a request may be sent now, and counts it if so.
// rate is the number of requests per second from all instances that the target
// can handle.
func (w *WarmUpLimiter) TakeRequest(rate float64, instances int, now time.Time) bool {
	return w.bucket.Take(rate/float64(max(1, instances)), now)
}

// CanTakeRequest reports whether TakeRequest would succeed.
func (w *WarmUpLimiter) CanTakeRequest(rate float64, instances int, now time.Time) bool {
	return w.bucket.CanTake(rate/float64(max(1, instances)), now)
}
