package crashguard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing/quarantine"
)

// Guards against an instance that has just started, or has no callers, and takes the
// part that all prompts share for a rare one: it would quarantine it.
func TestFrequencyIsUnknownWithoutRequests(t *testing.T) {
	g := NewGuard()
	require.EqualValues(t, 1, g.Frequency("first"))
	for k := range 2 * minFrequencyRequests {
		parts := []string{"first"}
		if k%2 == 0 {
			parts = append(parts, "session")
		}
		g.Enter(parts, quarantine.RequestSubject(fmt.Sprint(k)), false, time.Now(), nil).Leave()
	}
	require.InDelta(t, 1.0, g.Frequency("first"), 0.01)
	require.InDelta(t, 0.5, g.Frequency("session"), 0.05)
	require.Zero(t, g.Frequency("other"))
}

// Guards against memory without limit, whatever requests callers invent, and against
// requests that displace the parts.
func TestTrackedSubjectsAreBounded(t *testing.T) {
	g := NewGuard()
	a := g.Enter([]string{"first"}, quarantine.RequestSubject("a"), false, time.Now(), nil)
	a.Complete(time.Now())
	a.Leave()
	for k := range 2 * maxTracked {
		a := g.Enter(nil, quarantine.RequestSubject(fmt.Sprint(k)), false, time.Now(), nil)
		a.Complete(time.Now())
		a.Leave()
	}
	require.Len(t, g.requests.bySubject, maxTracked)
	require.Empty(t, g.inProgress)
	require.False(t, g.completedAt("first").IsZero())
}

// Guards against a fingerprint that differs between repeats, or that is the same for
// fields that are split in another way.
func TestFingerprint(t *testing.T) {
	r := Request{Method: "POST", Host: "h", URI: "/a", Customer: "bc", Body: []byte("x")}
	same, other := r, r
	other.URI, other.Customer = "/ab", "c"
	require.Equal(t, r.Fingerprint(), same.Fingerprint())
	require.NotEqual(t, r.Fingerprint(), other.Fingerprint())
	require.Len(t, r.Fingerprint(), 2*fingerprintBytes)
}
