// Package groups runs the coordinators of a data centre's rank groups. An entry
// holds this role by lease.
package groups

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/expertmap"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Lease is the lease of the coordinator role. Token returns its fencing number
// and whether the lease is still held.
type Lease interface {
	Token() (number uint64, valid bool)
}

// Orders and switches of groups.
const (
	orderKind     = "group.switch"
	orderTimeout  = 2 * time.Second
	tickInterval  = 250 * time.Millisecond
	defaultLead   = 100 // steps; 7 s at 71 ms a step, time to load the weights
	prepareBound  = 5 * time.Second
	auditInterval = 10 * time.Second
)

// Options are the parts that the caller of New provides.
type Options struct {
	DataCentre string
	Lease      Lease
	Config     func() *config.Config
	// SendOrder gives an order to a target and waits for the result.
	SendOrder func(ctx context.Context, target string, o *wirepb.Order) (*wirepb.OrderResult, error)
	// LeadSteps is the number of steps between a proposal and its switch; zero takes
	// the default.
	LeadSteps uint64
	// AuditInterval is the time between questions to an idle group, which find ranks
	// that restarted; zero takes the default.
	AuditInterval time.Duration
}

// Runner runs the coordinators.
type Runner struct {
	opts Options

	mu      sync.Mutex
	fencing uint64
	groups  map[string]*group
	wanted  map[string]uint64
}

type group struct {
	coord *expertmap.Coordinator
	since time.Time // of the present phase
	asked time.Time // start of the last round of questions
	known expertmap.MapID
	phase expertmap.CoordinatorPhase
}

// New returns a runner that does not run yet.
func New(o Options) *Runner {
	if o.LeadSteps == 0 {
		o.LeadSteps = defaultLead
	}
	if o.AuditInterval == 0 {
		o.AuditInterval = auditInterval
	}
	return &Runner{opts: o, groups: map[string]*group{}, wanted: map[string]uint64{}}
}

// SetDesiredMap names the digest of the map that a group is to use. The runner proposes
// it until the group uses it.
func (r *Runner) SetDesiredMap(name string, digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted[name] = digest
}

// Phase returns the phase of a group's coordinator and the last map that it
// knows to be decided.
func (r *Runner) Phase(name string) (expertmap.CoordinatorPhase, expertmap.MapID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[name]
	if g == nil {
		return expertmap.Asking, expertmap.MapID{}
	}
	return g.coord.Phase(), g.known
}

// Run drives the groups of the data centre until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		r.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// tick drives every group once. Groups run side by side so that an unreachable
// target holds up only its own group.
func (r *Runner) tick(ctx context.Context) {
	c := r.opts.Config()
	number, valid := r.opts.Lease.Token()
	if c == nil || !valid {
		return
	}
	if number != r.fencing {
		r.mu.Lock()
		r.fencing, r.groups = number, map[string]*group{}
		r.mu.Unlock()
	}
	var wait sync.WaitGroup
	for _, g := range c.Inventory.Groups {
		if g.DataCentre == r.opts.DataCentre {
			wait.Go(func() { r.drive(ctx, c, g) })
		}
	}
	wait.Wait()
}

func (r *Runner) group(g config.Group) *group {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.groups[g.Name]
	if state == nil {
		state = &group{coord: expertmap.NewCoordinator(r.fencing, g.Ranks, BaseMap(g)), since: time.Now()}
		r.groups[g.Name] = state
	}
	return state
}

// BaseMap identifies the round-robin map that a cold group starts with.
func BaseMap(g config.Group) expertmap.MapID {
	h := fnv.New64a()
	for _, n := range []int{g.Ranks, g.Experts, g.Layers, g.SlotsPerRank} {
		_, _ = h.Write([]byte(strconv.Itoa(n) + "/"))
	}
	return expertmap.MapID{Version: 1, Digest: h.Sum64()}
}

// drive sends the messages of a group until none is left or a rank does not
// answer.
func (r *Runner) drive(ctx context.Context, c *config.Config, g config.Group) {
	state := r.group(g)
	messages := r.begin(c, g, state)
	for len(messages) > 0 && ctx.Err() == nil {
		answers := r.exchange(ctx, c, g, messages)
		messages = nil
		r.mu.Lock()
		for _, a := range answers {
			messages = append(messages, state.coord.Handle(a)...)
		}
		if state.coord.Phase() == expertmap.Idle {
			state.known = state.coord.Status(0).Decided()
		}
		r.mu.Unlock()
	}
}

// begin returns the messages to send now.
func (r *Runner) begin(c *config.Config, g config.Group, state *group) []expertmap.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := state.coord.Phase(); p != state.phase {
		state.phase, state.since = p, time.Now()
	}
	age := time.Since(state.since)
	switch state.phase {
	case expertmap.Idle:
		if digest, ok := r.wanted[g.Name]; ok && !c.IsFrozen(g.Name) && state.coord.Status(0).Decided().Digest != digest {
			// The step must be named from fresh answers, or the ranks may have
			// passed it already.
			if time.Since(state.asked) > 2*tickInterval {
				return state.reask()
			}
			return state.coord.Propose(digest, r.step(state, g)+r.opts.LeadSteps)
		}
		if age >= r.opts.AuditInterval {
			return state.reask()
		}
	case expertmap.Preparing:
		if age >= prepareBound {
			return state.coord.GiveUp()
		}
	}
	return state.coord.Resend()
}

func (g *group) reask() []expertmap.Message {
	g.asked, g.since = time.Now(), time.Now()
	return g.coord.Reask()
}

func (r *Runner) step(state *group, g config.Group) uint64 {
	step := uint64(0)
	for i := range g.Ranks {
		step = max(step, state.coord.Status(i).Step)
	}
	return step
}

// exchange sends messages side by side and returns the answers that came.
func (r *Runner) exchange(ctx context.Context, c *config.Config, g config.Group, messages []expertmap.Message) []expertmap.Message {
	answers := make([]expertmap.Message, len(messages))
	var wait sync.WaitGroup
	for i, m := range messages {
		wait.Go(func() {
			if a, err := r.send(ctx, TargetOf(c, g, m.Rank), g.Name, m); err == nil {
				answers[i] = a
			}
		})
	}
	wait.Wait()
	return answers
}

// send checks the lease right before each order. A pause after the check is
// what fencing numbers are for.
func (r *Runner) send(ctx context.Context, target, name string, m expertmap.Message) (expertmap.Message, error) {
	var answer expertmap.Message
	if number, valid := r.opts.Lease.Token(); !valid || number != m.Fencing {
		return answer, errors.New("the coordinator lease is no longer held")
	}
	arguments, err := json.Marshal(m)
	if err != nil {
		return answer, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := r.opts.SendOrder(ctx, target, &wirepb.Order{
		Scope: "group/" + name, Fencing: m.Fencing, Kind: orderKind, Arguments: arguments,
	})
	if err != nil {
		return answer, err
	}
	if len(result.GetResult()) == 0 {
		return answer, errors.New(result.GetReason())
	}
	return answer, errors.WithStack(json.Unmarshal(result.GetResult(), &answer))
}

// TargetOf returns the target that runs a rank: the targets of the group, in
// the order of the inventory, run consecutive ranks.
func TargetOf(c *config.Config, g config.Group, rank int) string {
	var targets []string
	for _, t := range c.Inventory.Targets {
		if t.Group == g.Name {
			targets = append(targets, t.Name)
		}
	}
	if len(targets) == 0 || g.Ranks == 0 {
		return ""
	}
	return targets[rank*len(targets)/g.Ranks]
}
