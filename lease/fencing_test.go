package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/skylarkstep/skylarkstep/infra"
)

// maxExactInteger is the largest integer up to which all are exact in JSON readers
// that use floating-point numbers.
const maxExactInteger = 1<<53 - 1

// Guards against fencing numbers that repeat or go back after a restore, whichever
// number the store resumes at, and against numbers that JSON readers round.
func TestFencingNumbersIncreaseAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Int64Range(0, infra.MaxEra-1).Draw(t, "era")
		number := rapid.Int64Range(1, infra.MaxRevisionNumber-1).Draw(t, "number")
		lost := rapid.Int64Range(0, min(number, revisionsPerEra)-1).Draw(t, "lost")
		before, after := infra.NewRevision(era, number), infra.NewRevision(era+1, number-lost)
		require.Greater(t, FencingNumber(after), FencingNumber(before))
		require.Less(t, FencingNumber(before), FencingNumber(infra.NewRevision(era, number)+1))
	})
	require.EqualValues(t, 412, FencingNumber(412), "a store without eras")
	require.Less(t, FencingNumber(infra.NewRevision(infra.MaxEra, infra.MaxRevisionNumber)), uint64(maxExactInteger))
}
