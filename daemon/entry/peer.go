package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// peer is the state of another entry. The last heartbeat is kept after the
// session ends, so that an entry that announced its stop stays absent from
// address responses until another incarnation of it connects.
type peer struct {
	name            string
	incarnation     uint64
	sessions        map[*wire.Session]*node.Heartbeats
	lastHeartbeat   *wirepb.Heartbeat
	lastHeartbeatAt time.Time
}

func (p *peer) leaving() bool {
	return p.lastHeartbeat.GetState() == wirepb.MemberState_MEMBER_STATE_LEAVING
}

// peerSessions counts the sessions with each entry, by name. Links read it to
// keep one session per pair of entries.
type peerSessions struct {
	mu    sync.Mutex
	count map[string]int
}

func (p *peerSessions) add(name string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == nil {
		p.count = map[string]int{}
	}
	p.count[name] += n
}

func (p *peerSessions) has(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count[name] > 0
}

// acceptPeers accepts and serves sessions of other entries until ln is closed.
func (e *Entry) acceptPeers(ctx context.Context, ln net.Listener) {
	for {
		conn, err := wire.Accept(ln, e.node.Log)
		if err != nil {
			return
		}
		go func() {
			s, err := wire.Server(conn, e.node.ClusterKey, e.node.Hello(e.revision()))
			if err != nil {
				e.node.Log.Warn("session refused", "remote", conn.RemoteAddr().String(), "error", err)
				return
			}
			e.servePeer(ctx, s, s.Peer().GetInstance())
		}()
	}
}

// peerLink maintains a session with the entry at one address.
type peerLink struct {
	entry *Entry
	addr  string
	name  string // empty until the first session if only the settings list addr
	stop  context.CancelFunc
}

func startPeerLink(parent context.Context, e *Entry, addr, name string) *peerLink {
	ctx, cancel := context.WithCancel(parent)
	l := &peerLink{entry: e, addr: addr, name: name, stop: cancel}
	go l.run(ctx)
	return l
}

// run dials while there is no session with the entry. Of two entries, the one
// with the higher name waits longer, so that two entries that start together do
// not dial each other.
func (l *peerLink) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		wait := backoff/2 + rand.N(backoff)
		if l.name != "" && l.name < l.entry.node.Name {
			wait += minBackoff
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if l.name != "" && l.entry.peerSessions.has(l.name) {
			backoff = minBackoff
			continue
		}
		backoff = min(2*backoff, maxBackoff)
		if l.connect(ctx) {
			backoff = minBackoff
		}
	}
}

func (l *peerLink) connect(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := wire.Dial(dialCtx, l.addr, l.entry.node.ClusterKey, l.entry.node.Hello(l.entry.revision()))
	if err != nil {
		return false
	}
	if s.Peer().GetRole() != string(config.RoleEntry) || s.Peer().GetInstance() == l.entry.node.Name {
		_ = s.Close()
		return false
	}
	l.name = s.Peer().GetInstance()
	l.entry.servePeer(ctx, s, l.entry.node.Name)
	return true
}

// servePeer reads the control stream until the session ends. dialer is the name
// of the entry that opened the session.
func (e *Entry) servePeer(ctx context.Context, s *wire.Session, dialer string) {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	defer func() { _ = s.Close() }()
	if s.Peer().GetRole() != string(config.RoleEntry) {
		return
	}
	name := s.Peer().GetInstance()
	e.peerSessions.add(name, 1)
	defer e.peerSessions.add(name, -1)
	e.node.Clock.Observe(timeline.Timestamp(s.Peer().GetHlc()))
	hb := node.NewHeartbeats(s, e.heartbeat)
	e.post(ctx, func(c *control) { c.addPeerSession(s, hb, dialer) })
	defer e.post(ctx, func(c *control) { c.removePeerSession(name, s) })
	go hb.Run()
	e.readControl(ctx, s, func(c *control, m *wirepb.Heartbeat) { c.recordPeerHeartbeat(s, m) })
}

// readControl handles the control messages that both targets and entries send.
func (e *Entry) readControl(ctx context.Context, s *wire.Session, onHeartbeat func(*control, *wirepb.Heartbeat)) {
	for {
		var m wirepb.Control
		if err := s.Control().Recv(&m); err != nil {
			return
		}
		switch body := m.GetBody().(type) {
		case *wirepb.Control_Heartbeat:
			e.node.Clock.Observe(timeline.Timestamp(body.Heartbeat.GetHlc()))
			e.post(ctx, func(c *control) {
				onHeartbeat(c, body.Heartbeat)
				c.pullIfBehind(s, body.Heartbeat.GetRevision())
			})
		case *wirepb.Control_Announce:
			e.node.Clock.Observe(timeline.Timestamp(body.Announce.GetHlc()))
			e.post(ctx, func(c *control) { c.pullIfBehind(s, body.Announce.GetRevision()) })
		case *wirepb.Control_Pull:
			e.post(ctx, func(c *control) { c.replyToPull(s, body.Pull.GetFromRevision()) })
		case *wirepb.Control_Deltas:
			e.post(ctx, func(c *control) { c.applyPulled(s, body.Deltas) })
		}
	}
}

// addPeerSession adds a session with another entry and closes surplus ones. Of
// two sessions with the same incarnation, both sides close the one that the
// entry with the higher name opened.
func (c *control) addPeerSession(s *wire.Session, hb *node.Heartbeats, dialer string) {
	name := s.Peer().GetInstance()
	p := c.peers[name]
	if p == nil || p.incarnation != s.Peer().GetIncarnation() {
		c.peers[name] = &peer{
			name: name, incarnation: s.Peer().GetIncarnation(), lastHeartbeatAt: time.Now(),
			sessions: map[*wire.Session]*node.Heartbeats{s: hb},
		}
		if p != nil {
			p.closeSessions()
		}
		c.recordMembership(timeline.MemberJoined, name, s)
		c.announceRevision(s)
		return
	}
	p.sessions[s] = hb
	if len(p.sessions) > 1 && dialer == max(name, c.entry.node.Name) {
		_ = s.Close()
	} else {
		for other := range p.sessions {
			if other != s {
				_ = other.Close()
			}
		}
	}
	c.announceRevision(s)
}

func (p *peer) closeSessions() {
	for s := range p.sessions {
		_ = s.Close()
	}
}

// removePeerSession records the end of a session with another entry.
func (c *control) removePeerSession(name string, s *wire.Session) {
	p := c.peers[name]
	if p == nil || p.sessions[s] == nil {
		return
	}
	delete(p.sessions, s)
	if len(p.sessions) == 0 {
		c.recordMembership(timeline.MemberLeft, name, s)
	}
}

// recordPeerHeartbeat records a heartbeat of another entry. One from before a
// pause of this process is only echoed.
func (c *control) recordPeerHeartbeat(s *wire.Session, hb *wirepb.Heartbeat) {
	p := c.peers[s.Peer().GetInstance()]
	if p == nil || p.sessions[s] == nil {
		return
	}
	if !p.sessions[s].IsCurrent(hb) {
		p.sessions[s].RecordReceived(hb)
		return
	}
	changed := p.lastHeartbeat.GetState() != hb.GetState()
	p.lastHeartbeat, p.lastHeartbeatAt = hb, time.Now()
	c.acknowledgeHeartbeat(p.sessions[s], hb, changed)
}

// updatePeers starts and stops links, so that there is one to each entry in the
// settings and in the inventory.
func (c *control) updatePeers() {
	want := map[string]string{}
	for _, addr := range c.entry.settings.Peers {
		want[addr] = ""
	}
	if cfg := c.replica.Config(); cfg != nil {
		for _, en := range cfg.Inventory.Entries {
			want[en.PeerAddr] = en.Name
		}
		for _, en := range cfg.Inventory.Entries {
			if en.Name == c.entry.node.Name {
				delete(want, en.PeerAddr)
			}
		}
	}
	for addr, l := range c.peerLinks {
		if _, ok := want[addr]; !ok {
			l.stop()
			delete(c.peerLinks, addr)
		}
	}
	for addr, name := range want {
		if c.peerLinks[addr] == nil {
			c.peerLinks[addr] = startPeerLink(c.ctx, c.entry, addr, name)
		}
	}
}

// sendHeartbeatsNow sends a heartbeat to every connected process at once.
func (c *control) sendHeartbeatsNow() {
	for _, ct := range c.connectedTargets {
		ct.heartbeats.SendNow()
	}
	for _, p := range c.peers {
		for _, hb := range p.sessions {
			hb.SendNow()
		}
	}
}
