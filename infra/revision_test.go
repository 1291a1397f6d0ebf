package infra

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against revisions of a restored store that count as older than those
// which the store gave out before, and against limits that overflow.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	ordered := []int64{
		0, NewRevision(0, 1), NewRevision(0, MaxRevisionNumber), NewRevision(1, 0), NewRevision(1, 412),
		NewRevision(2, 3), NewRevision(MaxEra, MaxRevisionNumber),
	}
	for i := 1; i < len(ordered); i++ {
		require.Greater(t, ordered[i], ordered[i-1])
	}
	require.EqualValues(t, 412, NewRevision(0, 412), "without eras, a revision is a plain number")
	require.EqualValues(t, 2, Era(NewRevision(2, 3)))
	require.EqualValues(t, 3, RevisionNumber(NewRevision(2, 3)))
	require.EqualValues(t, int64(math.MaxInt64), NewRevision(MaxEra+5, math.MaxInt64), "values beyond the limits are limited")
}
