package locality

import "github.com/skylarkstep/skylarkstep/balancer"

const (
	// spillAt is the load of the local choice from which other data centres are
	// looked at: all of its slots are in use.
	spillAt = 1.0
	// spillMargin is what the remote load must stay under, as a share of the
	// local one. Without it, requests cross data centres on noise.
	spillMargin = 0.8
)

// Group is a policy over some of the targets of a snapshot.
type Group interface {
	// Choose returns the index of a target in the snapshot.
	Choose(r balancer.Request) (int, bool)
}

// NewGroup makes the group of a policy.
type NewGroup func(v *balancer.View, members []int32) Group

// Build returns a picker that applies the policy to the local targets and to the
// others.
func Build(s balancer.Snapshot, policy NewGroup) balancer.Picker {
	v := balancer.NewView(s.Targets)
	var local, remote []int32
	for i := range s.Targets {
		if s.Targets[i].DataCentre == s.DataCentre {
			local = append(local, int32(i))
		} else {
			remote = append(remote, int32(i))
		}
	}
	return &picker{view: v, local: policy(v, local), remote: policy(v, remote)}
}

type picker struct {
	view          *balancer.View
	local, remote Group
}

// Pick implements balancer.Picker.
func (p *picker) Pick(r balancer.Request) (int, error) {
	here, ok := p.local.Choose(r)
	if ok && !p.view.Targets[here].Slow && p.view.Load(here) < spillAt {
		return here, nil
	}
	r.Random = balancer.Mix(r.Random)
	there, found := p.remote.Choose(r)
	switch {
	case !ok && !found:
		return 0, balancer.ErrNoTarget
	case !ok, found && p.better(there, here):
		return there, nil
	default:
		return here, nil
	}
}

func (p *picker) better(there, here int) bool {
	a, b := &p.view.Targets[there], &p.view.Targets[here]
	if a.Slow != b.Slow {
		return b.Slow
	}
	return p.view.Load(there) < spillMargin*p.view.Load(here)
}
