package bench

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMain makes the test program act as the measured process if BENCH_KIND is
// set.
func TestMain(m *testing.M) {
	if kind := os.Getenv("BENCH_KIND"); kind != "" {
		o := ServeOptions{Route: Route(kind), ModelURL: os.Getenv("BENCH_MODEL"), ServiceURL: os.Getenv("BENCH_SERVICE")}
		if Serve(context.Background(), o, os.Stdin, os.Stdout) != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// Guards against a comparison that omits a route, and against a load that counts
// failed requests: every route must serve every request.
func TestRunMeasuresAllRoutes(t *testing.T) {
	results, err := Run(t.Context(), Options{
		Command: func(o ServeOptions) *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), "BENCH_KIND="+string(o.Route), "BENCH_MODEL="+o.ModelURL, "BENCH_SERVICE="+o.ServiceURL)
			return cmd
		},
		Duration: 100 * time.Millisecond, Concurrency: 4, Tokens: 8,
	})
	require.NoError(t, err)
	require.Len(t, results, 6)
	for i, r := range results {
		assert.Equal(t, []Route{Direct, Proxy, Path}[i%3], r.Route)
		assert.Positive(t, r.PerSecond)
		if r.Route != Direct {
			assert.Positive(t, r.PerCPUSecond)
			assert.Positive(t, r.Allocations)
		}
	}
}
