package e2e

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/groups"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
)

// Guards against a mismatch between the lease, the coordinator in an entry, the
// orders on the wire, the target process and the ranks, with each process run
// separately. A newly started group must form on its base map, and form again
// after a rank and then a target process and another rank are restarted.
func TestGroupFormsEndToEnd(t *testing.T) {
	c := twoByTwoConfig(t)
	g := config.Group{Name: "g1", Backend: "pintor-lm", DataCentre: "burgos", Ranks: 4, Experts: 8, Layers: 2, SlotsPerRank: 3}
	c.Inventory.Groups = []config.Group{g}
	c.Inventory.Targets[0].Group = g.Name
	require.Equal(t, g.Backend, c.Inventory.Targets[0].Backend)
	group := enginestandin.NewGroup(enginestandin.GroupOptions{Ranks: g.Ranks, LoadSteps: 3})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go group.Run(ctx, 10*time.Millisecond)

	k := startCluster(t, c, func(k *cluster) {
		k.wrapModel = func(target string, model http.Handler) http.Handler {
			if target != c.Inventory.Targets[0].Name {
				return model
			}
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/group/") {
					group.ServeHTTP(w, r)
					return
				}
				model.ServeHTTP(w, r)
			})
		}
	})
	requireRunning := func() {
		steps := group.Steps()
		require.Eventually(t, func() bool { return group.Steps() > steps+20 }, 2*waitTimeout, 20*time.Millisecond)
		p, err := group.Progress(ctx)
		require.NoError(t, err)
		require.Equal(t, groups.BaseMap(g).Version, p.MapVersion)
		require.Zero(t, group.Disagreements())
	}
	requireRunning()
	group.Restart(2)
	requireRunning()
	k.kill("pintor-lm-burgos")
	group.Restart(1)
	k.startTarget(c.Inventory.Targets[0])
	requireRunning()
}
