package ranks

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/expertmap/plan"
	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
)

const (
	// roundInterval is the pause between rounds while no switch is in progress,
	// and switchRoundInterval the pause during a switch.
	roundInterval       = 150 * time.Millisecond
	switchRoundInterval = 10 * time.Millisecond
	// prepareRetryInterval is the time that a rank has for copying experts
	// before the prepare order is sent again.
	prepareRetryInterval = 1500 * time.Millisecond
	// refusedReplanDelay is the pause before a new plan after a rank has
	// refused a map.
	refusedReplanDelay = 500 * time.Millisecond
	// versionsPerTerm is the number of map versions reserved for each term. Later
	// terms have higher fencing numbers (lease.FencingNumber), so they have higher
	// versions.
	versionsPerTerm = 1_000_000
	// maxMapFencing is the highest fencing number whose map versions are below
	// 2^53. Readers of JSON may round larger numbers, so that two maps would have
	// the same version.
	maxMapFencing = (1<<53-1)/versionsPerTerm - 1
	// versionsExhaustedDelay is the pause before the next attempt to plan a map in a
	// term without versions.
	versionsExhaustedDelay = time.Minute
)

// mapVersion returns the version of a map by its number in a term, or false if the
// term has no version left for it.
func mapVersion(fencing, number uint64) (uint64, bool) {
	if fencing > maxMapFencing || number >= versionsPerTerm {
		return 0, false
	}
	return fencing*versionsPerTerm + number, true
}

// claimVersion returns a version that no map has: maps are counted from 1.
func claimVersion(fencing uint64) uint64 { return fencing * versionsPerTerm }

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
}

// slowThreshold is the slowdown factor from which a rank counts as slow; a
// healthy rank has 1.
const slowThreshold = 1.2

// sentPrepare is the last prepare order that a rank has accepted or may have
// accepted. Without an answer, at is the time of the first order of the version.
type sentPrepare struct {
	version  uint64
	at       time.Time
	answered bool
}

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
	c.replan(states, now)
	c.observePace(states, now)
	phase := c.advanceSwitch(ctx, states, now)
	switch phase {
	case switchover.Settled, switchover.Unready:
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
		c.log.Info("coordinating", "fencing", fencing, "maps", planned, "taken_over", takenOver, "superseded", !current)
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

// updateCurrentMap records which map the ranks use, once all report the same. A
// map that this coordinator did not plan is assembled from their placements.
func (c *coordinator) updateCurrentMap(reports []Report, states []switchover.State) {
	if len(states) == 0 || !allOnSameMap(states) {
		return
	}
	version := states[0].MapVersion
	switch {
	case c.mapKnown && version == c.currentVersion:
	case c.plan.Version != 0 && version == c.plan.Version:
		c.currentMap, c.currentVersion, c.mapKnown = c.plan.Map, version, true
		c.loadTracker.MapChanged(time.Now())
	default:
		c.mapKnown = false
		if m, ok := assembleMap(reports, c.shape); ok {
			c.currentMap, c.currentVersion, c.mapKnown = m, version, true
			c.plan = switchover.Plan{}
		}
	}
}

func allOnSameMap(states []switchover.State) bool {
	for _, s := range states {
		if !s.Reported || s.MapVersion != states[0].MapVersion || s.Epoch != states[0].Epoch {
			return false
		}
	}
	return true
}

// assembleMap builds the map of the group from the placements that the ranks
// report. It fails if a placement does not fit the shape, for instance because
// the configuration has changed.
func assembleMap(reports []Report, shape *routing.ExpertShape) (switchover.Map, bool) {
	m := make(switchover.Map, shape.Sets)
	for _, r := range reports {
		if len(r.Placement) != shape.Sets {
			return nil, false
		}
		for s, experts := range r.Placement {
			if slices.ContainsFunc(experts, func(e int) bool { return e < 0 || e >= shape.Experts }) {
				return nil, false
			}
			m[s] = append(m[s], experts)
		}
	}
	return m, true
}

// replan plans a better map if no switch is in progress.
func (c *coordinator) replan(states []switchover.State, now time.Time) {
	if c.stopping {
		c.plan = switchover.Plan{}
		return
	}
	if !c.mapKnown || len(states) == 0 || now.Before(c.noPlanUntil) {
		return
	}
	if c.plan.Version != 0 && c.plan.Version != c.currentVersion {
		return // a switch is in progress
	}
	planned, _ := c.maps.planned(c.fencing)
	version, ok := mapVersion(c.fencing, planned+1)
	if !ok {
		c.log.Error("no map version left in this term", "fencing", c.fencing, "maps", planned)
		c.noPlanUntil = now.Add(versionsExhaustedDelay)
		return
	}
	limits := plan.Limits{SlotsPerRank: c.shape.SlotsPerRank, NewPerRank: c.shape.MaxNewPerRank, Slowdowns: c.slowdowns}
	proposal, ok := c.loadTracker.Propose(c.currentMap, limits, now)
	if !ok {
		return
	}
	c.maps.add()
	c.plan = switchover.Plan{Version: version, Map: proposal.Map, HoldRank: int(planned + 1)}
	c.log.Info("map planned", "version", c.plan.Version, "peak", proposal.MaxRankLoad, "planned_peak", proposal.PlannedMaxRankLoad, "copies", proposal.Copies,
		"choices", c.loadTracker.Activations())
}

// observeCounts passes the reported counts to the load tracker.
func (c *coordinator) observeCounts(reports []Report, now time.Time) {
	var samples []plan.Sample
	for _, r := range reports {
		if len(r.Counts) > 0 {
			samples = append(samples, plan.Sample{Rank: r.Rank, StartedAtMs: r.StartedAtMs, Counts: r.Counts})
		}
	}
	if len(samples) > 0 {
		c.loadTracker.Observe(samples, now)
	}
}

// withoutBusyPrepares returns the orders without the prepare orders that a rank
// is still carrying out.
func (c *coordinator) withoutBusyPrepares(orders []switchover.Order, now time.Time) []switchover.Order {
	var out []switchover.Order
	for _, o := range orders {
		s := c.lastPrepare[o.Rank]
		if o.Operation == switchover.Prepare && s.answered && s.version == o.Version && now.Sub(s.at) < prepareRetryInterval {
			continue
		}
		out = append(out, o)
	}
	return out
}

// sendOrders sends orders and reports whether all ranks have confirmed them.
func (c *coordinator) sendOrders(ctx context.Context, orders []switchover.Order) (confirmed bool) {
	confirmed = true
	duplicates := 1
	if time.Now().Before(c.lossyUntil) {
		duplicates = lossyDuplicates
	}
	results := c.links.sendOrders(ctx, orders, c.fencing, duplicates, c.token)
	settledAt := time.Now()
	for _, res := range results {
		o := res.order
		confirmed = confirmed && res.outcome == Done
		if res.outcome != NotSent {
			c.history.Record(o, res.outcome == Done, settledAt)
		}
		if res.outcome == NoReply {
			c.lossyUntil = time.Now().Add(lossyPeriod)
		}
		switch {
		case res.outcome == Done && o.Operation == switchover.Prepare:
			c.lastPrepare[o.Rank] = sentPrepare{version: o.Version, at: time.Now(), answered: true}
		case res.outcome == NoReply && o.Operation == switchover.Prepare:
			c.recordUnansweredPrepare(o, time.Now())
		case res.outcome == Refused && o.Operation == switchover.Prepare:
			c.handleRefusedPrepare(o, res.err, time.Now())
		case res.outcome == Fenced:
			c.supersededFencing = c.fencing
			c.log.Warn("order fenced", "rank", o.Rank, "operation", string(o.Operation), "fencing", c.fencing)
		}
		c.log.Info("order", "operation", string(o.Operation), "rank", o.Rank, "version", o.Version, "step", o.Step,
			"epoch", o.Epoch, "fencing", c.fencing, "outcome", outcomeNames[res.outcome])
	}
	return confirmed
}

// recordUnansweredPrepare records a prepare order that the rank may have
// accepted.
func (c *coordinator) recordUnansweredPrepare(o switchover.Order, now time.Time) {
	if c.lastPrepare[o.Rank].version != o.Version {
		c.lastPrepare[o.Rank] = sentPrepare{version: o.Version, at: now}
	}
}

// handleRefusedPrepare drops the plan unless an order of the same version was
// sent without an answer before. A rank refuses a version that it has had, so
// the refusal may mean that it is copying the experts. It then has as much time
// for that as if it had confirmed the order.
func (c *coordinator) handleRefusedPrepare(o switchover.Order, reason string, now time.Time) {
	s := c.lastPrepare[o.Rank]
	if s.version == o.Version && !s.answered && now.Sub(s.at) < prepareRetryInterval {
		s.answered = true
		c.lastPrepare[o.Rank] = s
		return
	}
	c.log.Warn("map refused", "rank", o.Rank, "version", o.Version, "error", reason)
	c.plan, c.mapKnown = switchover.Plan{}, false
	c.noPlanUntil = now.Add(refusedReplanDelay)
}

var outcomeNames = [...]string{NoReply: "no answer", Done: "done", Refused: "refused", Fenced: "fenced", NotSent: "not sent"}
