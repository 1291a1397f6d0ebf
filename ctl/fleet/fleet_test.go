package fleet

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func readScenario(t *testing.T, name string) *Scenario {
	data, err := os.ReadFile("../../scenarios/" + name + ".json")
	require.NoError(t, err)
	require.True(t, IsScenario(data))
	s, err := ParseScenario(data)
	require.NoError(t, err)
	return s
}

// Guards against parts that crash target after target beside other faults, and
// against limits that targets name in vain. The long runs are started by hand with
// skylarkctl load --seeds.
func TestPromisesBesideFaults(t *testing.T) {
	for _, name := range []string{"part-crashes", "target-limits", "request-crashes", "request-crashes-streams", "target-rests"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rep, err := Run(t.Context(), readScenario(t, name), nil)
			require.NoError(t, err)
			require.Empty(t, rep.Violations)
			require.Positive(t, rep.Requests)
		})
	}
}

// Guards against a check that does not notice what it is for.
func TestChecksFindBrokenPromises(t *testing.T) {
	s := readScenario(t, "part-crashes")
	f := &Fleet{scenario: s, ctx: t.Context(), start: time.Now()}
	at := func(s float64) time.Time { return f.start.Add(time.Duration(s * float64(time.Second))) }
	for k := range toleratedCrashes {
		f.crashes = append(f.crashes, crashAt{at(5 + 0.1*float64(k)), "bad"})
	}
	limit := 2.0
	culprit, limited := &target{id: "culprit"}, &target{id: "limited", limitedAt: at(1), told: map[string]time.Time{"g1": at(1)}}
	limited.limit.Store(&limit)
	for k := range 2 * toleratedSends {
		culprit.arrivals = append(culprit.arrivals, arrivalAt{at: at(9 + 0.1*float64(k)), gateway: "g1", culprit: "bad"})
	}
	for k := range 18 {
		limited.arrivals = append(limited.arrivals, arrivalAt{at: at(10 + 0.1*float64(k)), gateway: "g1"})
	}
	f.targets = []*target{culprit, limited}
	for k := range 30 {
		f.outcomes = append(f.outcomes, outcome{at: time.Duration(k) * 100 * time.Millisecond, complete: true})
		f.outcomes = append(f.outcomes, outcome{at: 12*time.Second + time.Duration(k)*100*time.Millisecond})
	}
	f.outcomes = append(f.outcomes, outcome{id: "x", notRun: true})
	f.ran.Store("x", true)
	violations := f.report().Violations
	for _, expected := range []string{"bad: 6 requests", "sound requests: 0.00", "target limited", "request x was reported as not run"} {
		require.True(t, containsText(violations, expected), "%q in %q", expected, violations)
	}
	f.excused = []excuse{{"g1", at(0), at(60)}}
	require.False(t, containsText(f.report().Violations, "target limited"), "an instance that was cut off is excused")
}

func containsText(texts []string, part string) bool {
	for _, text := range texts {
		if len(text) >= len(part) && text[:len(part)] == part {
			return true
		}
	}
	return false
}

// Guards against moments that differ between two runs with one seed.
func TestFaultTimesDependOnSeedOnly(t *testing.T) {
	a, b := readScenario(t, "part-crashes"), readScenario(t, "part-crashes")
	require.Equal(t, a.faultTimes(), b.faultTimes())
	b.Seed++
	require.NotEqual(t, a.faultTimes(), b.faultTimes())
}

// Guards against a scenario whose misspelt fields are ignored.
func TestInvalidScenario(t *testing.T) {
	_, err := ParseScenario([]byte(`{"name":"x","seed":1,"duration_ms":1000,"fleet":{"gateways":1},"flows":[{"name":"a","rate":1}]}`))
	require.ErrorContains(t, err, "rate_per_s")
	require.ErrorContains(t, err, "targets")
}
