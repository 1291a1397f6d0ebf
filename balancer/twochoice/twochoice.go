package twochoice

import (
	"math/rand/v2"

	"github.com/skylarkstep/skylarkstep/balancer"
)

// Builder builds pickers that compare two random targets.
type Builder struct{}

// Name implements balancer.Builder.
func (Builder) Name() string { return "two_choice" }

// Build implements balancer.Builder.
func (Builder) Build(s balancer.Snapshot) balancer.Picker {
	p := &picker{targets: s.Targets}
	for i, t := range s.Targets {
		if t.DataCentre == s.DataCentre {
			p.local = append(p.local, i)
		}
		p.all = append(p.all, i)
	}
	return p
}

type picker struct {
	targets []balancer.Target
	local   []int
	all     []int
}

// Pick implements balancer.Picker.
func (p *picker) Pick(r balancer.Request) (int, error) {
	for _, pool := range [][]int{p.local, p.all} {
		if i, ok := p.pickFrom(pool, r); ok {
			return i, nil
		}
	}
	return 0, balancer.ErrNoTarget
}

func (p *picker) pickFrom(pool []int, r balancer.Request) (int, bool) {
	if len(pool) == 0 {
		return 0, false
	}
	rng := rand.New(rand.NewPCG(r.Random, uint64(len(pool))))
	best, found := 0, 0
	start := rng.IntN(len(pool))
	for k := range pool {
		i := pool[(start+k)%len(pool)]
		if !p.usable(i, r) {
			continue
		}
		if found == 0 || p.load(i) < p.load(best) {
			best = i
		}
		if found++; found == 2 {
			break
		}
	}
	return best, found > 0
}

func (p *picker) usable(i int, r balancer.Request) bool {
	t := &p.targets[i]
	if r.Allowed != nil && !r.Allowed(t.DataCentre) {
		return false
	}
	return r.Avoid == nil || !r.Avoid(t.Name)
}

func (p *picker) load(i int) int64 {
	t := &p.targets[i]
	if t.Sent == nil {
		return int64(t.Running + t.Queued)
	}
	return int64(t.Running+t.Queued) + t.Sent.Requests.Load()
}
