package dev

import (
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
)

// Guards against a stream that is cut when the deployment is told to stop.
func TestShutdownCompletesStreams(t *testing.T) {
	data, err := os.ReadFile("../../examples/cabina-norte.json")
	require.NoError(t, err)
	c, err := config.ParseConfig(data)
	require.NoError(t, err)
	c.Rules.AddressTTLMs = 500 // the entries serve for that long when they stop
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d, err := Start(ctx, Options{Config: c, AnyPorts: true, Model: enginestandin.ModelOptions{TokenInterval: 20 * time.Millisecond, ResponseTokens: 50}})
	require.NoError(t, err)
	defer d.Close()
	require.NoError(t, d.WaitReady(ctx))
	type result struct {
		res *response
		err error
	}
	results := make(chan result, 1)
	go func() {
		res, err := d.do(ctx, http.MethodPost, "/v1/completions", d.CustomerKey("flotas-duero"),
			http.Header{"Content-Type": {"application/json"}}, []byte(`{"model":"pintor","prompt":"which booth is free?","max_tokens":50}`))
		results <- result{res, err}
	}()
	require.Eventually(t, func() bool {
		for _, m := range d.Models {
			if m.Counts().Started > 0 {
				return true
			}
		}
		return false
	}, 5*time.Second, time.Millisecond)
	d.Shutdown(ctx)
	r := <-results
	require.NoError(t, r.err, "the stream was cut")
	require.Contains(t, string(r.res.body), "event: done")
}

// Guards against one more HTTP server for each restart of a target.
func TestRestartedTargetUsesItsServer(t *testing.T) {
	data, err := os.ReadFile("../../examples/cabina-norte.json")
	require.NoError(t, err)
	c, err := config.ParseConfig(data)
	require.NoError(t, err)
	d, err := Start(t.Context(), Options{Config: c, AnyPorts: true})
	require.NoError(t, err)
	defer d.Close()
	servers := len(d.closers)
	for _, target := range d.Config.Inventory.Targets[:2] {
		require.NoError(t, d.Kill(target.Name))
		require.NoError(t, d.StartTarget(target))
	}
	require.Len(t, d.closers, servers)
}
