package dev

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/infra"
)

// Guards against new work on a target that the instance list of the platform
// shows as leaving, and against a target that gets no work after it is live again.
func TestLeavingInstanceGetsNoNewWork(t *testing.T) {
	data, err := os.ReadFile("../../examples/cabina-norte.json")
	require.NoError(t, err)
	c, err := config.ParseConfig(data)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d, err := Start(ctx, Options{Config: c, AnyPorts: true})
	require.NoError(t, err)
	defer d.Close()
	require.NoError(t, d.WaitReady(ctx))
	calls := 0
	call := func() {
		calls++
		header := http.Header{"Content-Type": {"application/json"}}
		res, err := d.do(ctx, http.MethodPost, "/v1/services/cabina-app/slot-board", d.CustomerKey("flotas-duero"), header,
			fmt.Appendf(nil, `{"id":"call-%d"}`, calls))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, res.status, "%s", res.body)
	}
	const name = "cabina-app-burgos"
	getsWork := func() bool {
		before := d.Services[name].Executions()
		for range 20 {
			call()
		}
		return d.Services[name].Executions() > before
	}
	require.True(t, getsWork(), "the target in the entry's own data centre is preferred")
	d.Instances.Set(infra.Instance{Name: name, DataCentre: "burgos", Addr: "127.0.0.1:1", State: infra.InstanceLeaving})
	// Guarantee G7 allows a few seconds; an entry reads the list every 1 to 3 s.
	require.Eventually(t, func() bool { return !getsWork() }, 5*time.Second, 100*time.Millisecond)
	d.Instances.Set(infra.Instance{Name: name, DataCentre: "burgos", Addr: "127.0.0.1:1", State: infra.InstanceLive})
	require.Eventually(t, getsWork, 5*time.Second, 100*time.Millisecond)
}
