package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/skylarkstep/skylarkstep/config"
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
}

// member is what is known about one target.
type member struct {
	session     *wire.Session
	incarnation uint64
	heartbeat   *wirepb.Heartbeat
	heardAt     time.Time
}

const controlTick = 250 * time.Millisecond

// runControl owns the control state until ctx ends.
func (e *Entry) runControl(ctx context.Context) {
	c := &control{entry: e, ctx: ctx, links: map[string]*link{}, members: map[string]*member{}}
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, l := range c.links {
				l.stop()
			}
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
	for _, m := range c.members {
		c.announce(m.session)
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

func (c *control) sendSnapshot(s *wire.Session) {
	m := &wirepb.Control{Body: &wirepb.Control_Deltas{Deltas: &wirepb.Deltas{
		Snapshot: c.document, SnapshotRevision: c.revision(),
	}}}
	go func() { _ = s.Control().Send(m) }()
}

func (c *control) joined(target string, s *wire.Session) {
	c.members[target] = &member{session: s, incarnation: s.Peer().GetIncarnation(), heardAt: time.Now()}
	c.entry.node.Events.Record(timeline.Event{Kind: timeline.MemberJoined, Target: target, DataCentre: s.Peer().GetDataCentre()})
	c.announce(s)
}

func (c *control) left(target string, s *wire.Session) {
	if m := c.members[target]; m != nil && m.session == s {
		delete(c.members, target)
		c.entry.node.Events.Record(timeline.Event{Kind: timeline.MemberLeft, Target: target, DataCentre: s.Peer().GetDataCentre()})
	}
}

func (c *control) heard(target string, s *wire.Session, hb *wirepb.Heartbeat) {
	if m := c.members[target]; m != nil && m.session == s {
		m.heartbeat, m.heardAt = hb, time.Now()
	}
}
