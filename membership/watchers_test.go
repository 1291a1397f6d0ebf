package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against watchers that are all lost with one data centre, and against
// instances that select different watchers because they list the members in
// another order.
func TestWatchers(t *testing.T) {
	const n = 2
	var all []Member
	for i := range 9 {
		all = append(all, Member{Name: fmt.Sprintf("g%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	chosen := Watchers(all, n)
	require.Len(t, chosen, n)
	require.NotEqual(t, chosen[0].DataCentre, chosen[1].DataCentre)
	for seed := range uint64(20) {
		rand.New(rand.NewPCG(seed, seed)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		require.Equal(t, chosen, Watchers(all, n))
	}
	require.Len(t, Watchers([]Member{{Name: "a", DataCentre: "dc1"}}, n), 1)
	require.Len(t, Watchers([]Member{{Name: "a", DataCentre: "dc1"}, {Name: "b", DataCentre: "dc1"}, {Name: "c", DataCentre: "dc1"}}, n), n)
}
