package lease

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// Guards against fencing numbers that are used by two holders or go back, and
// against a lease that nobody gets any more, under random restores, outages and lost
// replies. The holders keep their terms in outages, as coordinators do.
func TestNumbersIncreaseUnderRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 12).Draw(rt, "steps")
		waits := rapid.SliceOfN(rapid.IntRange(0, 4000), len(steps), len(steps)).Draw(rt, "waits")
		synctest.Test(t, func(t *testing.T) {
			kv := standin.NewKV()
			var mu sync.Mutex
			var acquired []uint64
			var holders []*Holder
			var stops []func()
			for _, id := range []string{"a", "b", "c"} {
				h, stop := startHolder(Options{
					KV: kv.Direct(), Key: "k", HolderID: id, Times: shortTimes, KeepDuringOutage: true,
					OnAcquired: func(n uint64) { mu.Lock(); acquired = append(acquired, n); mu.Unlock() },
				})
				holders, stops = append(holders, h), append(stops, stop)
			}
			older := kv.TakeCopy()
			for i, s := range steps {
				switch s {
				case 0, 1:
					older = kv.TakeCopy()
				case 2:
					kv.Restore(older)
				case 3:
					older.DropLeases()
					kv.Restore(older)
				case 4:
					kv.DropReplies(2)
				case 5:
					kv.SetRefuse(true)
				case 6:
					for range 20 {
						_, _ = kv.Direct().Commit(t.Context(), infra.Txn{Puts: []infra.Put{{Key: "other"}}})
					}
				}
				time.Sleep(time.Duration(waits[i]) * time.Millisecond)
				kv.SetRefuse(false)
			}
			time.Sleep(10 * time.Second)
			valid := 0
			for _, h := range holders {
				if _, ok := h.Token(); ok {
					valid++
				}
			}
			require.Equal(t, 1, valid, "holders after the faults")
			mu.Lock()
			for i := 1; i < len(acquired); i++ {
				require.Greater(t, acquired[i], acquired[i-1], fmt.Sprint(acquired))
			}
			mu.Unlock()
			for _, stop := range stops {
				stop()
			}
		})
	})
}
