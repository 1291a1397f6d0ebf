package ranks

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Replays hundreds of instances that find a lease vacant at the same moment. Guards
// against all of them competing for it, with four calls to the store each.
func TestFewInstancesCompete(t *testing.T) {
	const instances = 300
	candidates := make([]candidacy, instances)
	competing := func() (n int) {
		for i := range candidates {
			if candidates[i].competes(true, instances) {
				n++
			}
		}
		return n
	}
	require.LessOrEqual(t, competing(), 15)
	for range 12 {
		competing()
	}
	require.Equal(t, instances, competing(), "all compete for a lease that stays vacant")
	require.False(t, candidates[0].competes(false, instances))
	require.Equal(t, candidacy{}, candidates[0])
}

// Guards against a deployment of few instances in which nobody competes for a while.
func TestSingleInstanceCompetesAtOnce(t *testing.T) {
	for _, instances := range []int{0, 1, 3} {
		require.True(t, new(candidacy).competes(true, instances), instances)
	}
}
