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

// suspectAfter is the time without a heartbeat after which an entry or a target
// is suspect.
const suspectAfter = 3 * time.Second

// controlEvent is a change of the control state. It runs on the control
// goroutine.
type controlEvent func(*control)

// control is the state that only the control goroutine accesses.
type control struct {
	entry            *Entry
	ctx              context.Context
	replica          configsync.Replica
	links            map[string]*link // by target
	connectedTargets map[string]*connectedTarget
	// detectors outlive sessions, so that they detect a target that repeatedly
	// connects and disconnects.
	detectors map[string]*membership.Detector

	peerLinks map[string]*peerLink // by address
	peers     map[string]*peer     // by name

	// confirmedAt is the last time at which the active revision was confirmed to
	// be the accepted one.
	confirmedAt     time.Time
	revisionAlarmed bool
	verdict         configsync.Freshness // the current freshness verdict
	lastIteration   time.Time            // of the loop of the control goroutine

	// publishNow requests a snapshot directly after the current event.
	publishNow bool
	// storeReachableChanged requests heartbeats after the next snapshot.
	storeReachableChanged bool

	// leavingInstances holds the instances that the instance list shows as
	// leaving.
	leavingInstances map[string]bool

	// cachedCustomers was built from the configuration cachedCustomersConfig.
	cachedCustomers       map[string]*config.Customer
	cachedCustomersConfig *config.Config
}

// connectedTarget is the state of a target with which there is a session.
type connectedTarget struct {
	session         *wire.Session
	heartbeats      *node.Heartbeats
	incarnation     uint64
	lastHeartbeat   *wirepb.Heartbeat
	lastHeartbeatAt time.Time
	// outstandingAtReport is the work that this entry had in progress at the
	// target when the target made its last load report.
	outstandingAtReport outstandingWork
}

const (
	// controlInterval is the maximum time between two snapshots.
	controlInterval = 250 * time.Millisecond
	// publishInterval is the minimum time between two snapshots for events that
	// can wait, such as load reports. With 64 targets and 570 customers, a
	// snapshot for each heartbeat took 3.4% of a core.
	publishInterval = 50 * time.Millisecond
)

// newControl returns the control state of an entry that has just started.
func newControl(ctx context.Context, e *Entry) *control {
	return &control{
		entry: e, ctx: ctx, links: map[string]*link{}, connectedTargets: map[string]*connectedTarget{}, detectors: map[string]*membership.Detector{},
		peerLinks: map[string]*peerLink{}, peers: map[string]*peer{},
	}
}

// runControl runs control events and publishes snapshots until ctx is
// cancelled.
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

// post queues an event for the control goroutine. It blocks while the queue is
// full and drops the event if ctx is cancelled first.
func (e *Entry) post(ctx context.Context, ev controlEvent) {
	select {
	case e.events <- ev:
	case <-ctx.Done():
	}
}

// propagateConfig applies a configuration that has just become active to the
// sessions of this entry and announces its revision to all connected processes.
func (c *control) propagateConfig() {
	c.entry.node.Events.Record(timeline.Event{Kind: timeline.RevisionActive, Revision: c.revision()})
	c.updateLinks()
	c.updatePeers()
	c.publishSnapshot()
	c.sendHeartbeatsNow()
	for _, ct := range c.connectedTargets {
		c.announceRevision(ct.session)
	}
	for _, p := range c.peers {
		for s := range p.sessions {
			c.announceRevision(s)
		}
	}
}

// selectTargets returns, by name, the targets that this entry keeps sessions
// with: a subset of each back end's targets. It discards the detectors of all
// other targets.
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

// updateLinks starts and stops links so that each selected target has one.
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

// announceRevision sends the active revision, from which the receiver decides
// whether to pull.
func (c *control) announceRevision(s *wire.Session) {
	if c.replica.Config() == nil {
		return
	}
	m := &wirepb.Control{Body: &wirepb.Control_Announce{Announce: &wirepb.Announce{
		Revision: c.revision(), Hlc: uint64(c.entry.node.Clock.Now()),
	}}}
	go func() { _ = s.Control().Send(m) }()
}

// pullIfBehind requests the missing deltas from the other side of the session
// if that has a higher revision than this entry.
func (c *control) pullIfBehind(s *wire.Session, revision uint64) {
	if revision <= c.revision() {
		return
	}
	m := &wirepb.Control{Body: &wirepb.Control_Pull{Pull: &wirepb.Pull{FromRevision: c.revision()}}}
	go func() { _ = s.Control().Send(m) }()
}

// replyToPull sends the deltas since fromRevision, or a snapshot.
func (c *control) replyToPull(s *wire.Session, fromRevision uint64) {
	if c.replica.Config() == nil {
		return
	}
	m := node.PullReply(&c.replica, fromRevision)
	go func() { _ = s.Control().Send(m) }()
}

// applyPulled applies the deltas or the snapshot that another process sent in
// reply to a pull. A process without a configuration accepts a revision only
// when two peers have reached it, or the only peer in its settings.
func (c *control) applyPulled(s *wire.Session, d *wirepb.Deltas) {
	var changed, gap bool
	var err error
	if c.replica.Config() == nil {
		changed, err = c.replica.AddOffer(s.Peer().GetInstance(), len(c.entry.settings.Peers), d.GetSnapshotRevision(), d.GetSnapshot())
	} else {
		changed, gap, err = node.ApplyDeltas(&c.replica, d)
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

// observeRevision pulls from a target whose response shows a higher revision
// than this entry has. The target decides whether it accepts a request,
// whichever revision this entry has.
func (e *Entry) observeRevision(s *wire.Session, revision uint64) {
	if revision > e.revision() {
		select {
		case e.events <- func(c *control) { c.pullIfBehind(s, revision) }:
		default: // the next heartbeat triggers the pull
		}
	}
}

// recordMembership records that an instance connected or disconnected.
func (c *control) recordMembership(kind timeline.Kind, name string, s *wire.Session) {
	c.entry.node.Events.Record(timeline.Event{Kind: kind, Target: name, DataCentre: s.Peer().GetDataCentre()})
}

// addTargetSession records a new session with a target.
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

// targetState returns the health state of a target.
func (c *control) targetState(target string, now time.Time) membership.State {
	d := c.detectors[target]
	if d == nil {
		return membership.Unreachable
	}
	return d.State(now)
}

// removeTargetSession records the end of a session with a target.
func (c *control) removeTargetSession(target string, s *wire.Session) {
	if ct := c.connectedTargets[target]; ct != nil && ct.session == s {
		delete(c.connectedTargets, target)
		c.publishNow = true
		if d := c.detectors[target]; d != nil {
			d.Disconnected(time.Now())
		}
		c.recordMembership(timeline.MemberLeft, target, s)
	}
}

// recordTargetHeartbeat records a heartbeat of a target with its load report. A
// heartbeat from before a pause of this process is ignored.
func (c *control) recordTargetHeartbeat(target string, s *wire.Session, hb *wirepb.Heartbeat) {
	if ct := c.connectedTargets[target]; ct != nil && ct.session == s && ct.heartbeats.IsCurrent(hb) {
		changed := ct.lastHeartbeat.GetState() != hb.GetState()
		ct.lastHeartbeat, ct.lastHeartbeatAt = hb, time.Now()
		if l := c.links[target]; l != nil {
			ct.outstandingAtReport = l.outstandingAtReport(ct.lastHeartbeatAt, hb.GetLoad())
		}
		c.acknowledgeHeartbeat(ct.heartbeats, hb, changed)
		if d := c.detectors[target]; d != nil {
			d.RecordHeartbeat(ct.lastHeartbeatAt, ct.heartbeats.LastEchoAt())
		}
	}
}

// acknowledgeHeartbeat records a heartbeat after the snapshot reflects it. A
// change of state is published and echoed at once, since a stopping peer waits
// for the echo.
func (c *control) acknowledgeHeartbeat(heartbeats *node.Heartbeats, hb *wirepb.Heartbeat, changed bool) {
	if changed {
		c.publishSnapshot()
	}
	heartbeats.RecordReceived(hb)
	if changed {
		heartbeats.SendNow()
	}
}
