package groupadmission

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/routing/concurrency"
	"github.com/skylarkstep/skylarkstep/routing/groupqueue"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// calmLoadInterval is the pause between loads that differ little, and
	// loadInterval the least pause between others.
	calmLoadInterval = 400 * time.Millisecond
	loadInterval     = 100 * time.Millisecond
	// noticeableChange is the change of a load, as a share of the limit, that is sent
	// without a further pause.
	noticeableChange = 0.05
	// limitInterval is the pause between calculations of a limit.
	limitInterval = 500 * time.Millisecond
	// meterFrom is the load, as a share of the limit, from which on requests need a
	// place, and meterUntil the share below which they do not any longer.
	meterFrom, meterUntil = 0.8, 0.65
	// grantInterval is the pause between checks for free places while requests wait.
	grantInterval = 10 * time.Millisecond
	// firstPartPasses is the number of passes until the first part of a response has
	// arrived: the one in progress and that of the request.
	firstPartPasses = 2
	// noLimit stands for a group without a limit.
	noLimit = 1e9
	// maxLoadByte stands for this number of requests at a rank or more.
	maxLoadByte = math.MaxUint8
)

// Backend describes the back end of a rank group.
type Backend struct {
	Model concurrency.Model
	// GapGoal is the strictest goal for the pauses of streams of the back end.
	GapGoal time.Duration
	// Slots is the number of requests that a rank processes at the same time.
	Slots int
}

// ServerOptions are the settings of a server.
type ServerOptions struct {
	// Backend describes a back end; it returns false if requests to it need no place.
	Backend func(name string) (Backend, bool)
	// LastLimit returns the limit that another coordinator of a group has sent last, or
	// 0 if there is none.
	LastLimit func(group string) float64
	Log       *slog.Logger
	Registry  metrics.Registry
}

// Server serves the groups that this process coordinates.
type Server struct {
	o ServerOptions

	// wake has a value when requests have begun to wait.
	wake chan struct{}

	mu     sync.Mutex
	groups map[string]*servedGroup
}

// servedGroup is a group that this process coordinates.
type servedGroup struct {
	name        string
	limiter     *concurrency.Limiter
	model       concurrency.Model
	queue       *groupqueue.Queue
	load        routing.GroupLoad
	sentSince   []int // places granted at each rank since the load
	limit       float64
	limitAt     time.Time
	metered     bool
	subscribers map[string]subscriber
	sent        *wirepb.GroupLoad // the last load that was sent
	sentAt      time.Time
}

// subscriber receives the messages for one instance. It must not block.
type subscriber func(*wirepb.AdmissionFrame)

// NewServer returns a server that coordinates no group yet.
func NewServer(o ServerOptions) *Server {
	return &Server{o: o, wake: make(chan struct{}, 1), groups: map[string]*servedGroup{}}
}

// Run grants places that become free between two loads, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.grantDue() {
			ctxtime.Sleep(ctx, grantInterval)
			continue
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
		}
	}
}

// SetLoad records the load of a group that this process coordinates.
func (s *Server) SetLoad(l *routing.GroupLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	g := s.groups[l.Group]
	if g == nil {
		g = s.newGroup(l.Group)
	}
	g.load, g.sentSince = *l, make([]int, len(l.Ranks))
	s.updateLimit(g, now)
	g.queue.SetLoad(g.queueLoad(now), now)
	s.deliver(g, g.queue.Next(now))
	s.updateMetering(g, now)
	g.announce(now)
}

// newGroup adds a group. The caller holds s.mu.
func (s *Server) newGroup(name string) *servedGroup {
	g := &servedGroup{name: name, queue: groupqueue.New(), subscribers: map[string]subscriber{}}
	s.groups[name] = g
	return g
}

// EndLoad records that this process does not coordinate a group any longer. Requests
// that wait are let go: their instances find the next coordinator.
func (s *Server) EndLoad(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[group]
	if g == nil {
		return
	}
	delete(s.groups, group)
	for _, send := range g.subscribers {
		send(&wirepb.AdmissionFrame{Body: &wirepb.AdmissionFrame_Load{Load: &wirepb.GroupLoad{Group: group, Ended: true}}})
	}
}

// updateLimit records the pace of the group and derives its limit. The caller holds
// s.mu.
func (s *Server) updateLimit(g *servedGroup, now time.Time) {
	b, ok := s.o.Backend(g.load.Backend)
	if !ok {
		g.limiter, g.limit = nil, noLimit
		return
	}
	if g.limiter == nil || g.model != b.Model {
		g.model, g.limiter, g.limitAt = b.Model, concurrency.NewLimiter(b.Model), time.Time{}
		g.limiter.Inherit(s.o.LastLimit(g.name)/g.ranks(), now)
	}
	g.limiter.Observe(concurrency.Observation{
		Pace: b.Model.Pace(g.load.Imbalance, g.load.Slowdown), RequestsPerRank: g.perRank(), Passes: g.load.Step,
	}, now)
	if now.Sub(g.limitAt) < limitInterval {
		return
	}
	if g.limiter.KnowsPace() {
		g.limitAt = now
	}
	before := g.limit
	g.limit = g.limiter.Limit(b.GapGoal, b.Slots, now) * g.ranks()
	s.gauge(g, "limit").Update(int64(g.limit))
	if math.Abs(g.limit-before) > noticeableChange*g.limit {
		latest, slowest := g.limiter.Pace()
		s.o.Log.Info("group limit changed", "group", g.name, "limit", g.limit, "was", before, "in_progress", float64(g.load.Requests()),
			"pace", latest, "slowest_pace", slowest, "gap_goal_ms", b.GapGoal.Milliseconds(), "age_ms", now.Sub(g.load.AsOf).Milliseconds())
	}
}

// ranks returns the number of ranks that serve requests, at least 1.
func (g *servedGroup) ranks() float64 {
	return float64(max(1, g.load.Responsive()))
}

// perRank returns the mean number of requests at a rank.
func (g *servedGroup) perRank() float64 {
	return float64(g.load.Requests()) / g.ranks()
}

// queueLoad returns the load by which the queue decides. A group without a limit, or
// one that cannot serve, keeps nobody waiting: other parts of the gateway decide then.
func (g *servedGroup) queueLoad(now time.Time) groupqueue.Load {
	if g.limiter == nil || !g.load.Open {
		return groupqueue.Load{AsOf: now, Limit: noLimit}
	}
	n := float64(g.load.Requests())
	pass, fullPass := g.limiter.PassTime(g.perRank()), g.limiter.PassTime(g.limit/g.ranks())
	return groupqueue.Load{
		AsOf: g.load.AsOf, InProgress: n, Limit: g.limit, FirstPart: firstPartPasses * pass,
		Rate: n / g.model.ResponseTime(pass).Seconds(), FullRate: g.limit / g.model.ResponseTime(fullPass).Seconds(),
	}
}

// updateMetering decides whether requests need a place. The caller holds s.mu.
func (s *Server) updateMetering(g *servedGroup, now time.Time) {
	n := g.queue.InProgress(now)
	was := g.metered
	switch {
	case g.queue.Waiting() > 0 || n >= meterFrom*g.limit:
		g.metered = true
	case n < meterUntil*g.limit:
		g.metered = false
	}
	if g.metered != was {
		s.o.Log.Info("group metering changed", "group", g.name, "metered", g.metered, "in_progress", n, "limit", g.limit, "waiting", g.queue.Waiting())
	}
	s.gauge(g, "in_progress").Update(int64(n))
	s.gauge(g, "waiting").Update(int64(g.queue.Waiting()))
}

func (s *Server) gauge(g *servedGroup, name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge("group."+name+"."+g.name, s.o.Registry)
}

// announce sends the load to the subscribers if it has changed noticeably since the
// last one, or that is long ago.
func (g *servedGroup) announce(now time.Time) {
	l := g.message(now)
	if g.sent != nil && !g.isDue(l, now) {
		return
	}
	g.sent, g.sentAt = l, now
	for _, send := range g.subscribers {
		send(&wirepb.AdmissionFrame{Body: &wirepb.AdmissionFrame_Load{Load: l}})
	}
}

// isDue reports whether a load should be sent after the last one.
func (g *servedGroup) isDue(l *wirepb.GroupLoad, now time.Time) bool {
	if l.GetMetered() != g.sent.GetMetered() || l.GetOpen() != g.sent.GetOpen() {
		return true
	}
	if !slices.Equal(l.GetUnresponsiveRanks(), g.sent.GetUnresponsiveRanks()) {
		return true
	}
	pause := now.Sub(g.sentAt)
	return pause >= calmLoadInterval || pause >= loadInterval && differs(l, g.sent)
}

// message returns the load as it is sent.
func (g *servedGroup) message(now time.Time) *wirepb.GroupLoad {
	l := &wirepb.GroupLoad{
		Group: g.name, AgeMs: uint64(max(0, now.Sub(g.load.AsOf).Milliseconds())), Open: g.load.Open, Limit: g.limit,
		InProgress: float64(g.load.Requests()), Waiting: uint32(g.queue.Waiting()), Metered: g.metered,
	}
	for i, r := range g.load.Ranks {
		l.ByRank = append(l.ByRank, byte(min(r.Running+r.Waiting, maxLoadByte)))
		if r.Unresponsive {
			l.UnresponsiveRanks = append(l.UnresponsiveRanks, uint32(i))
		}
	}
	return l
}

// differs reports whether a load differs noticeably from the one that was sent.
func differs(l, sent *wirepb.GroupLoad) bool {
	change := math.Abs(l.GetInProgress()-sent.GetInProgress()) + math.Abs(l.GetLimit()-sent.GetLimit()) +
		math.Abs(float64(l.GetWaiting())-float64(sent.GetWaiting()))
	return change > noticeableChange*l.GetLimit()
}

// Subscribe adds an instance to those that get the loads of a group. It returns false
// if this process does not coordinate the group.
func (s *Server) Subscribe(group, instance string, send subscriber) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[group]
	if g == nil {
		return false
	}
	g.subscribers[instance] = send
	if g.sent != nil {
		send(&wirepb.AdmissionFrame{Body: &wirepb.AdmissionFrame_Load{Load: g.message(time.Now())}})
	}
	return true
}

// Unsubscribe removes an instance with its requests.
func (s *Server) Unsubscribe(group, instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[group]; g != nil {
		delete(g.subscribers, instance)
		g.queue.WithdrawAll(instance)
	}
}

// Request handles a request for a place of an instance that has subscribed.
func (s *Server) Request(instance string, r *wirepb.PlaceRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	g := s.groups[r.GetGroup()]
	if g == nil {
		return
	}
	verdict, decided := g.queue.Add(decodeRequest(instance, r, now), now)
	if decided {
		s.deliver(g, []groupqueue.Verdict{verdict})
		return
	}
	g.send(instance, &wirepb.PlaceVerdict{Id: r.GetId(), Group: g.name, Result: wirepb.PlaceVerdict_RESULT_WAITS})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// decodeRequest decodes a request that arrived now.
func decodeRequest(instance string, r *wirepb.PlaceRequest, now time.Time) groupqueue.Request {
	return groupqueue.Request{
		Source: instance, ID: r.GetId(), Identity: r.GetIdentity(),
		Priority: groupqueue.Priority{First: int(r.GetPriority()), Route: int(r.GetRoutePriority())},
		GoalBy:   now.Add(time.Duration(r.GetGoalMs()) * time.Millisecond), LatestStart: now.Add(time.Duration(r.GetLatestStartMs()) * time.Millisecond),
	}
}

// Withdraw handles the withdrawal of a request for a place.
func (s *Server) Withdraw(instance string, w *wirepb.PlaceWithdrawal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[w.GetGroup()]; g != nil {
		g.queue.Withdraw(instance, w.GetId())
	}
}

// deliver sends verdicts to the instances that asked. The caller holds s.mu.
func (s *Server) deliver(g *servedGroup, verdicts []groupqueue.Verdict) {
	for _, v := range verdicts {
		m := &wirepb.PlaceVerdict{Id: v.ID, Group: g.name, Result: wirepb.PlaceVerdict_RESULT_REJECTED, RetryAfterMs: uint64(v.RetryAfter.Milliseconds()), Ahead: uint32(v.Ahead)}
		if v.Granted {
			m.Result, m.Rank = wirepb.PlaceVerdict_RESULT_GRANTED, uint32(g.takeRank())
			metrics.GetOrRegisterCounter("group.places_granted", s.o.Registry).Inc(1)
		} else {
			metrics.GetOrRegisterCounter("group.places_rejected", s.o.Registry).Inc(1)
		}
		g.send(v.Source, m)
	}
}

// takeRank returns the rank with the fewest requests, of those that respond, and counts
// one more there.
func (g *servedGroup) takeRank() int {
	best, fewest := 0, math.MaxInt
	for i, r := range g.load.Ranks {
		if r.Unresponsive {
			continue
		}
		if n := r.Running + r.Waiting + g.sentSince[i]; n < fewest {
			best, fewest = i, n
		}
	}
	if best < len(g.sentSince) {
		g.sentSince[best]++
	}
	return best
}

func (g *servedGroup) send(instance string, v *wirepb.PlaceVerdict) {
	if send := g.subscribers[instance]; send != nil {
		send(&wirepb.AdmissionFrame{Body: &wirepb.AdmissionFrame_Verdict{Verdict: v}})
	}
}

// grantDue grants the places that have become free according to the rate of the
// groups, and returns whether requests wait.
func (s *Server) grantDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	waiting := false
	for _, g := range s.groups {
		if g.queue.Waiting() > 0 {
			s.deliver(g, g.queue.Next(now))
			waiting = waiting || g.queue.Waiting() > 0
		}
	}
	return waiting
}
