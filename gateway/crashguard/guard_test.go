package crashguard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/routing/quarantine"
)

// Guards against a suspect that is sent again and again while its targets refuse it:
// a refusal shows neither that it crashes them nor that it does not.
func TestProbesOfSuspectArePaced(t *testing.T) {
	const request = "request:a"
	g, now := NewGuard(), time.Now()
	g.publish(&View{CrashCounts: map[string]int{request: quarantine.OwnerCrashes}}, now)
	isProber := func(string) bool { return true }
	sent := 0
	for start := now; now.Sub(start) < 30*time.Second; now = now.Add(100 * time.Millisecond) {
		a := g.Enter(nil, request, false, now, nil)
		if o := a.Check(now, isProber); o == nil {
			a.RecordSent(now)
			sent++
			require.Positive(t, a.Check(now, isProber).Wait, "a second attempt of the probe")
		} else {
			require.Positive(t, o.Wait)
		}
		a.Leave()
	}
	require.Equal(t, 4, sent) // at 0, 2, 6 and 14 s
	a := g.Enter(nil, request, false, now, nil)
	require.True(t, a.Check(now, func(string) bool { return false }).AtOtherInstance)
	g.publish(&View{}, now)
	require.Nil(t, a.Check(now, isProber), "a cleared request waits on")
}
