package entry

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/infra"
)

// Guards against an instance list that lags or is empty and withdraws live
// instances.
func TestInstanceListOnlyRemovesWhatIsLeaving(t *testing.T) {
	s := &config.Settings{Role: config.RoleEntry, Name: "e1"}
	c := newControl(t.Context(), New(Options{Settings: s, Node: node.New(s, io.Discard)}))
	leaving := infra.Instance{Name: "t1", State: infra.InstanceLeaving}
	live := infra.Instance{Name: "t2", State: infra.InstanceLive}
	for _, tc := range []struct {
		name string
		rows []infra.Instance
		want map[string]bool
	}{
		{"one leaves, one is not listed yet", []infra.Instance{leaving, live}, map[string]bool{"t1": true}},
		{"an empty list changes nothing", nil, map[string]bool{"t1": true}},
		{"it is live again", []infra.Instance{{Name: "t1", State: infra.InstanceLive}, live}, map[string]bool{}},
	} {
		c.applyInstanceList(tc.rows)
		assert.Equal(t, tc.want, c.leavingInstances, tc.name)
	}
}
