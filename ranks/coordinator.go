package ranks

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"time"

	"github.com/skylarkstep/skylarkstep/expertmap/plan"
	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// roundPause is the pause between rounds of an idle group, and switchPause
	// that during a switch.
	roundPause  = 150 * time.Millisecond
	switchPause = 10 * time.Millisecond
	// holdLead is the number of steps between the last one begun and the one that
	// is held: a step that is too close may begin before the order arrives.
	// lossyLead leaves more time for orders that must be given again.
	holdLead  = 4
	lossyLead = 10
	// prepareWait is how long a rank may copy experts before it is asked again.
	prepareWait = 1500 * time.Millisecond
	// refusedPause is the pause after a rank refused an order.
	refusedPause = 500 * time.Millisecond
	// versionsPerTerm separates the versions of terms: the fencing number of a
	// term is a revision of the service and higher than all before.
	versionsPerTerm = 1_000_000
)

// coordinator plans and switches the maps of one group for one term.
type coordinator struct {
	log    *slog.Logger
	token  lease.Token
	links  *links
	shape  *routing.ExpertShape
	demand *plan.Tracker

	fencing uint64
	counter uint64
	plan    switchover.Plan
	present switchover.Map
	version uint64 // of present
	known   bool
	quietTo time.Time
	lossyTo time.Time
	// deposed is the fencing number with which a rank has refused an order,
	// since another coordinator has used a higher one.
	deposed  uint64
	sent     map[int]sentOrder
	phase    switchover.Phase
	slowness []float64
	// slow is told the addresses of slow ranks and how slow they are; nil is
	// allowed. told is what it was told last.
	slow func(byAddr map[string]float64)
	told map[string]float64
}

// slowFrom is the slowness, against 1 for a sound rank, from which a rank counts as
// slow.
const slowFrom = 1.2

// sentOrder is the last prepare that a rank has accepted.
type sentOrder struct {
	version uint64
	at      time.Time
}

func newCoordinator(log *slog.Logger, l *links, shape *routing.ExpertShape) *coordinator {
	return &coordinator{
		log: log, links: l, shape: shape, sent: map[int]sentOrder{},
		demand: plan.NewTracker(shape.Sets, shape.Experts, plan.DefaultTrackerRules),
	}
}

// round reads all ranks, sends the orders that follow and returns the pause
// until the next round.
func (c *coordinator) round(ctx context.Context) time.Duration {
	fencing, valid := c.token.Token()
	if !valid || fencing == c.deposed {
		return roundPause
	}
	if fencing != c.fencing {
		c.fencing, c.counter, c.plan, c.known = fencing, 0, switchover.Plan{}, false
		if t, ok := c.token.(adoptedToken); ok {
			c.counter = t.Maps
		}
		c.log.Info("coordinating", "fencing", fencing)
	}
	reports := c.links.askAll(ctx, ReportQuery{Counts: c.settled(), Placement: !c.known})
	now := time.Now()
	states := make([]switchover.State, len(reports))
	for i, r := range reports {
		states[i] = r.State
	}
	c.observe(reports, now)
	c.slowness = c.slowness[:0]
	for _, r := range reports {
		c.slowness = append(c.slowness, max(1, r.Slowdown))
	}
	c.tellSlow()
	c.learn(reports, states)
	c.replan(states, now)
	c.plan.LeadSteps = holdLead
	if now.Before(c.lossyTo) {
		c.plan.LeadSteps = lossyLead
	}
	phase := c.step(ctx, states, now)
	switch phase {
	case switchover.Settled, switchover.Unready:
		return roundPause
	case switchover.Preparing, switchover.Armed:
		return 5 * switchPause
	default:
		return switchPause
	}
}

// tellSlow tells which ranks are slow, if that has changed. They should get fewer
// requests, since the slowest one holds up the passes of all.
func (c *coordinator) tellSlow() {
	if c.slow == nil {
		return
	}
	now := map[string]float64{}
	for i, k := range c.links.byRank {
		if i < len(c.slowness) && c.slowness[i] >= slowFrom && k.rank != "" {
			now[k.rank] = math.Round(c.slowness[i]*10) / 10
		}
	}
	if !maps.Equal(now, c.told) {
		c.told = now
		c.log.Info("slow ranks changed", "slow", len(now))
		c.slow(now)
	}
}

// step sends the orders that follow from the states. While a step is held, it
// goes on from the ranks' own confirmations without reading them again, since
// nobody is served once the held step is reached.
func (c *coordinator) step(ctx context.Context, states []switchover.State, now time.Time) switchover.Phase {
	for {
		phase, orders := switchover.Decide(states, c.plan)
		c.enter(phase, states)
		orders = c.due(orders, now)
		confirmed := c.send(ctx, orders)
		if len(orders) == 0 || !confirmed || phase != switchover.Holding && phase != switchover.Arming {
			return phase
		}
		for _, o := range orders {
			states[o.Rank] = states[o.Rank].After(o)
		}
	}
}

// settled reports whether no switch is under way, so that counts may be read.
func (c *coordinator) settled() bool {
	return c.phase == switchover.Settled || c.phase == switchover.Unready || c.phase == switchover.Armed || c.phase == ""
}

func (c *coordinator) enter(phase switchover.Phase, states []switchover.State) {
	if phase == c.phase {
		return
	}
	attrs := []any{"phase", string(phase), "was", string(c.phase), "version", c.plan.Version, "ranks", len(states)}
	if len(states) > 0 {
		attrs = append(attrs, "epoch", states[0].Epoch, "step", states[0].Step, "map", states[0].MapVersion)
	}
	c.log.Info("switch phase", attrs...)
	c.phase = phase
}

// learn keeps track of the map that the ranks use.
func (c *coordinator) learn(reports []Report, states []switchover.State) {
	if len(states) == 0 || !sameMap(states) {
		return
	}
	version := states[0].MapVersion
	switch {
	case c.known && version == c.version:
	case c.plan.Version != 0 && version == c.plan.Version:
		c.present, c.version, c.known = c.plan.Map, version, true
		c.demand.MapChanged(time.Now())
	default:
		c.known = false
		if m, ok := collect(reports, c.shape.Sets); ok {
			c.present, c.version, c.known = m, version, true
			c.plan = switchover.Plan{}
		}
	}
}

func sameMap(states []switchover.State) bool {
	for _, s := range states {
		if !s.Reported || s.MapVersion != states[0].MapVersion || s.Epoch != states[0].Epoch {
			return false
		}
	}
	return true
}

// collect puts together the map that the ranks report.
func collect(reports []Report, sets int) (switchover.Map, bool) {
	m := make(switchover.Map, sets)
	for _, r := range reports {
		if len(r.Placement) != sets {
			return nil, false
		}
		for s, experts := range r.Placement {
			m[s] = append(m[s], experts)
		}
	}
	return m, true
}

// replan chooses a better map for a settled group.
func (c *coordinator) replan(states []switchover.State, now time.Time) {
	if !c.known || len(states) == 0 || now.Before(c.quietTo) {
		return
	}
	if c.plan.Version != 0 && c.plan.Version != c.version {
		return // under way
	}
	limits := plan.Limits{SlotsPerRank: c.shape.Places, NewPerRank: c.shape.Spare, Slowdowns: c.slowness}
	p, ok := c.demand.Propose(c.present, limits, now)
	if !ok {
		return
	}
	c.counter++
	c.plan = switchover.Plan{Version: c.fencing*versionsPerTerm + c.counter, Map: p.Map, HoldRank: int(c.counter)}
	c.log.Info("map planned", "version", c.plan.Version, "peak", p.MaxRankLoad, "planned_peak", p.PlannedMaxRankLoad, "copies", p.Copies,
		"choices", c.demand.Activations())
}

// observe takes in the counts of the ranks that were read.
func (c *coordinator) observe(reports []Report, now time.Time) {
	var samples []plan.Sample
	for _, r := range reports {
		if len(r.Counts) > 0 {
			samples = append(samples, plan.Sample{Rank: r.Rank, StartedAtMs: r.StartedAtMs, Counts: r.Counts})
		}
	}
	if len(samples) > 0 {
		c.demand.Observe(samples, now)
	}
}

// due leaves out prepares that a rank is still busy with.
func (c *coordinator) due(orders []switchover.Order, now time.Time) []switchover.Order {
	var out []switchover.Order
	for _, o := range orders {
		s := c.sent[o.Rank]
		if o.Operation == switchover.Prepare && s.version == o.Version && now.Sub(s.at) < prepareWait {
			continue
		}
		out = append(out, o)
	}
	return out
}

// send gives orders and reports whether all ranks have confirmed them.
func (c *coordinator) send(ctx context.Context, orders []switchover.Order) (confirmed bool) {
	confirmed = true
	copies := 1
	if time.Now().Before(c.lossyTo) {
		copies = lossyCopies
	}
	for _, res := range c.links.orderAll(ctx, orders, c.fencing, copies, c.token) {
		o := res.order
		confirmed = confirmed && res.outcome == Done
		if res.outcome == NoReply {
			c.lossyTo = time.Now().Add(lossyMemory)
		}
		switch {
		case res.outcome == Done && o.Operation == switchover.Prepare:
			c.sent[o.Rank] = sentOrder{o.Version, time.Now()}
		case res.outcome == Refused && o.Operation == switchover.Prepare:
			c.log.Warn("map refused", "rank", o.Rank, "version", o.Version, "error", res.err)
			c.plan, c.known = switchover.Plan{}, false
			c.quietTo = time.Now().Add(refusedPause)
		case res.outcome == Fenced:
			c.deposed = c.fencing
			c.log.Warn("order fenced", "rank", o.Rank, "operation", string(o.Operation), "fencing", c.fencing)
		}
		c.log.Info("order", "operation", string(o.Operation), "rank", o.Rank, "version", o.Version, "step", o.Step,
			"epoch", o.Epoch, "fencing", c.fencing, "outcome", outcomeNames[res.outcome])
	}
	return confirmed
}

var outcomeNames = [...]string{NoReply: "no answer", Done: "done", Refused: "refused", Fenced: "fenced"}
