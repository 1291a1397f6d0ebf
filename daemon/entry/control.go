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
	entry   *Entry
	ctx     context.Context
	replica configsync.Replica
	links   map[string]*link
	members map[string]*member
	// detectors outlive sessions, so that a target that comes and goes is seen
	// to flap.
	detectors map[string]*membership.Detector

	peerLinks map[string]*peerLink // by address
	peers     map[string]*peer     // by name

	// confirmedAt is when the revision in force was last seen to be the
	// accepted one.
	confirmedAt time.Time
	alarmed     bool
	verdict     configsync.Verdict
	lastLoop    time.Time

	// urgent asks for a snapshot right after the event.
	urgent bool
	// reachableChanged asks for heartbeats after the next snapshot.
	reachableChanged bool

	// leavingInstances are those that the instance list shows as leaving.
	leavingInstances map[string]bool

	// customers belong to the configuration customersOf.
	customers   map[string]*config.Customer
	customersOf *config.Config
}

// member is what is known about one target.
type member struct {
	session     *wire.Session
	beats       *node.Heartbeats
	incarnation uint64
	heartbeat   *wirepb.Heartbeat
	heardAt     time.Time
	// sentThen is what this entry had in progress when the report was made.
	sentThen inProgress
}

const (
	controlTick = 250 * time.Millisecond
	// publishInterval bounds how often a snapshot is built for events that can
	// wait, such as load reports. With 64 targets and 570 customers, a snapshot
	// for each heartbeat cost 3.4% of a core.
	publishInterval = 50 * time.Millisecond
)

func newControl(ctx context.Context, e *Entry) *control {
	return &control{
		entry: e, ctx: ctx, links: map[string]*link{}, members: map[string]*member{}, detectors: map[string]*membership.Detector{},
		peerLinks: map[string]*peerLink{}, peers: map[string]*peer{},
	}
}

// runControl owns the control state until ctx ends.
func (e *Entry) runControl(ctx context.Context) {
	c := newControl(ctx, e)
	c.updatePeers()
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	soon := time.NewTimer(0)
	defer soon.Stop()
	waiting := true
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-e.events:
			c.noticePause(time.Now())
			ev(c)
			if !c.urgent {
				if !waiting {
					waiting = true
					soon.Reset(publishInterval)
				}
				continue
			}
		case <-soon.C:
			waiting = false
		case <-tick.C:
			c.noticePause(time.Now())
		}
		c.urgent = false
		c.publish()
		if c.reachableChanged {
			c.reachableChanged = false
			c.kickHeartbeats()
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

// installed spreads a configuration that has just come into force.
func (c *control) installed() {
	c.entry.node.Events.Record(timeline.Event{Kind: timeline.RevisionActive, Revision: c.revision()})
	c.updateLinks()
	c.updatePeers()
	c.publish()
	c.kickHeartbeats()
	for _, m := range c.members {
		c.announce(m.session)
	}
	for _, p := range c.peers {
		for s := range p.sessions {
			c.announce(s)
		}
	}
}

// chosenTargets returns the subset of each back end that this entry keeps
// sessions to.
func (c *control) chosenTargets() map[string]config.Target {
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
	want := c.chosenTargets()
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

func (c *control) announce(s *wire.Session) {
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

func (c *control) answerPull(s *wire.Session, from uint64) {
	if c.replica.Config() == nil {
		return
	}
	m := node.PullReply(&c.replica, from)
	go func() { _ = s.Control().Send(m) }()
}

// take puts into force what another process sent after a pull. A process that
// has no configuration yet needs two peers that agree.
func (c *control) take(s *wire.Session, d *wirepb.Deltas) {
	var changed, gap bool
	var err error
	if c.replica.Config() == nil {
		changed, err = c.replica.Offer(s.Peer().GetInstance(), len(c.entry.settings.Peers), d.GetSnapshotRevision(), d.GetSnapshot())
	} else {
		changed, gap, err = node.ApplyDeltas(&c.replica, d)
	}
	if err != nil {
		c.entry.node.Log.Error("configuration from peer refused", "peer", s.Peer().GetInstance(), "error", err)
	}
	if changed {
		c.installed()
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

func (c *control) record(kind timeline.Kind, name string, s *wire.Session) {
	c.entry.node.Events.Record(timeline.Event{Kind: kind, Target: name, DataCentre: s.Peer().GetDataCentre()})
}

func (c *control) joined(target string, s *wire.Session, hb *node.Heartbeats) {
	c.members[target] = &member{session: s, beats: hb, incarnation: s.Peer().GetIncarnation(), heardAt: time.Now()}
	if c.detectors[target] == nil {
		c.detectors[target] = &membership.Detector{}
	}
	c.detectors[target].Connected(time.Now())
	c.urgent = true
	c.record(timeline.MemberJoined, target, s)
	c.announce(s)
}

// targetState returns the failure state of a target.
func (c *control) targetState(target string, now time.Time) membership.State {
	d := c.detectors[target]
	if d == nil {
		return membership.Unreachable
	}
	return d.State(now)
}

func (c *control) left(target string, s *wire.Session) {
	if m := c.members[target]; m != nil && m.session == s {
		delete(c.members, target)
		c.urgent = true
		if d := c.detectors[target]; d != nil {
			d.Disconnected(time.Now())
		}
		c.record(timeline.MemberLeft, target, s)
	}
}

func (c *control) heard(target string, s *wire.Session, hb *wirepb.Heartbeat) {
	if m := c.members[target]; m != nil && m.session == s && m.beats.IsCurrent(hb) {
		changed := m.heartbeat.GetState() != hb.GetState()
		m.heartbeat, m.heardAt = hb, time.Now()
		if l := c.links[target]; l != nil {
			m.sentThen = l.sentWhenMade(m.heardAt, hb.GetLoad())
		}
		c.acted(m.beats, hb, changed)
		if d := c.detectors[target]; d != nil {
			d.RecordHeartbeat(m.heardAt, m.beats.LastEchoAt())
		}
	}
}

// acted records a heartbeat once traffic works by it. A change of state is
// published and echoed at once, since a stopping peer waits for the echo.
func (c *control) acted(beats *node.Heartbeats, hb *wirepb.Heartbeat, changed bool) {
	if changed {
		c.publish()
	}
	beats.RecordReceived(hb)
	if changed {
		beats.SendNow()
	}
}
