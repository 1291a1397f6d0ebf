package dev

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
)

// The measurement of docs/CAPACITY.md runs only on demand:
//
//	go test ./ctl/dev -run TestMeasure -measure -v
var measure = flag.Bool("measure", false, "run the measurement behind docs/CAPACITY.md")

// Measures the calls to the key-value store in a deployment with three data
// centres and six entries: per second while it is idle, and per configuration
// change.
func TestMeasureStoreCalls(t *testing.T) {
	if !*measure {
		t.Skip("a measurement, run with -measure")
	}
	data, err := os.ReadFile("../../examples/cabina-norte.json")
	require.NoError(t, err)
	c, err := config.ParseConfig(data)
	require.NoError(t, err)
	ctx := context.Background()
	d, err := Start(ctx, Options{Config: c, AnyPorts: true})
	require.NoError(t, err)
	defer d.Close()
	require.NoError(t, d.WaitReady(ctx))
	time.Sleep(5 * time.Second)
	const idlePeriod = 20 * time.Second
	before := d.KV.Calls()
	time.Sleep(idlePeriod)
	after := d.KV.Calls()
	for kind, n := range after {
		t.Logf("idle: %s %.2f calls/s", kind, float64(n-before[kind])/idlePeriod.Seconds())
	}
	const changes = 10
	start := time.Now()
	for range changes / 2 {
		require.NoError(t, d.SetZone(ctx, zone, true))
		require.NoError(t, d.SetZone(ctx, zone, false))
	}
	took := time.Since(start)
	final := d.KV.Calls()
	for kind, n := range final {
		idle := float64(after[kind]-before[kind]) / idlePeriod.Seconds() * took.Seconds()
		t.Logf("change: %s %.1f calls each", kind, (float64(n-after[kind])-idle)/changes)
	}
	t.Logf("accepted and held by a majority in %s each", (took / changes).Round(time.Millisecond))
}
