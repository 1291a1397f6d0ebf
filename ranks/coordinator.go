package ranks

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"time"

	"github.com/skylarkstep/skylarkstep/expertmap/plan"
	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// roundInterval is the pause between rounds while no switch is in progress,
	// shiftRoundInterval the one while the expert load seems to shift, and
	// switchRoundInterval the pause during a switch.
	roundInterval       = 150 * time.Millisecond
	shiftRoundInterval  = 50 * time.Millisecond
	switchRoundInterval = 10 * time.Millisecond
)

// coordinator plans and switches the maps of one group during one term.
type coordinator struct {
	log         *slog.Logger
	token       lease.Token
	links       *links
	shape       *routing.ExpertShape
	loadTracker *plan.Tracker

	fencing        uint64
	maps           *mapCounter
	history        *switchover.History
	plan           switchover.Plan
	currentMap     switchover.Map
	currentVersion uint64 // of currentMap
	mapKnown       bool
	noPlanUntil    time.Time
	lossyUntil     time.Time
	// supersededFencing is the fencing number with which a rank has refused an
	// order because another coordinator has used a higher one.
	supersededFencing uint64
	lastPrepare       map[int]sentPrepare
	phase             switchover.Phase
	pace              stepPace
	// stepHeld is set while the group may be kept from beginning a step, or some
	// ranks are armed and others are not. stopping is set when no new switch may
	// be started.
	stepHeld, stopping bool
	slowdowns          []float64
	// onSlowRanks is called with the slowdown factors of slow ranks by address;
	// it may be nil. reportedSlow is the argument of the last call.
	onSlowRanks  func(byAddr map[string]float64)
	reportedSlow map[string]float64
	// onLoad is called with the load of the group after each round; it may be nil.
	// rankLoads holds the latest load of each rank as of loadRecordedAt, and rankRepliedAt
	// when the query began to which it has replied last.
	onLoad         func(*routing.GroupLoad)
	rankLoads      []routing.RankLoad
	rankRepliedAt  []time.Time
	loadRecordedAt time.Time
}

// slowThreshold is the slowdown factor from which a rank counts as slow; a
// healthy rank has 1.
const slowThreshold = 1.2

func newCoordinator(log *slog.Logger, l *links, shape *routing.ExpertShape) *coordinator {
	return &coordinator{
		log: log, links: l, shape: shape, lastPrepare: map[int]sentPrepare{}, maps: &mapCounter{}, history: switchover.NewHistory(claimVersion(0)),
		loadTracker: plan.NewTracker(shape.Sets, shape.Experts, plan.DefaultTrackerRules),
	}
}

// runRound queries all ranks, sends the orders that follow from their states
// and returns the pause until the next round.
func (c *coordinator) runRound(ctx context.Context) time.Duration {
	fencing, valid := c.token.Token()
	if !valid || fencing == c.supersededFencing {
		return roundInterval
	}
	if !c.enterTerm(fencing) {
		return roundInterval
	}
	queriedAt := time.Now()
	reports := c.links.queryAll(ctx, ReportQuery{Counts: c.mayReadCounts(), Placement: !c.mapKnown})
	now := time.Now()
	states := make([]switchover.State, len(reports))
	for i, r := range reports {
		states[i] = r.State
	}
	c.observeCounts(reports, now)
	c.slowdowns = c.slowdowns[:0]
	for _, r := range reports {
		c.slowdowns = append(c.slowdowns, max(1, r.Slowdown))
	}
	c.reportSlowRanks()
	c.updateCurrentMap(reports, states)
	c.reportLoad(reports, queriedAt, now)
	c.replan(states, now)
	c.observePace(states, now)
	phase := c.advanceSwitch(ctx, states, now)
	switch phase {
	case switchover.Settled, switchover.Unready:
		if c.loadTracker.Shifting() {
			return shiftRoundInterval
		}
		return roundInterval
	case switchover.Preparing, switchover.Armed, switchover.Outdated:
		return 5 * switchRoundInterval
	default:
		return switchRoundInterval
	}
}

// coordinatesUnder reports whether the coordinator has begun to use the number of a
// token, or has used none yet. Another one would lack the history of its orders.
func (c *coordinator) coordinatesUnder(token lease.Token) bool {
	fencing, _ := token.Token()
	return c.fencing == 0 || c.fencing == fencing
}

// enterTerm prepares for rounds under a fencing number. It returns false if this
// process has used a higher number since: the ranks refuse the lower one.
func (c *coordinator) enterTerm(fencing uint64) bool {
	inherited, takenOver := c.token.(takenOverToken)
	c.maps.resume(fencing, inherited.Maps)
	planned, current := c.maps.planned(fencing)
	if fencing != c.fencing {
		c.fencing, c.plan, c.mapKnown = fencing, switchover.Plan{}, false
		c.history = switchover.NewHistory(claimVersion(fencing))
		if takenOver {
			c.history.Inherit(maxLeadSteps)
		}
		c.log.Info("coordinating", "fencing", fencing)
		if planned > 0 || takenOver || !current {
			c.log.Info("term goes on", "fencing", fencing, "maps", planned, "taken_over", takenOver, "superseded", !current)
		}
	}
	if !current {
		c.supersededFencing = fencing
	}
	return current
}

// observePace records the progress of the group, and sets how far ahead the next
// switch holds a step.
func (c *coordinator) observePace(states []switchover.State, now time.Time) {
	step, epoch := uint64(0), uint64(0)
	for _, s := range states {
		if s.Reported {
			step, epoch = max(step, s.Step), max(epoch, s.Epoch)
		}
	}
	if epoch > 0 {
		c.pace.observe(epoch, step, now)
	}
	lead := leadTime
	if now.Before(c.lossyUntil) {
		lead = lossyLeadTime
	}
	c.plan.LeadSteps = c.pace.leadSteps(lead)
}

// reportSlowRanks calls onSlowRanks if the slow ranks or their slowdown factors
// have changed. Slow ranks should get fewer requests, since every forward pass
// of the group waits for the slowest rank.
func (c *coordinator) reportSlowRanks() {
	if c.onSlowRanks == nil {
		return
	}
	slow := map[string]float64{}
	for i, k := range c.links.byRank {
		if i < len(c.slowdowns) && c.slowdowns[i] >= slowThreshold && k.advertisedAddr != "" {
			slow[k.advertisedAddr] = math.Round(c.slowdowns[i]*10) / 10
		}
	}
	if !maps.Equal(slow, c.reportedSlow) {
		c.reportedSlow = slow
		c.log.Info("slow ranks changed", "slow", len(slow))
		c.onSlowRanks(slow)
	}
}

// advanceSwitch sends the orders that follow from the states. While a step is
// held or ranks are being armed, it continues from the confirmations of the
// ranks without querying them again, since the group serves no requests once
// the held step is reached.
func (c *coordinator) advanceSwitch(ctx context.Context, states []switchover.State, now time.Time) switchover.Phase {
	for {
		phase, orders := c.history.Decide(states, c.plan)
		c.setPhase(phase, states)
		c.recordProgress(phase, orders)
		orders = c.withoutBusyPrepares(orders, now)
		confirmed := c.sendOrders(ctx, orders)
		if len(orders) == 0 || !confirmed || phase != switchover.Holding && phase != switchover.Arming {
			return phase
		}
		confirmedAt := time.Now()
		for _, o := range orders {
			states[o.Rank] = states[o.Rank].After(o, confirmedAt)
		}
	}
}

// recordProgress records whether the group may be held after a decision. A group
// whose states are not known may still be.
func (c *coordinator) recordProgress(phase switchover.Phase, orders []switchover.Order) {
	switch phase {
	case switchover.Unready, switchover.Claiming, switchover.Outdated:
	case switchover.Holding, switchover.Arming, switchover.Armed:
		c.stepHeld = len(orders) > 0
	default:
		c.stepHeld = false
	}
}

// finishSwitch releases a held step before the process stops: it runs rounds, in
// which no new switch is started, until no step is held or ctx ends. A held group
// serves no requests.
func (c *coordinator) finishSwitch(ctx context.Context) {
	c.stopping = true
	for c.stepHeld && !c.isSuperseded() && ctx.Err() == nil {
		ctxtime.Sleep(ctx, c.runRound(ctx))
	}
}

// isSuperseded reports whether a rank has refused the current fencing number.
func (c *coordinator) isSuperseded() bool {
	return c.supersededFencing != 0 && c.supersededFencing == c.fencing
}

// mayReadCounts reports whether counts may be read in this round. They are not
// read while a switch waits for orders: only if the phase is not yet known, the
// group is unready or settled, or all ranks are armed.
func (c *coordinator) mayReadCounts() bool {
	return c.phase == switchover.Settled || c.phase == switchover.Unready || c.phase == switchover.Armed || c.phase == ""
}

func (c *coordinator) setPhase(phase switchover.Phase, states []switchover.State) {
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
