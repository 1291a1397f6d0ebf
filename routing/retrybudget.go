package routing

import "time"

// RetryLimits restricts the attempts beyond the first that all instances
// together may make for the requests to one back end.
type RetryLimits struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Slack is the number of retries in a window that are allowed in addition
	// to the ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// windowMargin extends the window, because attempts arrive at the targets
	// later than they are counted here.
	windowMargin = time.Second
	// usedRatioShare is the part of the ratio that is used: requests that are
	// counted here may have been counted by other instances as retries.
	usedRatioShare = 0.6
	// usedSlackShare is the part of the slack that is used. The other half
	// covers instances that restart and lose their counts.
	usedSlackShare = 0.5
)

// RetryBudget is one instance's share of the retry limits for one back end.
// Instances need not communicate for each request: each uses an equal part of
// the slack, and applies the ratio to its own requests.
type RetryBudget struct {
	limits         RetryLimits
	firstAttempts  []time.Time
	retries        []time.Time
	instanceCounts []instanceCount
}

// instanceCount is a number of instances and when it was last reported.
type instanceCount struct {
	lastSeenAt time.Time
	instances  int
}

// NewRetryBudget returns a budget without recorded attempts.
func NewRetryBudget(l RetryLimits) *RetryBudget { return &RetryBudget{limits: l} }

// SetLimits replaces the limits and keeps the recorded attempts.
func (b *RetryBudget) SetLimits(l RetryLimits) { b.limits = l }

// RecordFirstAttempt records the first attempt of a request.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.dropExpired(now)
	b.firstAttempts = append(b.firstAttempts, now)
}

// SetInstances sets the number of instances that share the limits. The highest
// number of the last two windows applies, because an instance that left may
// have used its share.
func (b *RetryBudget) SetInstances(n int, now time.Time) {
	if k := len(b.instanceCounts); k > 0 && b.instanceCounts[k-1].instances == n {
		b.instanceCounts[k-1].lastSeenAt = now
		return
	}
	b.instanceCounts = append(b.instanceCounts, instanceCount{now, n})
}

// TakeRetry reports whether a retry is allowed now, and records it if so.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	if !b.AllowsRetry(now) {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// AllowsRetry reports whether a retry is allowed now.
func (b *RetryBudget) AllowsRetry(now time.Time) bool {
	b.dropExpired(now)
	maxInstances := 1
	for _, count := range b.instanceCounts {
		maxInstances = max(maxInstances, count.instances)
	}
	allowed := usedSlackShare*b.limits.Slack/float64(maxInstances) + usedRatioShare*b.limits.Ratio*float64(len(b.firstAttempts))
	return float64(len(b.retries)+1) <= allowed
}

// dropExpired removes records that are too old to count.
func (b *RetryBudget) dropExpired(now time.Time) {
	before := now.Add(-b.limits.Window - windowMargin)
	b.firstAttempts = dropBefore(b.firstAttempts, before)
	b.retries = dropBefore(b.retries, before)
	for len(b.instanceCounts) > 1 && b.instanceCounts[0].lastSeenAt.Before(before.Add(-b.limits.Window)) {
		b.instanceCounts = b.instanceCounts[1:]
	}
}

// dropBefore returns the times that are not before the given one. times is
// sorted.
func dropBefore(times []time.Time, before time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(before) {
		n++
	}
	return times[n:]
}
