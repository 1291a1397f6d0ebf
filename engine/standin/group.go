package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/expertmap"
)

// GroupOptions configures a Group.
type GroupOptions struct {
	Ranks int
	// CheckFencing gives each rank a fencing guard. Without it, the ranks accept
	// messages with any fencing number.
	CheckFencing bool
	// LoadSteps is the number of calls of Advance that loading a map takes.
	LoadSteps int
}

// Group is a rank group whose ranks run in lockstep. With each call of Advance,
// every rank that may do so enters one step.
type Group struct {
	opts GroupOptions
	mux  *http.ServeMux

	mu              sync.Mutex
	ranks           []*groupRank
	lastIncarnation uint64
	mapOfStep       map[groupStep]expertmap.MapID
	disagreedSteps  map[groupStep]bool
	idle            bool
}

type groupRank struct {
	rank         expertmap.Rank
	guard        expertmap.FencingGuard
	stalled      bool
	loadingSteps int
	stepTime     float64
}

type groupStep struct {
	generation expertmap.Generation
	step       uint64
}

var _ engine.Group = (*Group)(nil)

// NewGroup returns a group whose ranks have no expert map yet.
func NewGroup(o GroupOptions) *Group {
	g := &Group{opts: o, mapOfStep: map[groupStep]expertmap.MapID{}, disagreedSteps: map[groupStep]bool{}}
	g.ranks = make([]*groupRank, o.Ranks)
	for i := range g.ranks {
		g.restart(i)
	}
	g.mux = http.NewServeMux()
	g.mux.HandleFunc("POST /group/switch", func(w http.ResponseWriter, r *http.Request) {
		var m expertmap.Message
		err := json.NewDecoder(r.Body).Decode(&m)
		if err == nil {
			m, err = g.Switch(r.Context(), m)
		}
		reply(w, m, err)
	})
	g.mux.HandleFunc("GET /group/progress", func(w http.ResponseWriter, r *http.Request) {
		p, err := g.Progress(r.Context())
		reply(w, p, err)
	})
	return g
}

// ServeHTTP implements http.Handler.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

// restart replaces a rank by one without state. The caller holds g.mu.
func (g *Group) restart(i int) {
	g.lastIncarnation++
	g.ranks[i] = &groupRank{rank: expertmap.NewRank(i, g.lastIncarnation), stepTime: 1}
}

// Restart restarts a rank. The rank loses its expert map, its pending switch and the
// state of its fencing guard.
func (g *Group) Restart(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restart(i)
}

// Stall stops a rank between steps, or lets it continue. A stopped rank still
// replies to messages.
func (g *Group) Stall(i int, stalled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].stalled = stalled
}

// SetIdle sets whether the group is idle. An idle group takes no steps.
func (g *Group) SetIdle(idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = idle
}

// SetStepTime sets the time that a rank takes for a step.
func (g *Group) SetStepTime(i int, t float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].stepTime = t
}

// Disagreements returns the number of steps in which ranks used different maps.
func (g *Group) Disagreements() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.disagreedSteps)
}

// Steps returns the number of steps that at least one rank has entered.
func (g *Group) Steps() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.mapOfStep)
}

// Switch implements engine.Group.
func (g *Group) Switch(_ context.Context, m expertmap.Message) (expertmap.Message, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.Rank < 0 || m.Rank >= len(g.ranks) {
		return m, errkind.New(errkind.InvalidRequest, "group has no rank %d", m.Rank)
	}
	r := g.ranks[m.Rank]
	if !g.opts.CheckFencing {
		return r.rank.Handle(m), nil
	}
	in, ok := r.guard.Admit(m)
	if !ok {
		return in, nil
	}
	return r.guard.Reply(in, r.rank.Handle(in)), nil
}

// Run calls Advance at an interval until ctx ends.
func (g *Group) Run(ctx context.Context, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.Advance()
		}
	}
}

// Advance lets every rank continue to load its map, and enter its next step if the
// barrier is open.
func (g *Group) Advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle {
		return
	}
	mayEnter := make([]bool, len(g.ranks))
	for i, r := range g.ranks {
		mayEnter[i] = !r.stalled && g.barrierOpen(r.rank.Status())
	}
	for i, r := range g.ranks {
		g.advanceLoading(r)
		if mayEnter[i] {
			g.enterStep(r)
		}
	}
}

// advanceLoading counts one call of Advance towards the loading of the map that the
// rank wants, if any.
func (g *Group) advanceLoading(r *groupRank) {
	id, ok := r.rank.MapToLoad()
	if !ok {
		return
	}
	r.loadingSteps++
	if r.loadingSteps > g.opts.LoadSteps {
		r.loadingSteps = 0
		r.rank.MapLoaded(id)
	}
}

// barrierOpen reports whether all ranks have entered the step of a rank in state s,
// so that this rank may leave it.
func (g *Group) barrierOpen(s expertmap.Status) bool {
	for _, r := range g.ranks {
		o := r.rank.Status()
		if !o.Running || o.Generation != s.Generation || o.Step < s.Step {
			return false
		}
	}
	return true
}

// enterStep lets the rank enter its next step and records the map that it uses.
func (g *Group) enterStep(r *groupRank) {
	id, ok := r.rank.EnterNextStep()
	if !ok {
		return
	}
	step := groupStep{r.rank.Status().Generation, r.rank.Status().Step}
	if other, ok := g.mapOfStep[step]; ok && other != id {
		g.disagreedSteps[step] = true
	}
	g.mapOfStep[step] = id
}

// Progress implements engine.Group.
func (g *Group) Progress(context.Context) (engine.GroupProgress, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.ranks[0].rank.Status()
	p := engine.GroupProgress{Step: first.Step, MapVersion: first.Map.Version, Idle: g.idle}
	sum, slowest := 0.0, 0.0
	for _, r := range g.ranks {
		s := r.rank.Status()
		p.Step, p.MapVersion = min(p.Step, s.Step), min(p.MapVersion, s.Map.Version)
		_, wantsMap := r.rank.MapToLoad()
		p.Rebalancing = p.Rebalancing || wantsMap || s.Phase != expertmap.PhaseNone
		sum, slowest = sum+r.stepTime, max(slowest, r.stepTime)
	}
	p.Skew = slowest * float64(len(g.ranks)) / sum
	return p, nil
}
