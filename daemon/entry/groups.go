package entry

import (
	"context"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/groups"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// groupStallMs is the time without a step after which a group counts as stalled
// and gets no new work: 28 steps of 71 ms.
const groupStallMs = 2000

// stalledGroups returns the groups whose steps do not advance according to a
// target of the group. Ranks run in lockstep, so the report of one target is
// enough.
func (c *control) stalledGroups() map[string]bool {
	stalled := map[string]bool{}
	for _, ct := range c.connectedTargets {
		if g := ct.lastHeartbeat.GetGroup(); g != nil && g.GetLastStepAgeMs() >= groupStallMs {
			stalled[g.GetGroup()] = true
		}
	}
	return stalled
}

// runGroups coordinates the groups of this entry's data centre while it holds
// the lease.
func (e *Entry) runGroups(ctx context.Context) {
	e.groups.Store(groups.New(groups.Options{
		DataCentre: e.node.DataCentre,
		Lease:      e.lease,
		Config: func() *config.Config {
			if s := e.snapshot.Load(); s != nil {
				return s.config
			}
			return nil
		},
		SendOrder: e.sendGroupOrder,
	}))
	e.groups.Load().Run(ctx)
}

// sendGroupOrder sends an order to a target on a stream of its own and returns
// the result.
func (e *Entry) sendGroupOrder(ctx context.Context, target string, o *wirepb.Order) (*wirepb.OrderResult, error) {
	s, err := queryControl(ctx, e, func(c *control) *wire.Session {
		if ct := c.connectedTargets[target]; ct != nil {
			return ct.session
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if s == nil {
		return nil, errkind.New(errkind.TargetUnreachable, "no session with target %q", target)
	}
	o.Hlc = uint64(e.node.Clock.Now())
	st, err := s.Open(&wirepb.Open{Body: &wirepb.Open_Order{Order: o}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = st.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = st.SetReadDeadline(deadline)
	}
	var result wirepb.OrderResult
	if err := st.Recv(&result); err != nil {
		return nil, errkind.Wrap(err, errkind.TargetUnreachable, "no result of the order to target %s", target)
	}
	return &result, nil
}
