package entry

import (
	"context"

	gengroups "github.com/skylarkstep/skylarkstep/api/gen/groups"
	"github.com/skylarkstep/skylarkstep/config"
)

// groupService implements the goa service for rank groups.
type groupService struct{ *operatorService }

// List returns the state of the groups in the inventory.
func (s *groupService) List(ctx context.Context, _ *gengroups.ListPayload) ([]*gengroups.GroupState, error) {
	return queryControl(ctx, s.entry, (*control).groupStates)
}

func (c *control) groupStates() []*gengroups.GroupState {
	states := []*gengroups.GroupState{}
	cfg := c.replica.Config()
	if cfg == nil {
		return states
	}
	stalled := c.stalledGroups()
	for _, g := range cfg.Inventory.Groups {
		st := &gengroups.GroupState{
			Name: g.Name, DataCentre: g.DataCentre, Stalled: stalled[g.Name], Frozen: cfg.IsFrozen(g.Name),
		}
		c.fillFromReports(st, cfg)
		states = append(states, st)
	}
	return states
}

// fillFromReports fills in the report of the target that has seen the latest
// step.
func (c *control) fillFromReports(st *gengroups.GroupState, cfg *config.Config) {
	for _, t := range cfg.Inventory.Targets {
		ct := c.connectedTargets[t.Name]
		if t.Group != st.Name || ct == nil {
			continue
		}
		r := ct.lastHeartbeat.GetGroup()
		if r == nil || st.Reported && r.GetStep() < st.Step {
			continue
		}
		st.Reported = true
		st.MapVersion, st.Step, st.LastStepAgeMs = r.GetMapVersion(), r.GetStep(), r.GetLastStepAgeMs()
		st.Skew, st.Rebalancing = r.GetSkew(), r.GetRebalancing()
	}
}
