package standin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/errkind"
)

func discard(engine.Token) error { return nil }

// Guards against a stand-in that waits for something other than time, which would
// block tests in virtual time, and against wrong token timing.
func TestVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := standin.ModelOptions{FirstTokenDelay: 300 * time.Millisecond, TokenInterval: 50 * time.Millisecond, Concurrency: 1}
		m := standin.NewModel(opts)
		start := time.Now()
		_, err := m.Direct().Generate(t.Context(), engine.Generation{Prompt: "p", MaxTokens: 11}, discard)
		require.NoError(t, err)
		require.Equal(t, 800*time.Millisecond, time.Since(start))

		m.SetFaults(standin.ModelFaults{StallAfter: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err = m.Direct().Generate(ctx, engine.Generation{Prompt: "p", MaxTokens: 11}, discard)
		require.Equal(t, errkind.DeadlineExceeded, errkind.KindOf(err))
		require.Equal(t, standin.ModelCounts{Started: 2, Completed: 1, Cancelled: 1}, m.Counts())
	})
}

// Guards against a queue that ignores priority, keeps the entry of a caller that
// cancelled, or exceeds its limit.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewModel(standin.ModelOptions{FirstTokenDelay: time.Second, Concurrency: 1, QueueLimit: 3})
		finished := make(chan string, 3)
		run := func(ctx context.Context, name string, priority int) {
			go func() {
				_, err := m.Direct().Generate(ctx, engine.Generation{Prompt: name, Priority: priority, MaxTokens: 1}, discard)
				if err == nil {
					finished <- name
				} else {
					assert.Equal(t, errkind.NotRun, errkind.From(err).DidRun)
				}
			}()
			synctest.Wait()
		}
		cancelled, cancel := context.WithCancel(t.Context())
		run(t.Context(), "running", 0)
		run(t.Context(), "low", 0)
		run(cancelled, "left", 5)
		run(t.Context(), "high", 1)
		_, err := m.Direct().Generate(t.Context(), engine.Generation{Prompt: "p"}, discard)
		require.Equal(t, errkind.Overloaded, errkind.KindOf(err))
		load, err := m.Direct().Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, []int{1, 3, 3}, []int{load.Running, load.Queued, load.QueuedTokens})
		cancel()
		require.Equal(t, []string{"running", "high", "low"}, []string{<-finished, <-finished, <-finished})
	})
}

// Guards against an engine whose warm-up never ends.
func TestWarmUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := standin.NewModel(standin.ModelOptions{FirstTokenDelay: time.Second, WarmingUp: true, WarmUp: 10 * time.Second})
		runTwo := func() (failed int) {
			errs := make(chan error, 2)
			for range 2 {
				go func() {
					_, err := m.Direct().Generate(t.Context(), engine.Generation{Prompt: "p", MaxTokens: 1}, discard)
					errs <- err
				}()
			}
			for range 2 {
				if err := <-errs; err != nil {
					require.Equal(t, errkind.Cold, errkind.KindOf(err))
					failed++
				}
			}
			return failed
		}
		require.Equal(t, 1, runTwo())
		time.Sleep(10 * time.Second)
		require.Zero(t, runTwo())
		m.RestartWarmUp()
		require.Equal(t, 1, runTwo())
	})
}
