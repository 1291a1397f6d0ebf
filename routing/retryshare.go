package routing

import "time"

// RetryLimits bound the attempts beyond the first of each request that all
// instances together may make towards one back end.
type RetryLimits struct {
	// Ratio is the number of further attempts per request.
	Ratio float64
	// Slack is the number of further attempts in a window beyond the ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// windowMargin widens the window, since attempts arrive later than they are
	// counted here.
	windowMargin = time.Second
	// ratioShare is the part of the ratio that is used: requests that are
	// counted here may have been counted by others as further attempts.
	ratioShare = 0.6
	// slackShare is the part of the slack that is used. The other half covers
	// instances that restart and have forgotten what they sent.
	slackShare = 0.5
)

// RetryBudget is one instance's share of the retry limits for one back end. No
// call per request is needed: the slack is divided by the instances, and the
// ratio counts this instance's own requests.
type RetryBudget struct {
	limits   RetryLimits
	firsts   []time.Time
	retries  []time.Time
	mostSeen []seen
}

type seen struct {
	at        time.Time
	instances int
}

// NewRetryBudget returns a share without history.
func NewRetryBudget(l RetryLimits) *RetryBudget { return &RetryBudget{limits: l} }

// SetLimits replaces the limits and keeps what was counted.
func (s *RetryBudget) SetLimits(l RetryLimits) { s.limits = l }

// RecordFirstAttempt counts the first attempt of a request.
func (s *RetryBudget) RecordFirstAttempt(now time.Time) {
	s.forget(now)
	s.firsts = append(s.firsts, now)
}

// SetInstances tells how many instances share the limits. The highest number of
// the last two windows counts, since an instance that left may have used its
// share.
func (s *RetryBudget) SetInstances(n int, now time.Time) {
	if k := len(s.mostSeen); k > 0 && s.mostSeen[k-1].instances == n {
		s.mostSeen[k-1].at = now
		return
	}
	s.mostSeen = append(s.mostSeen, seen{now, n})
}

// TakeRetry reports whether a further attempt may be made now, and counts it.
func (s *RetryBudget) TakeRetry(now time.Time) bool {
	s.forget(now)
	n := 1
	for _, m := range s.mostSeen {
		n = max(n, m.instances)
	}
	allowed := slackShare*s.limits.Slack/float64(n) + ratioShare*s.limits.Ratio*float64(len(s.firsts))
	if float64(len(s.retries)+1) > allowed {
		return false
	}
	s.retries = append(s.retries, now)
	return true
}

func (s *RetryBudget) forget(now time.Time) {
	before := now.Add(-s.limits.Window - windowMargin)
	s.firsts = since(s.firsts, before)
	s.retries = since(s.retries, before)
	for len(s.mostSeen) > 1 && s.mostSeen[0].at.Before(before.Add(-s.limits.Window)) {
		s.mostSeen = s.mostSeen[1:]
	}
}

func since(times []time.Time, before time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(before) {
		n++
	}
	return times[n:]
}
