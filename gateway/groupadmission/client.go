package groupadmission

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// connectInterval is the pause between checks for coordinators to connect to.
	connectInterval = 250 * time.Millisecond
	dialTimeout     = 700 * time.Millisecond
	// stateTimeout is the age of the last load from which on a group is not known.
	stateTimeout = 900 * time.Millisecond
	// replyTimeout is how long a request waits for the first reply to it, and
	// silentTime how long no other asks after one got none.
	replyTimeout = 200 * time.Millisecond
	silentTime   = 500 * time.Millisecond
	// silenceCheckInterval is the pause between checks whether the coordinator of a
	// group in whose queue a request waits still sends loads.
	silenceCheckInterval = 200 * time.Millisecond
	// verdictSlack is how much longer than its latest start a request waits for the
	// verdict on it.
	verdictSlack = 100 * time.Millisecond
)

// ErrSilent reports that the coordinator of a group does not reply.
var ErrSilent = errors.New("the coordinator of the group does not reply")

// Coordinator is the instance that coordinates a group.
type Coordinator struct {
	Instance, PeerAddr string
}

// ClientOptions are the settings of a client.
type ClientOptions struct {
	Instance string
	// Server serves the groups that this process coordinates.
	Server *Server
	// Coordinators returns the coordinators of the groups to which this instance sends
	// requests, by group.
	Coordinators func(ctx context.Context) map[string]Coordinator
	// OnLoad is called after each load of a group. It must not block.
	OnLoad func(group string)
	Hello  func() *wirepb.Hello
	Log    *slog.Logger
}

// Client knows the loads of the groups to which this instance sends requests, and asks
// for places there.
type Client struct {
	o ClientOptions

	mu     sync.Mutex
	groups map[string]*clientGroup
	lastID uint64
}

// clientGroup is what the client knows of a group.
type clientGroup struct {
	state       GroupState
	send        func(*wirepb.AdmissionFrame) bool // nil while there is no connection
	coordinator Coordinator
	pending     map[uint64]chan *wirepb.PlaceVerdict
	silentUntil time.Time
	limit       float64 // as of limitAt; it is kept when the loads cease
	limitAt     time.Time
	// sent is the number of requests that this instance has sent without a place since
	// the last load.
	sent int
}

// GroupState is the load of a group as its coordinator has sent it last.
type GroupState struct {
	// AsOf is when the ranks were queried.
	AsOf              time.Time
	Open, Metered     bool
	Limit, InProgress float64
	Waiting           int
	// ByRank holds the number of requests at each rank, and Unresponsive the ranks that
	// have not replied to the coordinator lately.
	ByRank       []byte
	Unresponsive []uint32
}

// stateMemory is how long the last limit of a group is remembered after its loads have
// ceased.
const stateMemory = 15 * time.Second

// LastLimit returns the limit of a group that its coordinator has sent last, or 0 if that
// is too long ago. A coordinator that takes over begins with it.
func (c *Client) LastLimit(group string, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[group]
	if g == nil || now.Sub(g.limitAt) > stateMemory {
		return 0
	}
	return g.limit
}

// Room returns the number of requests that the group could take.
func (s *GroupState) Room() float64 { return s.Limit - s.InProgress - float64(s.Waiting) }

// NewClient returns a client without connections; Run opens them.
func NewClient(o ClientOptions) *Client {
	return &Client{o: o, groups: map[string]*clientGroup{}}
}

// State returns the state of a group, and false if it is not known.
func (c *Client) State(group string, now time.Time) (GroupState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[group]
	if g == nil || g.state.AsOf.IsZero() || now.Sub(g.state.AsOf) > stateTimeout {
		return GroupState{}, false
	}
	return g.state, true
}

// Run keeps connections to the coordinators until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		for group, coordinator := range c.o.Coordinators(ctx) {
			if coordinator.Instance == c.o.Instance {
				c.connectLocally(group, coordinator)
			} else if c.claim(group, coordinator) {
				wg.Go(func() { c.keepSession(ctx, group, coordinator) })
			}
		}
		ctxtime.Sleep(ctx, connectInterval)
	}
}

// connectLocally subscribes to a group that this process coordinates.
func (c *Client) connectLocally(group string, coordinator Coordinator) {
	c.mu.Lock()
	g := c.group(group)
	connected := g.coordinator == coordinator && g.send != nil
	c.mu.Unlock()
	if connected || !c.o.Server.Subscribe(group, c.o.Instance, c.receive) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g.coordinator, g.send = coordinator, c.sendLocally
}

// sendLocally passes a message to the server of this process.
func (c *Client) sendLocally(f *wirepb.AdmissionFrame) bool {
	switch body := f.GetBody().(type) {
	case *wirepb.AdmissionFrame_Request:
		c.o.Server.Request(c.o.Instance, body.Request)
	case *wirepb.AdmissionFrame_Withdrawal:
		c.o.Server.Withdraw(c.o.Instance, body.Withdrawal)
	}
	return true
}

// group returns the entry of a group. The caller holds c.mu.
func (c *Client) group(name string) *clientGroup {
	g := c.groups[name]
	if g == nil {
		g = &clientGroup{pending: map[uint64]chan *wirepb.PlaceVerdict{}}
		c.groups[name] = g
	}
	return g
}

// claim reports whether a session with the coordinator of a group should be opened, and
// records that it is.
func (c *Client) claim(group string, coordinator Coordinator) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(group)
	if g.coordinator == coordinator {
		return false
	}
	g.coordinator, g.send = coordinator, nil
	return true
}

// release records that a session has ended.
func (c *Client) release(group string, coordinator Coordinator) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.group(group); g.coordinator == coordinator {
		g.coordinator, g.send = Coordinator{}, nil
		g.releaseAll()
	}
}

// releaseAll lets all requests go on without a verdict.
func (g *clientGroup) releaseAll() {
	for id, verdict := range g.pending {
		close(verdict)
		delete(g.pending, id)
	}
}

// keepSession subscribes to a group and receives its loads until the session breaks,
// or another instance coordinates the group.
func (c *Client) keepSession(ctx context.Context, group string, coordinator Coordinator) {
	defer c.release(group, coordinator)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	hello := c.o.Hello()
	hello.Role = Role
	session, err := wire.Dial(dialCtx, coordinator.PeerAddr, nil, hello)
	if err != nil {
		c.o.Log.Debug("coordinator not reachable", "group", group, "coordinator", coordinator.Instance, "error", err.Error())
		ctxtime.Sleep(ctx, connectInterval)
		return
	}
	defer func() { _ = session.Close() }()
	out := newOutbox(session)
	go out.run(ctx)
	go c.renewSubscription(ctx, group, out)
	if !c.setSend(group, coordinator, out.send) {
		return
	}
	for c.coordinates(group, coordinator) {
		_ = session.Control().SetReadDeadline(time.Now().Add(sessionTimeout))
		var f wirepb.AdmissionFrame
		if err := session.Control().Recv(&f); err != nil {
			c.o.Log.Debug("session with coordinator ended", "group", group, "coordinator", coordinator.Instance, "error", err.Error())
			return
		}
		c.receive(&f)
		if f.GetLoad().GetEnded() {
			ctxtime.Sleep(ctx, connectInterval)
			return
		}
	}
}

// renewSubscription subscribes to a group again and again, which keeps the session.
func (c *Client) renewSubscription(ctx context.Context, group string, out *outbox) {
	for ctx.Err() == nil {
		out.send(&wirepb.AdmissionFrame{Body: &wirepb.AdmissionFrame_Subscribe{Subscribe: &wirepb.GroupSubscribe{Group: group}}})
		ctxtime.Sleep(ctx, subscribeInterval)
	}
}

func (c *Client) setSend(group string, coordinator Coordinator, send func(*wirepb.AdmissionFrame) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(group)
	if g.coordinator != coordinator {
		return false
	}
	g.send = send
	return true
}

func (c *Client) coordinates(group string, coordinator Coordinator) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.group(group).coordinator == coordinator
}

// receive handles a message of a coordinator.
func (c *Client) receive(f *wirepb.AdmissionFrame) {
	switch body := f.GetBody().(type) {
	case *wirepb.AdmissionFrame_Load:
		c.receiveLoad(body.Load)
		c.o.OnLoad(body.Load.GetGroup())
	case *wirepb.AdmissionFrame_Verdict:
		c.receiveVerdict(body.Verdict)
	}
}

func (c *Client) receiveLoad(l *wirepb.GroupLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(l.GetGroup())
	if l.GetEnded() {
		g.state = GroupState{}
		if g.coordinator.Instance == c.o.Instance {
			g.coordinator, g.send = Coordinator{}, nil
		}
		g.releaseAll()
		return
	}
	g.state = GroupState{
		AsOf: time.Now().Add(-time.Duration(l.GetAgeMs()) * time.Millisecond), Open: l.GetOpen(), Metered: l.GetMetered(),
		Limit: l.GetLimit(), InProgress: l.GetInProgress(), Waiting: int(l.GetWaiting()), ByRank: l.GetByRank(), Unresponsive: l.GetUnresponsiveRanks(),
	}
	g.limit, g.limitAt, g.sent = l.GetLimit(), time.Now(), 0
}

// SendUnmetered reports whether a request may be sent to a group without a place, and
// counts it if so. While the group is not metered, each of the instances may use its part
// of the room until the next load: otherwise all of them could fill the group many times
// over, for instance when it comes back after an outage.
func (c *Client) SendUnmetered(group string, instances int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(group)
	if g.state.AsOf.IsZero() || now.Sub(g.state.AsOf) > stateTimeout {
		return true
	}
	if g.state.Metered || float64(g.sent*max(1, instances)) >= max(1, g.state.Room()) {
		return false
	}
	g.sent++
	return true
}

func (c *Client) receiveVerdict(v *wirepb.PlaceVerdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(v.GetGroup())
	if verdict := g.pending[v.GetId()]; verdict != nil {
		verdict <- v // has room for the two messages that a request gets at most
	}
}

// PlaceRequest is a request for a place at a group.
type PlaceRequest struct {
	// Identity is the same for each repeat of the request; empty if unknown.
	Identity string
	// Priority is that of the customer, or of the route if the customer has none.
	Priority, RoutePriority int
	// GoalBy is when the first part of the response should arrive, and LatestStart the
	// time from which on sending the request is of no use.
	GoalBy, LatestStart time.Time
}

// Verdict is the decision on a request for a place.
type Verdict struct {
	Granted bool
	// Rank is the number of the rank with the fewest requests, if Granted.
	Rank int
	// RetryAfter is when the caller should come back, and Ahead the number of requests
	// that were to be served before, if not Granted.
	RetryAfter time.Duration
	Ahead      int
}

// Ask asks for a place at a group and waits for the verdict. It returns ErrSilent if
// the coordinator does not reply, and the error of ctx if that ends first.
func (c *Client) Ask(ctx context.Context, group string, r PlaceRequest) (Verdict, error) {
	id, send, verdict, err := c.begin(group)
	if err != nil {
		return Verdict{}, err
	}
	defer c.end(group, id)
	now := time.Now()
	sent := send(&wirepb.AdmissionFrame{Body: &wirepb.AdmissionFrame_Request{Request: &wirepb.PlaceRequest{
		Id: id, Group: group, Priority: int32(r.Priority), RoutePriority: int32(r.RoutePriority), Identity: r.Identity,
		GoalMs: r.GoalBy.Sub(now).Milliseconds(), LatestStartMs: r.LatestStart.Sub(now).Milliseconds(),
	}}})
	if !sent {
		return Verdict{}, ErrSilent
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	waits := false
	for {
		select {
		case v, ok := <-verdict:
			switch {
			case !ok:
				return Verdict{}, ErrSilent
			case v.GetResult() == wirepb.PlaceVerdict_RESULT_WAITS:
				waits = true
				timer.Reset(silenceCheckInterval)
				continue
			}
			return decodeVerdict(v), nil
		case now := <-timer.C:
			if waits && c.isAwaited(group, r, now) {
				timer.Reset(silenceCheckInterval)
				continue
			}
			c.recordSilence(group)
			return Verdict{}, ErrSilent
		case <-ctx.Done():
			send(&wirepb.AdmissionFrame{Body: &wirepb.AdmissionFrame_Withdrawal{Withdrawal: &wirepb.PlaceWithdrawal{Id: id, Group: group}}})
			return Verdict{}, errors.WithStack(ctx.Err())
		}
	}
}

func decodeVerdict(v *wirepb.PlaceVerdict) Verdict {
	return Verdict{
		Granted: v.GetResult() == wirepb.PlaceVerdict_RESULT_GRANTED, Rank: int(v.GetRank()),
		RetryAfter: time.Duration(v.GetRetryAfterMs()) * time.Millisecond, Ahead: int(v.GetAhead()),
	}
}

// isAwaited reports whether the verdict on a request that waits may still come: its
// latest start has not passed, and the coordinator sends loads.
func (c *Client) isAwaited(group string, r PlaceRequest, now time.Time) bool {
	_, known := c.State(group, now)
	return known && now.Before(r.LatestStart.Add(verdictSlack))
}

// begin registers a request for a place.
func (c *Client) begin(group string) (uint64, func(*wirepb.AdmissionFrame) bool, chan *wirepb.PlaceVerdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(group)
	if g.send == nil || time.Now().Before(g.silentUntil) {
		return 0, nil, nil, ErrSilent
	}
	c.lastID++
	verdict := make(chan *wirepb.PlaceVerdict, 2)
	g.pending[c.lastID] = verdict
	return c.lastID, g.send, verdict, nil
}

func (c *Client) end(group string, id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.group(group).pending, id)
}

// recordSilence records that the coordinator of a group did not reply, so that other
// requests don't wait for it either.
func (c *Client) recordSilence(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.group(group).silentUntil = time.Now().Add(silentTime)
	c.o.Log.Warn("coordinator of group does not reply", "group", group, "coordinator", c.group(group).coordinator.Instance)
}
