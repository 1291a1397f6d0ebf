package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/errkind"
)

var t0 = time.Unix(1764817200, 0)

// Guards against retries that multiply the load while all attempts fail, and
// against a customer that uses up the retries of the others.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudgets()
	taken := 0
	for range 10000 {
		b.RecordFirstAttempt("a")
		if b.TakeRetry("a") {
			taken++
		}
	}
	assert.InDelta(t, 1000+DefaultCustomerBurst, taken, 1)
	assert.True(t, b.TakeRetry("b"))
}

// Guards against a second run of a call that may have run.
func TestRetryable(t *testing.T) {
	for _, tc := range []struct {
		err        *errkind.Error
		idempotent bool
		want       bool
	}{
		{errkind.New(errkind.TargetLost, ""), true, true},
		{errkind.New(errkind.TargetLost, ""), false, false},
		{errkind.New(errkind.TargetLost, "").WithDidRun(errkind.NotRun), false, true},
		{errkind.New(errkind.Overloaded, ""), false, true},
		{errkind.New(errkind.Overloaded, "").WithDidRun(errkind.Unknown), false, false},
		{errkind.New(errkind.InvalidRequest, ""), true, false},
	} {
		assert.Equal(t, tc.want, Retryable(tc.err, tc.idempotent), "%v", tc.err)
	}
}

// Guards against simultaneous retries and against an unlimited delay.
func TestDelayGrowsWithJitterToABound(t *testing.T) {
	assert.Equal(t, 5*time.Millisecond, Backoff(0, 0))
	assert.Less(t, Backoff(0, 0.999), 10*time.Millisecond)
	assert.Equal(t, 20*time.Millisecond, Backoff(2, 0))
	assert.LessOrEqual(t, Backoff(100, 0.999), maxDelay)
}

func observeFailures(e *Ejector, target string, n, size int, now time.Time) (ejected bool) {
	for range n {
		ejected = e.Observe(target, true, size, now) || ejected
	}
	return ejected
}

// Guards against ejection without evidence, and against a target that is never
// used again or gets its full share of requests at once.
func TestEjectionNeedsEvidenceAndIsUndoneGradually(t *testing.T) {
	e := NewEjector()
	require.False(t, observeFailures(e, "a", minFailures-1, 6, t0))
	e.Observe("a", false, 6, t0)
	require.False(t, observeFailures(e, "a", minFailures-1, 6, t0))
	require.True(t, observeFailures(e, "a", 1, 6, t0))
	assert.False(t, e.Admit("a", 0, t0.Add(firstEjection-1)))
	assert.True(t, e.Admit("b", 0.99, t0))
	ejectionEnd := t0.Add(firstEjection)
	admitted := func(at time.Time) (n int) {
		for i := range 100 {
			if e.Admit("a", float64(i)/100, at) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 10, admitted(ejectionEnd.Add(recoveryPeriod/10)))
	assert.Equal(t, 50, admitted(ejectionEnd.Add(recoveryPeriod/2)))
	assert.Equal(t, 100, admitted(ejectionEnd.Add(recoveryPeriod)))
	// A second ejection lasts longer; a full recovery resets the count.
	require.True(t, observeFailures(e, "a", minFailures, 6, ejectionEnd))
	assert.False(t, e.Admit("a", 0, ejectionEnd.Add(2*firstEjection-1)))
	e.Observe("a", false, 6, ejectionEnd.Add(time.Hour))
	assert.False(t, e.HasTrackedTargets())
}

// Guards against ejecting the pool in an outage that all targets share.
func TestEjectionIsBounded(t *testing.T) {
	e := NewEjector()
	ejected := 0
	for _, target := range []string{"a", "b", "c", "d", "e", "f"} {
		if observeFailures(e, target, minFailures, 6, t0) {
			ejected++
		}
	}
	assert.Equal(t, 2, ejected)
	assert.False(t, observeFailures(NewEjector(), "a", minFailures, 2, t0), "a third of two targets is none")

	outage := NewEjector()
	for i := range 200 {
		outage.Observe([]string{"a", "b", "c", "d"}[i%4], i%4 != 0 || i%8 == 0, 9, t0)
	}
	assert.False(t, observeFailures(outage, "z", minFailures, 9, t0.Add(time.Hour)))
}

// Guards against a hedge delay from too few samples, far from the quantile, or
// from load in the distant past.
func TestLatencyQuantile(t *testing.T) {
	var l Latency
	for i := range minSamples - 1 {
		l.Observe(time.Duration(i) * time.Millisecond)
	}
	_, ok := l.Quantile(HedgeQuantile)
	require.False(t, ok)
	l = Latency{}
	for i := range 1000 {
		l.Observe(time.Duration(i) * time.Millisecond)
	}
	q, ok := l.Quantile(HedgeQuantile)
	require.True(t, ok)
	assert.InDelta(t, 950, q.Milliseconds(), 950*(bucketGrowth-1))
	for range 20 * maxSamples {
		l.Observe(time.Millisecond)
	}
	q, _ = l.Quantile(HedgeQuantile)
	assert.Less(t, q, 2*time.Millisecond)
}
