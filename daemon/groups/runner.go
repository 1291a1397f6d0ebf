// Package groups runs the coordinators of the rank groups of a data centre. The
// entry that holds the coordinator lease has this role.
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
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Lease is the lease of the coordinator role. Token returns its fencing number
// and whether the lease is still valid.
type Lease interface {
	Token() (number uint64, valid bool)
}

// Orders and map switches of groups.
const (
	orderKind            = "group.switch" // the same as target.OrderSwitch
	orderTimeout         = 2 * time.Second
	tickInterval         = 250 * time.Millisecond
	defaultLeadSteps     = 100             // steps; 7 s at 71 ms a step, enough to load the weights
	prepareTimeout       = 5 * time.Second // after which an unprepared switch is aborted
	defaultAuditInterval = 10 * time.Second
	// finishTimeout limits the time in which a stopping runner finishes what it
	// has begun, and finishInterval is the pause between two messages to a rank
	// that has not replied.
	finishTimeout  = 2 * time.Second
	finishInterval = 50 * time.Millisecond
)

// Options are the dependencies and settings of a Runner.
type Options struct {
	DataCentre string
	Lease      Lease
	Config     func() *config.Config
	// SendOrder sends an order to a target and waits for the result.
	SendOrder func(ctx context.Context, target string, o *wirepb.Order) (*wirepb.OrderResult, error)
	// LeadSteps is the number of steps between the highest step that a rank has
	// reported and the step of a proposed switch. Zero means the default.
	LeadSteps uint64
	// AuditInterval is the time between two queries to the ranks of an idle
	// group, which detect restarted ranks. Zero means the default.
	AuditInterval time.Duration
}

// Runner runs a coordinator for each group of a data centre while it holds the
// lease.
type Runner struct {
	opts Options

	mu      sync.Mutex
	fencing uint64
	groups  map[string]*group
	desired map[string]uint64
	// stopping is set when nothing new may be started.
	stopping bool
}

type group struct {
	coordinator *expertmap.Coordinator
	phaseStart  time.Time // of the current phase
	lastQuery   time.Time // start of the last query to the ranks
	decided     expertmap.MapID
	phase       expertmap.CoordinatorPhase
}

// New returns a runner; Run starts it.
func New(o Options) *Runner {
	if o.LeadSteps == 0 {
		o.LeadSteps = defaultLeadSteps
	}
	if o.AuditInterval == 0 {
		o.AuditInterval = defaultAuditInterval
	}
	return &Runner{opts: o, groups: map[string]*group{}, desired: map[string]uint64{}}
}

// SetDesiredMap sets the digest of the map that a group is to use. The runner
// proposes the map until the group uses it.
func (r *Runner) SetDesiredMap(group string, digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desired[group] = digest
}

// Phase returns the phase of a group's coordinator and the last map that the
// coordinator has seen as decided.
func (r *Runner) Phase(group string) (expertmap.CoordinatorPhase, expertmap.MapID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[group]
	if g == nil {
		return expertmap.Querying, expertmap.MapID{}
	}
	return g.coordinator.Phase(), g.decided
}

// Run coordinates the groups of the data centre until ctx ends. Then it finishes
// what it has begun, within finishTimeout: a group that is left in the middle of a
// switch or of a start may make no step until the next holder of the lease has
// queried it. The lease must be held until Run returns.
func (r *Runner) Run(ctx context.Context) {
	workCtx, endWork := ctxtime.Extend(ctx, finishTimeout)
	defer endWork()
	for ctx.Err() == nil {
		r.tick(workCtx)
		ctxtime.Sleep(ctx, tickInterval)
	}
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	for workCtx.Err() == nil && r.hasUnfinishedGroup() {
		r.tick(workCtx)
		ctxtime.Sleep(workCtx, finishInterval)
	}
}

// hasUnfinishedGroup reports whether this runner holds the lease and has begun
// something that a group has not completed.
func (r *Runner) hasUnfinishedGroup() bool {
	number, valid := r.opts.Lease.Token()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !valid || number != r.fencing {
		return false
	}
	for _, g := range r.groups {
		switch g.coordinator.Phase() {
		case expertmap.Querying, expertmap.Idle, expertmap.Superseded:
		default:
			return true
		}
	}
	return false
}

// tick calls driveGroup for every group. Groups run concurrently, so that an
// unreachable target delays only its own group.
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
			wait.Go(func() { r.driveGroup(ctx, c, g) })
		}
	}
	wait.Wait()
}

func (r *Runner) groupState(g config.Group) *group {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.groups[g.Name]
	if state == nil {
		state = &group{coordinator: expertmap.NewCoordinator(r.fencing, g.Ranks, BaseMap(g)), phaseStart: time.Now()}
		r.groups[g.Name] = state
	}
	return state
}

// BaseMap returns the id of the round-robin map with which a newly started group
// begins.
func BaseMap(g config.Group) expertmap.MapID {
	h := fnv.New64a()
	for _, n := range []int{g.Ranks, g.Experts, g.Layers, g.SlotsPerRank} {
		_, _ = h.Write([]byte(strconv.Itoa(n) + "/"))
	}
	return expertmap.MapID{Version: 1, Digest: h.Sum64()}
}

// driveGroup sends the messages of a group's coordinator. It passes the replies
// to the coordinator and sends the messages that follow from them, until there
// are none.
func (r *Runner) driveGroup(ctx context.Context, c *config.Config, g config.Group) {
	state := r.groupState(g)
	messages := r.nextMessages(c, g, state)
	for len(messages) > 0 && ctx.Err() == nil {
		replies := r.exchange(ctx, c, g, messages)
		messages = nil
		r.mu.Lock()
		for _, reply := range replies {
			messages = append(messages, state.coordinator.Handle(reply)...)
		}
		if state.coordinator.Phase() == expertmap.Idle {
			state.decided = state.coordinator.Status(0).Decided()
		}
		r.mu.Unlock()
	}
}

// nextMessages returns the messages that the coordinator of a group must send
// now.
func (r *Runner) nextMessages(c *config.Config, g config.Group, state *group) []expertmap.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := state.coordinator.Phase(); p != state.phase {
		state.phase, state.phaseStart = p, time.Now()
	}
	if r.stopping {
		return state.finishingMessages()
	}
	age := time.Since(state.phaseStart)
	switch state.phase {
	case expertmap.Idle:
		if digest, ok := r.desired[g.Name]; ok && !c.IsFrozen(g.Name) && state.coordinator.Status(0).Decided().Digest != digest {
			// The step must be derived from recent replies. Otherwise the ranks may
			// already be past it.
			if time.Since(state.lastQuery) > 2*tickInterval {
				return state.queryRanks()
			}
			return state.coordinator.Propose(digest, r.latestStep(state, g)+r.opts.LeadSteps)
		}
		if age >= r.opts.AuditInterval {
			return state.queryRanks()
		}
	case expertmap.Preparing:
		if age >= prepareTimeout {
			return state.coordinator.AbortSwitch()
		}
	}
	return state.coordinator.Resend()
}

// finishingMessages returns the messages that complete what has begun. A switch
// that is not decided is aborted.
func (g *group) finishingMessages() []expertmap.Message {
	switch g.phase {
	case expertmap.Querying, expertmap.Idle:
		return nil
	case expertmap.Preparing:
		return g.coordinator.AbortSwitch()
	default:
		return g.coordinator.Resend()
	}
}

func (g *group) queryRanks() []expertmap.Message {
	g.lastQuery, g.phaseStart = time.Now(), time.Now()
	return g.coordinator.Requery()
}

func (r *Runner) latestStep(state *group, g config.Group) uint64 {
	step := uint64(0)
	for i := range g.Ranks {
		step = max(step, state.coordinator.Status(i).Step)
	}
	return step
}

// exchange sends messages concurrently and returns one reply per message, which
// is zero if none was received.
func (r *Runner) exchange(ctx context.Context, c *config.Config, g config.Group, messages []expertmap.Message) []expertmap.Message {
	replies := make([]expertmap.Message, len(messages))
	var wait sync.WaitGroup
	for i, m := range messages {
		wait.Go(func() {
			if reply, err := r.send(ctx, TargetOf(c, g, m.Rank), g.Name, m); err == nil {
				replies[i] = reply
			}
		})
	}
	wait.Wait()
	return replies
}

// send sends one message as an order. It checks the lease immediately before.
// If the process is paused after the check, the fencing number protects the
// ranks from the late order.
func (r *Runner) send(ctx context.Context, target, group string, m expertmap.Message) (expertmap.Message, error) {
	var reply expertmap.Message
	if number, valid := r.opts.Lease.Token(); !valid || number != m.Fencing {
		return reply, errors.New("the coordinator lease is no longer held")
	}
	arguments, err := json.Marshal(m)
	if err != nil {
		return reply, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := r.opts.SendOrder(ctx, target, &wirepb.Order{
		Scope: "group/" + group, Fencing: m.Fencing, Kind: orderKind, Arguments: arguments,
	})
	if err != nil {
		return reply, err
	}
	if len(result.GetResult()) == 0 {
		return reply, errors.New(result.GetReason())
	}
	return reply, errors.WithStack(json.Unmarshal(result.GetResult(), &reply))
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
