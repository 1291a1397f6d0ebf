package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
)

// Guards against a target process that accepts its full load right after a
// restart, while its engine is warming up. The engine can handle two concurrent
// requests then and fails under the load of both entries.
func TestRestartedTargetProcessStartsCold(t *testing.T) {
	c := twoByTwoConfig(t)
	c.Rules.Warmup = []config.WarmupRule{{Backend: "pintor-lm", Initial: 2, Factor: 2, IntervalMs: 60000}}
	c.Rules.Limits = []config.LimitRule{{Backend: "pintor-lm", Concurrency: 16, MaxWaitMs: 100}}
	k := startCluster(t, c)
	const name = "pintor-lm-burgos"
	k.kill(name)
	// The engine restarts together with the target process.
	model := enginestandin.NewModel(enginestandin.ModelOptions{
		TokenInterval: 2 * time.Millisecond, WarmingUp: true, WarmUpConcurrency: 2, WarmUp: time.Hour, OverloadFailureTime: time.Hour,
	})
	k.models[name] = model
	k.engineURLs[name] = k.serve(model)
	tg, ok := c.Target(name)
	require.True(t, ok)
	k.startTarget(tg)

	stop := k.callAllEntries(8)
	require.Eventually(t, func() bool { return model.Counts().Completed >= 50 }, waitTimeout, time.Millisecond)
	statuses := stop()
	n := model.Counts()
	t.Logf("responses by status: %v; engine: %+v", statuses, n)
	assert.Zero(t, n.Failed, "the engine failed while warming up")
	assert.Zero(t, statuses[http.StatusBadGateway], "the engine failed while warming up")
	assert.Greater(t, statuses[http.StatusOK], 50)
}

// callAllEntries sends requests to each entry from n callers until stop is called,
// which returns the number of responses by status.
func (k *cluster) callAllEntries(n int) (stop func() map[int]int) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	for i := range n * len(k.config.Inventory.Entries) {
		url := k.entryURL(i%len(k.config.Inventory.Entries)) + "/v1/completions"
		wg.Go(func() {
			for j := 0; ctx.Err() == nil; j++ {
				body := fmt.Sprintf(`{"model":"pintor","prompt":"caller %d request %d","max_tokens":8}`, i, j)
				res, err := k.request(http.MethodPost, url, customerKey, nil, []byte(body))
				if !assert.NoError(k.t, err) {
					return
				}
				mu.Lock()
				statuses[res.status]++
				mu.Unlock()
			}
		})
	}
	stop = func() map[int]int {
		cancel()
		wg.Wait()
		return statuses
	}
	k.t.Cleanup(func() { stop() })
	return stop
}
