package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// suspectAfter is how long a silent target gets no new work.
const suspectAfter = 3 * time.Second

// controlEvent changes the control state. It runs on the control goroutine.
type controlEvent func(*control)

// control is the state that only the control goroutine touches.
type control struct {
	entry    *Entry
	ctx      context.Context
	config   *config.Config
	document []byte
	links    map[string]*link
	members  map[string]*member

	peerLinks map[string]*peerLink // by address
	peers     map[string]*peer     // by name
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

const controlTick = 250 * time.Millisecond

// runControl owns the control state until ctx ends.
func (e *Entry) runControl(ctx context.Context) {
	c := &control{
		entry: e, ctx: ctx, links: map[string]*link{}, members: map[string]*member{},
		peerLinks: map[string]*peerLink{}, peers: map[string]*peer{},
	}
	c.updatePeers()
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-e.events:
			ev(c)
		case <-tick.C:
		}
		c.publish()
	}
}

// post hands an event to the control goroutine.
func (e *Entry) post(ctx context.Context, ev controlEvent) {
	select {
	case e.events <- ev:
	case <-ctx.Done():
	}
}

// install takes a configuration with a higher revision than the one held.
func (c *control) install(next *config.Config) {
	if c.config != nil && next.Revision <= c.config.Revision {
		if next.Revision < c.config.Revision {
			c.entry.node.Log.Error("key-value service shows a lower revision than the one in force; keeping the higher one",
				"shown", next.Revision, "in_force", c.config.Revision)
			c.entry.node.Events.Record(timeline.Event{Kind: timeline.RevisionAlarm, Revision: next.Revision})
		}
		return
	}
	document, err := json.Marshal(next)
	if err != nil {
		c.entry.node.Log.Error("encode configuration", "error", err)
		return
	}
	c.config, c.document = next, document
	c.entry.node.Events.Record(timeline.Event{Kind: timeline.RevisionInForce, Revision: next.Revision})
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

// updateLinks starts and stops sessions so that every target of the inventory
// has one.
func (c *control) updateLinks() {
	want := map[string]config.Target{}
	for _, t := range c.config.Inventory.Targets {
		want[t.Name] = t
	}
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

func (c *control) revision() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Revision
}

func (c *control) announce(s *wire.Session) {
	if c.config == nil {
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

func (c *control) answerPull(s *wire.Session, _ uint64) {
	m := &wirepb.Control{Body: &wirepb.Control_Deltas{Deltas: &wirepb.Deltas{
		Snapshot: c.document, SnapshotRevision: c.revision(),
	}}}
	go func() { _ = s.Control().Send(m) }()
}

// take installs what another process sent after a pull.
func (c *control) take(s *wire.Session, d *wirepb.Deltas) {
	next, err := config.ParseConfig(d.GetSnapshot())
	if err != nil {
		c.entry.node.Log.Error("configuration from peer refused", "peer", s.Peer().GetInstance(), "error", err)
		return
	}
	if next.Revision > c.revision() {
		c.install(next)
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
	c.record(timeline.MemberJoined, target, s)
	c.announce(s)
}

func (c *control) left(target string, s *wire.Session) {
	if m := c.members[target]; m != nil && m.session == s {
		delete(c.members, target)
		c.record(timeline.MemberLeft, target, s)
	}
}

func (c *control) heard(target string, s *wire.Session, hb *wirepb.Heartbeat) {
	if m := c.members[target]; m != nil && m.session == s {
		changed := m.heartbeat.GetState() != hb.GetState()
		m.heartbeat, m.heardAt = hb, time.Now()
		if l := c.links[target]; l != nil {
			m.sentThen = l.sentWhenMade(m.heardAt, hb.GetLoad())
		}
		c.acted(m.beats, hb, changed)
	}
}

// acted records a heartbeat once traffic works by it. A change of state is
// published and echoed at once, since a stopping peer waits for the echo.
func (c *control) acted(beats *node.Heartbeats, hb *wirepb.Heartbeat, changed bool) {
	if changed {
		c.publish()
	}
	beats.Heard(hb)
	if changed {
		beats.Kick()
	}
}
