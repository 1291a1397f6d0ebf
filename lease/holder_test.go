package lease

import (
	"context"
	"flag"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/standin"
)

// TestMain fixes the seed of the property tests, so that every run checks the
// same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// candidate is a holder that records its events.
type candidate struct {
	*Holder
	mu       sync.Mutex
	acquired []uint64
	lost     []string
	cancel   context.CancelFunc
	done     chan struct{}
}

func startCandidate(kv *standin.KV, name string) *candidate {
	c := &candidate{done: make(chan struct{})}
	c.Holder = New(Options{
		KV: kv.Direct(), Key: "lease/burgos", HolderID: name,
		OnAcquired: func(n uint64) { c.mu.Lock(); c.acquired = append(c.acquired, n); c.mu.Unlock() },
		OnLost:     func(_ uint64, reason string) { c.mu.Lock(); c.lost = append(c.lost, reason); c.mu.Unlock() },
	})
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(c.done)
		c.Run(ctx)
	}()
	return c
}

func (c *candidate) stop() {
	c.cancel()
	<-c.done
}

// runAndCheck advances time in small steps. At each step it checks that at most
// one candidate may send orders and that fencing numbers only increase.
func runAndCheck(t require.TestingT, d time.Duration, cs ...*candidate) (last uint64) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		valid := 0
		for _, c := range cs {
			if n, ok := c.Token(); ok {
				valid++
				require.GreaterOrEqual(t, n, last)
				last = n
			}
		}
		require.LessOrEqual(t, valid, 1, "two candidates may send orders")
	}
	return last
}

// Guards against a lease that is lost or acquired twice because the reply to a
// renewal or a release was lost.
func TestLostRepliesAreResolved(t *testing.T) {
	for name, causeLostReply := range map[string]func(*standin.KV, *candidate){
		"renewal": func(kv *standin.KV, c *candidate) { kv.DropReplies(1); runAndCheck(t, 2*DefaultRenewInterval, c) },
		"release": func(kv *standin.KV, c *candidate) { kv.DropReplies(1); c.stop() },
		"release that did not arrive": func(kv *standin.KV, c *candidate) {
			kv.SetRefuse(true)
			time.AfterFunc(retryInterval/2, func() { kv.SetRefuse(false) })
			c.stop()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := standin.NewKV()
				a := startCandidate(kv, "a")
				require.NotZero(t, runAndCheck(t, 5*time.Second, a))
				causeLostReply(kv, a)
				if name == "renewal" {
					assert.Len(t, a.acquired, 1, "a lost reply must not cost the lease")
					assert.Empty(t, a.lost)
					a.stop()
				}
				// A released lease is free at once, not only after its TTL.
				b := startCandidate(kv, "b")
				assert.NotZero(t, runAndCheck(t, pollInterval+DefaultStartDelay+time.Second, b))
				b.stop()
			})
		})
	}
}

// Guards against a key that blocks all candidates because the reply to its
// write was lost.
func TestLostReplyOnTake(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		synctest.Test(t, func(t *testing.T) {
			kv := standin.NewKV()
			kv.DropReplies(lost) // that of the grant, then that of the write of the key
			a := startCandidate(kv, "a")
			assert.NotZero(t, runAndCheck(t, 6*time.Second, a))
			a.stop()
		})
	}
}

// Guards against a holder that continues to send orders while its lease may
// have expired, and against a successor that starts too early.
func TestOutageEndsTermBeforeLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		a, b := startCandidate(kv, "a"), startCandidate(kv, "b")
		first := runAndCheck(t, 10*time.Second, a, b)
		kv.SetStall(true)
		runAndCheck(t, DefaultTTL-DefaultMargin+time.Second, a, b)
		_, av := a.Token()
		_, bv := b.Token()
		assert.False(t, av || bv, "an order may be sent although no renewal succeeded for the TTL")
		kv.SetStall(false)
		assert.Greater(t, runAndCheck(t, 15*time.Second, a, b), first)
		a.stop()
		b.stop()
	})
}

// Guards against two holders that may send orders at the same time under random
// outages, lost replies and expired leases. Each case is a sequence of events
// in virtual time.
func TestAtMostOneEffectiveHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 4), 1, 12).Draw(rt, "steps")
		waits := rapid.SliceOfN(rapid.IntRange(100, 8000), len(steps), len(steps)).Draw(rt, "waits")
		synctest.Test(t, func(t *testing.T) {
			kv := standin.NewKV()
			cs := []*candidate{startCandidate(kv, "a"), startCandidate(kv, "b"), startCandidate(kv, "c")}
			for i, s := range steps {
				switch s {
				case 0:
					kv.DropReplies(2)
				case 1:
					kv.SetStall(true)
				case 2:
					kv.SetRefuse(true)
				case 3:
					kv.SetLatency(900 * time.Millisecond)
				case 4:
					kv.SetLatency(0)
				}
				runAndCheck(t, time.Duration(waits[i])*time.Millisecond, cs...)
				kv.SetStall(false)
				kv.SetRefuse(false)
			}
			kv.SetLatency(0)
			assert.NotZero(t, runAndCheck(t, 30*time.Second, cs...), "nobody holds the lease after the faults")
			for _, c := range cs {
				c.stop()
			}
		})
	})
}

// Guards against a process that was paused past the end of its lease and sends
// an order when it continues, before its other goroutines run.
func TestPausedHolderStopsByItsOwnClock(t *testing.T) {
	now := time.Now()
	term := newTerm(7, now, now, DefaultTimes)
	assert.False(t, term.valid(now), "a new holder waits for the start delay")
	assert.True(t, term.valid(now.Add(DefaultStartDelay)))
	assert.True(t, term.valid(now.Add(DefaultTTL-DefaultMargin-1)))
	assert.False(t, term.valid(now.Add(DefaultTTL-DefaultMargin)))
	late := now.Add(DefaultTTL)
	assert.False(t, term.extended(late, late).valid(late), "a renewal must not extend a term that has expired")
}

// startHolder runs a holder until stop is called.
func startHolder(o Options) (h *Holder, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	h = New(o)
	done := make(chan struct{})
	go func() { h.Run(ctx); close(done) }()
	return h, func() { cancel(); <-done }
}

// Guards against a holder that stops in an outage of the store although its
// receivers check fencing numbers, and against one that keeps its number after
// its lease has expired.
func TestPersistentHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		h, stop := startHolder(Options{KV: kv.Direct(), Key: "k", HolderID: "a", KeepDuringOutage: true, Times: Times{TTL: 3 * time.Second, RenewInterval: time.Second, Margin: time.Second}})
		defer stop()
		time.Sleep(2 * time.Second)
		number, valid := h.Token()
		require.True(t, valid)
		kv.SetRefuse(true)
		time.Sleep(10 * time.Second)
		still, valid := h.Token()
		require.True(t, valid)
		require.Equal(t, number, still)
		kv.SetRefuse(false)
		time.Sleep(4 * time.Second)
		next, valid := h.Token()
		require.True(t, valid)
		require.Greater(t, next, number, "the lease expired in the outage, so the number must be new")
	})
}

// Guards against waiting for the lease of a holder that is known to be down to
// expire, and against a fencing number that does not increase.
func TestDeadHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		_, err := kv.Direct().Commit(t.Context(), infra.Txn{Puts: []infra.Put{{Key: "k", Value: []byte("former")}}})
		require.NoError(t, err)
		previous, _, err := kv.Direct().Get(t.Context(), "k")
		require.NoError(t, err)
		h, stop := startHolder(Options{KV: kv.Direct(), Key: "k", HolderID: "b", HolderDown: func(holder string) bool { return holder == "former" }, Times: Times{TTL: 3 * time.Second, RenewInterval: time.Second, Margin: time.Second}})
		defer stop()
		time.Sleep(10 * time.Millisecond)
		number, valid := h.Token()
		require.True(t, valid)
		require.Greater(t, number, uint64(previous.ModRevision))
	})
}

// Guards against a holder that keeps a fencing number which its receivers
// refuse, so that nobody can send orders, and against a late resignation that
// ends the next term.
func TestResign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewKV()
		h, stop := startHolder(Options{KV: kv.Direct(), Key: "k", HolderID: "a", Times: Times{TTL: 3 * time.Second, RenewInterval: time.Second, Margin: time.Second}})
		defer stop()
		time.Sleep(10 * time.Millisecond)
		first, valid := h.Token()
		require.True(t, valid)
		h.Resign(first)
		time.Sleep(5 * time.Second)
		second, valid := h.Token()
		require.True(t, valid)
		require.Greater(t, second, first)
		h.Resign(first)
		time.Sleep(5 * time.Second)
		third, valid := h.Token()
		require.True(t, valid)
		require.Equal(t, second, third)
	})
}
