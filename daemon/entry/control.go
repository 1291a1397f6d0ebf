package entry

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/membership"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// suspectAfter is how long an entry counts as heard after its last heartbeat.
const suspectAfter = 3 * time.Second

// controlEvent changes the control state. It runs on the control goroutine.
type controlEvent func(*control)

// control is the state that only the control goroutine touches.
type control struct {
	entry            *Entry
	ctx              context.Context
	replica          configsync.Replica
	links            map[string]*link
	connectedTargets map[string]*connectedTarget
	// detectors outlive sessions, so that a target that comes and goes is seen
	// to flap.
	detectors map[string]*membership.Detector

	peerLinks map[string]*peerLink // by address
	peers     map[string]*peer     // by name

	// confirmedAt is when the revision in force was last seen to be the
	// accepted one.
	confirmedAt     time.Time
	revisionAlarmed bool
	verdict         configsync.Verdict
	lastIteration   time.Time

	// publishNow asks for a snapshot right after the event.
	publishNow bool
	// storeReachableChanged asks for heartbeats after the next snapshot.
	storeReachableChanged bool

	// leavingInstances are those that the instance list shows as leaving.
	leavingInstances map[string]bool

	// cachedCustomers belong to the configuration customersOf.
	cachedCustomers       map[string]*config.Customer
	cachedCustomersConfig *config.Config
}

// connectedTarget is what is known about one target.
type connectedTarget struct {
	session         *wire.Session
	heartbeats      *node.Heartbeats
	incarnation     uint64
	lastHeartbeat   *wirepb.Heartbeat
	lastHeartbeatAt time.Time
	// outstandingAtReport is what this entry had in progress when the report was made.
	outstandingAtReport outstandingWork
}

const (
	controlInterval = 250 * time.Millisecond
	// publishInterval bounds how often a snapshot is built for events that can
	// wait, such as load reports. With 64 targets and 570 customers, a snapshot
	// for each heartbeat cost 3.4% of a core.
	publishInterval = 50 * time.Millisecond
)

func newControl(ctx context.Context, e *Entry) *control {
	return &control{
		entry: e, ctx: ctx, links: map[string]*link{}, connectedTargets: map[string]*connectedTarget{}, detectors: map[string]*membership.Detector{},
		peerLinks: map[string]*peerLink{}, peers: map[string]*peer{},
	}
}

// runControl owns the control state until ctx ends.
func (e *Entry) runControl(ctx context.Context) {
	c := newControl(ctx, e)
	c.updatePeers()
	tick := time.NewTicker(controlInterval)
	defer tick.Stop()
	publishTimer := time.NewTimer(0)
	defer publishTimer.Stop()
	publishPending := true
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-e.events:
			c.detectPause(time.Now())
			ev(c)
			if !c.publishNow {
				if !publishPending {
					publishPending = true
					publishTimer.Reset(publishInterval)
				}
				continue
			}
		case <-publishTimer.C:
			publishPending = false
		case <-tick.C:
			c.detectPause(time.Now())
		}
		c.publishNow = false
		c.publishSnapshot()
		if c.storeReachableChanged {
			c.storeReachableChanged = false
			c.sendHeartbeatsNow()
		}
	}
}

// post hands an event to the control goroutine.
func (e *Entry) post(ctx context.Context, ev controlEvent) {
	select {
	case e.events <- ev:
	case <-ctx.Done():
	}
}

// propagateConfig spreads a configuration that has just come into force.
func (c *control) propagateConfig() {
	c.entry.node.Events.Record(timeline.Event{Kind: timeline.RevisionInForce, Revision: c.revision()})
	c.updateLinks()
	c.updatePeers()
	c.publishSnapshot()
	c.sendHeartbeatsNow()
	for _, m := range c.connectedTargets {
		c.announceRevision(m.session)
	}
	for _, p := range c.peers {
		for s := range p.sessions {
			c.announceRevision(s)
		}
	}
}

// selectTargets returns the subset of each back end that this entry keeps
// sessions to.
func (c *control) selectTargets() map[string]config.Target {
	byBackend, all := map[string][]membership.Member{}, map[string]config.Target{}
	for _, t := range c.replica.Config().Inventory.Targets {
		all[t.Name] = t
		byBackend[t.Backend] = append(byBackend[t.Backend], membership.Member{Name: t.Name, DataCentre: t.DataCentre})
	}
	want := map[string]config.Target{}
	for _, members := range byBackend {
		for _, m := range membership.Subset(c.entry.node.Name, members, membership.MaxSessions) {
			want[m.Name] = all[m.Name]
		}
	}
	for name := range c.detectors {
		if _, ok := want[name]; !ok {
			delete(c.detectors, name)
		}
	}
	return want
}

// updateLinks starts and stops sessions so that every chosen target has one.
func (c *control) updateLinks() {
	want := c.selectTargets()
	for name, l := range c.links {
		if t, ok := want[name]; !ok || t.PeerAddr != l.target.PeerAddr {
			l.stop()
			delete(c.links, name)
		}
	}
	for name, t := range want {
		if c.links[name] == nil {
			c.links[name] = startLink(c.ctx, c.entry, t)
		}
	}
}

func (c *control) revision() uint64 { return c.replica.Revision() }

func (c *control) announceRevision(s *wire.Session) {
	if c.replica.Config() == nil {
		return
	}
	m := &wirepb.Control{Body: &wirepb.Control_Announce{Announce: &wirepb.Announce{
		Revision: c.revision(), Hlc: uint64(c.entry.node.Clock.Now()),
	}}}
	go func() { _ = s.Control().Send(m) }()
}

// pullIfBehind asks the other side of the session for what this entry lacks.
func (c *control) pullIfBehind(s *wire.Session, revision uint64) {
	if revision <= c.revision() {
		return
	}
	m := &wirepb.Control{Body: &wirepb.Control_Pull{Pull: &wirepb.Pull{FromRevision: c.revision()}}}
	go func() { _ = s.Control().Send(m) }()
}

func (c *control) replyToPull(s *wire.Session, from uint64) {
	if c.replica.Config() == nil {
		return
	}
	m := node.AnswerPull(&c.replica, from)
	go func() { _ = s.Control().Send(m) }()
}

// applyPulled puts into force what another process sent after a pull. A process that
// has no configuration yet needs two peers that agree.
func (c *control) applyPulled(s *wire.Session, d *wirepb.Deltas) {
	var changed, gap bool
	var err error
	if c.replica.Config() == nil {
		changed, err = c.replica.Offer(s.Peer().GetInstance(), len(c.entry.settings.Peers), d.GetSnapshotRevision(), d.GetSnapshot())
	} else {
		changed, gap, err = node.TakeDeltas(&c.replica, d)
	}
	if err != nil {
		c.entry.node.Log.Error("configuration from peer refused", "peer", s.Peer().GetInstance(), "error", err)
	}
	if changed {
		c.propagateConfig()
	}
	if gap {
		m := &wirepb.Control{Body: &wirepb.Control_Pull{Pull: &wirepb.Pull{}}}
		go func() { _ = s.Control().Send(m) }()
	}
}

// observeRevision pulls from a target whose answer shows a higher revision.
// The target has the last word, whatever revision this entry holds.
func (e *Entry) observeRevision(s *wire.Session, revision uint64) {
	if revision > e.revision() {
		select {
		case e.events <- func(c *control) { c.pullIfBehind(s, revision) }:
		default: // the next heartbeat repairs it
		}
	}
}

func (c *control) recordMembership(kind timeline.Kind, name string, s *wire.Session) {
	c.entry.node.Events.Record(timeline.Event{Kind: kind, Target: name, DataCentre: s.Peer().GetDataCentre()})
}

func (c *control) addTargetSession(target string, s *wire.Session, hb *node.Heartbeats) {
	c.connectedTargets[target] = &connectedTarget{session: s, heartbeats: hb, incarnation: s.Peer().GetIncarnation(), lastHeartbeatAt: time.Now()}
	if c.detectors[target] == nil {
		c.detectors[target] = &membership.Detector{}
	}
	c.detectors[target].Connected(time.Now())
	c.publishNow = true
	c.recordMembership(timeline.MemberJoined, target, s)
	c.announceRevision(s)
}

// targetState returns the failure state of a target.
func (c *control) targetState(target string, now time.Time) membership.State {
	d := c.detectors[target]
	if d == nil {
		return membership.Gone
	}
	return d.State(now)
}

func (c *control) removeTargetSession(target string, s *wire.Session) {
	if m := c.connectedTargets[target]; m != nil && m.session == s {
		delete(c.connectedTargets, target)
		c.publishNow = true
		if d := c.detectors[target]; d != nil {
			d.Disconnected(time.Now())
		}
		c.recordMembership(timeline.MemberLeft, target, s)
	}
}

func (c *control) recordTargetHeartbeat(target string, s *wire.Session, hb *wirepb.Heartbeat) {
	if m := c.connectedTargets[target]; m != nil && m.session == s && m.heartbeats.Current(hb) {
		changed := m.lastHeartbeat.GetState() != hb.GetState()
		m.lastHeartbeat, m.lastHeartbeatAt = hb, time.Now()
		if l := c.links[target]; l != nil {
			m.outstandingAtReport = l.outstandingAtReport(m.lastHeartbeatAt, hb.GetLoad())
		}
		c.acknowledgeHeartbeat(m.heartbeats, hb, changed)
		if d := c.detectors[target]; d != nil {
			d.Heard(m.lastHeartbeatAt, m.heartbeats.EchoedAt())
		}
	}
}

// acknowledgeHeartbeat records a heartbeat once traffic works by it. A change of state is
// published and echoed at once, since a stopping peer waits for the echo.
func (c *control) acknowledgeHeartbeat(beats *node.Heartbeats, hb *wirepb.Heartbeat, changed bool) {
	if changed {
		c.publishSnapshot()
	}
	beats.Heard(hb)
	if changed {
		beats.Kick()
	}
}
