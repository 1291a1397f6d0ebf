package locality

import "github.com/skylarkstep/skylarkstep/balancer"

const (
	// spillLoad is the load of the local choice from which other data centres are
	// considered. At 1, all slots of the target are in use.
	spillLoad = 1.0
	// spillMargin is the share of the local load that the remote load must stay
	// below. Without it, noise in the loads would move requests to other data
	// centres.
	spillMargin = 0.8
)

// Chooser applies a policy to some of the targets of a snapshot.
type Chooser interface {
	// Choose returns the index of a target in the snapshot, or false if none of its
	// targets is usable.
	Choose(r balancer.Request) (int, bool)
}

// NewChooser makes the chooser of a policy for the targets with the given indices.
type NewChooser func(v *balancer.View, candidates []int32) Chooser

// Build returns a picker that applies the policy to the local targets and to the
// remote ones.
func Build(s balancer.Snapshot, newChooser NewChooser) balancer.Picker {
	v := balancer.NewView(s.Targets)
	var local, remote []int32
	for i := range s.Targets {
		if s.Targets[i].DataCentre == s.DataCentre {
			local = append(local, int32(i))
		} else {
			remote = append(remote, int32(i))
		}
	}
	return &picker{view: v, local: newChooser(v, local), remote: newChooser(v, remote)}
}

type picker struct {
	view          *balancer.View
	local, remote Chooser
}

// Pick implements balancer.Picker.
func (p *picker) Pick(r balancer.Request) (int, error) {
	localPick, localOK := p.local.Choose(r)
	if localOK && !p.view.Targets[localPick].Slow && p.view.Load(localPick) < spillLoad {
		return localPick, nil
	}
	r.Random = balancer.Mix(r.Random)
	remotePick, remoteOK := p.remote.Choose(r)
	switch {
	case !localOK && !remoteOK:
		return 0, balancer.ErrNoTarget
	case !localOK, remoteOK && p.remoteIsBetter(remotePick, localPick):
		return remotePick, nil
	default:
		return localPick, nil
	}
}

func (p *picker) remoteIsBetter(remotePick, localPick int) bool {
	a, b := &p.view.Targets[remotePick], &p.view.Targets[localPick]
	if a.Slow != b.Slow {
		return b.Slow
	}
	return p.view.Load(remotePick) < spillMargin*p.view.Load(localPick)
}
