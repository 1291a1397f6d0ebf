package entry

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/platform"
)

// Guards against a lagging or empty instance list that takes work away from
// instances that are live.
func TestInstanceListOnlyRemovesWhatIsLeaving(t *testing.T) {
	s := &config.Settings{Role: config.RoleEntry, Name: "e1"}
	c := newControl(t.Context(), New(Options{Settings: s, Node: node.New(s, io.Discard)}))
	leaving := platform.Instance{Name: "t1", State: platform.InstanceLeaving}
	live := platform.Instance{Name: "t2", State: platform.InstanceLive}
	for _, tc := range []struct {
		name string
		rows []platform.Instance
		want map[string]bool
	}{
		{"one leaves, one is not listed yet", []platform.Instance{leaving, live}, map[string]bool{"t1": true}},
		{"an empty list changes nothing", nil, map[string]bool{"t1": true}},
		{"it is back", []platform.Instance{{Name: "t1", State: platform.InstanceLive}, live}, map[string]bool{}},
	} {
		c.listed(tc.rows)
		assert.Equal(t, tc.want, c.leavingInstances, tc.name)
	}
}
