package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/gateway/crashguard"
	"github.com/skylarkstep/skylarkstep/gateway/groupadmission"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// heartbeatInterval is the pause between heartbeats to a peer.
	heartbeatInterval = 250 * time.Millisecond
	// peerTimeout is how long a peer counts as reachable after its last
	// heartbeat.
	peerTimeout = 1500 * time.Millisecond
	// sessionTimeout ends a session on which nothing arrives.
	sessionTimeout = 1200 * time.Millisecond
	// peerRetention is how long an unresponsive peer stays in the table at least.
	// While it does, its record in the store is ignored, even if its lease has not
	// expired.
	peerRetention = 15 * time.Second
	// maxDialedPeers is how many peers an instance dials: those that follow it
	// in the order of ids.
	maxDialedPeers = 4
	// connectInterval is the pause between checks for peers to dial.
	connectInterval = 250 * time.Millisecond
	peerDialTimeout = 700 * time.Millisecond
)

// liveInstances returns the records of the other instances that callers may
// use. It omits peers without recent heartbeats, unless this instance receives
// no heartbeats at all.
func (c *control) liveInstances(now time.Time) map[string]instanceRecord {
	live := maps.Clone(c.instances)
	delete(live, c.g.id)
	reachesAny := c.peers.reachableCount(now) > 0
	for id, p := range c.peers.byID {
		reachable := now.Sub(p.lastHeartbeatAt) < peerTimeout
		switch {
		case p.leaving:
			delete(live, id)
		case reachable && p.record.CallerAddr != "":
			live[id] = p.record
		case !reachable && reachesAny:
			delete(live, id)
		}
	}
	return live
}

// sendingInstances returns the ids of the instances that send requests, including
// this one, in order. Peers that are leaving still do.
func (c *control) sendingInstances(now time.Time) []string {
	ids := slices.Collect(maps.Keys(c.liveInstances(now)))
	ids = append(ids, c.peers.leaving(now)...)
	ids = append(ids, c.g.id)
	slices.Sort(ids)
	return ids
}

// ProcessExited reports whether a process of another instance is presumed to
// have exited: its heartbeats have stopped although those of others arrive, or
// the instance runs another process. Names of processes are INSTANCE/NUMBER.
func (g *Gateway) ProcessExited(ctx context.Context, process string) bool {
	instance, _, _ := strings.Cut(process, "/")
	exited, _ := query(ctx, g.control, func() bool {
		now := time.Now()
		p := g.control.peers.byID[instance]
		switch {
		case p == nil:
			return false
		case now.Sub(p.lastHeartbeatAt) <= peerTimeout:
			return p.process != "" && p.process != process
		default:
			return g.control.peers.reachableCount(now) > 0
		}
	})
	return exited
}

// SetSlowTargets sets the slowdown factors of the slow targets of a rank group
// that this process coordinates. The keys are the addresses of the targets.
// Heartbeats pass the factors on to the other instances.
func (g *Gateway) SetSlowTargets(ctx context.Context, group string, slowdowns map[string]float64) {
	g.control.post(ctx, func() { g.control.slowdownsByGroup[group] = slowdowns })
}

// slowdown returns the slowdown factor of a target: the largest that this
// instance or a reachable peer reports, or else 1, which is normal.
func (c *control) slowdown(addr string, now time.Time) float64 {
	slowdown := c.peers.slowdown(addr, now)
	for _, slowdowns := range c.slowdownsByGroup {
		slowdown = max(slowdown, slowdowns[addr])
	}
	return slowdown
}

// missesChanges reports whether this instance may miss changes that others have
// received: its copy of the store is stale, and neither the store nor any other
// instance is reachable.
func (c *control) missesChanges(now time.Time) bool {
	if now.Sub(c.confirmedAt) <= maxFreshAge || c.peers.reachableCount(now) > 0 {
		return false
	}
	return len(c.instances) > 1 || len(c.peers.byID) > 0
}

// dialPeers keeps sessions to the peers that this instance should dial.
func (g *Gateway) dialPeers(ctx context.Context) {
	for ctx.Err() == nil {
		addrs, _ := query(ctx, g.control, g.control.peersToDial)
		for id, addr := range addrs {
			if g.peerSessions.claim(id) {
				go func() {
					defer g.peerSessions.release(id)
					g.dialPeer(ctx, id, addr)
				}()
			}
		}
		ctxtime.Sleep(ctx, connectInterval)
	}
}

// peersToDial returns the addresses of the instances that follow this one in
// the order of ids.
func (c *control) peersToDial() map[string]string {
	found := maps.Clone(c.instances)
	for id, p := range c.peers.byID {
		if p.record.PeerAddr != "" {
			found[id] = p.record
		}
	}
	delete(found, c.g.id)
	ids := slices.Sorted(maps.Keys(found))
	start, _ := slices.BinarySearch(ids, c.g.id)
	addrs := map[string]string{}
	for k := range dialCount(start, len(ids)+1) {
		id := ids[(start+k)%len(ids)]
		addrs[id] = found[id].PeerAddr
	}
	if c.g.isLeaving() {
		c.addMissingPeers(addrs, ids, start, found)
	}
	return addrs
}

// addMissingPeers adds the instances before and after a stopping one that have no
// session with it. Those that should dial it may not have seen its record, which
// is removed when the stop begins.
func (c *control) addMissingPeers(addrs map[string]string, ids []string, start int, found map[string]instanceRecord) {
	for k := range min(maxDialedPeers, len(ids)) {
		for _, i := range []int{start + k, start - 1 - k} {
			id := ids[(i+len(ids))%len(ids)]
			if p := c.peers.byID[id]; p == nil || !p.hasSession() {
				addrs[id] = found[id].PeerAddr
			}
		}
	}
}

// dialCount returns how many of the next instances the one at position dials, so
// that no pair dials each other. If the number of instances is even, two of them
// are half the circle apart, and only the lower one dials the other.
func dialCount(position, instances int) int {
	n := (instances - 1) / 2
	if instances%2 == 0 && position < instances/2 {
		n++
	}
	return min(maxDialedPeers, n)
}

func (g *Gateway) dialPeer(ctx context.Context, id, addr string) {
	dialCtx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	session, err := wire.Dial(dialCtx, addr, nil, g.hello())
	if err != nil {
		g.log.Debug("peer not reachable", "peer", id, "addr", addr, "error", err.Error())
		ctxtime.Sleep(ctx, connectInterval*time.Duration(1+rand.IntN(3)))
		return
	}
	g.servePeer(ctx, session)
}

// acceptPeers serves the sessions that other instances open.
func (g *Gateway) acceptPeers(ctx context.Context, l net.Listener) {
	for {
		conn, err := wire.Accept(l, g.log)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Error("peer listener failed", "error", err.Error())
			}
			return
		}
		go func() {
			session, err := wire.Server(conn, nil, g.hello())
			if err != nil {
				g.log.Warn("handshake with peer failed", "addr", conn.RemoteAddr().String(), "error", err.Error())
				return
			}
			if session.Peer().GetRole() == groupadmission.Role {
				g.serveAdmission(ctx, session)
				return
			}
			g.servePeer(ctx, session)
		}()
	}
}

// serveAdmission serves an instance that asks for places at rank groups.
func (g *Gateway) serveAdmission(ctx context.Context, session *wire.Session) {
	defer func() { _ = session.Close() }()
	defer context.AfterFunc(ctx, func() { _ = session.Close() })()
	g.admissionServer.Serve(ctx, session)
}

func (g *Gateway) hello() *wirepb.Hello {
	return &wirepb.Hello{Instance: g.id, Role: "gateway", DataCentre: g.opts.DataCentre}
}

// servePeer exchanges heartbeats and changes with a peer until the session
// breaks.
func (g *Gateway) servePeer(ctx context.Context, session *wire.Session) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = session.Close() }()
	id := session.Peer().GetInstance()
	go func() {
		defer cancel()
		stopBegan := g.stops.began.Done()
		for ctx.Err() == nil {
			if err := g.sendHeartbeat(ctx, session); err != nil {
				return
			}
			select {
			case <-time.After(heartbeatInterval):
			case <-stopBegan: // the peer must not name this instance any longer
				stopBegan = nil
			case <-ctx.Done():
			}
		}
	}()
	go func() {
		<-ctx.Done()
		_ = session.Close()
	}()
	for {
		_ = session.Control().SetReadDeadline(time.Now().Add(sessionTimeout))
		var f wirepb.PeerFrame
		if err := session.Control().Recv(&f); err != nil {
			g.log.Debug("peer session ended", "peer", id, "error", err.Error())
			return
		}
		receivedAt := time.Now()
		g.control.call(ctx, func() { g.control.handlePeerFrame(session, id, &f, receivedAt) })
	}
}

func (g *Gateway) sendHeartbeat(ctx context.Context, session *wire.Session) error {
	b, ok := query(ctx, g.control, func() *wirepb.PeerBeat {
		return g.control.heartbeat(session.Peer().GetInstance(), session, time.Now())
	})
	if !ok {
		return errors.WithStack(ctx.Err())
	}
	_ = session.Control().SetWriteDeadline(time.Now().Add(sessionTimeout))
	return errors.WithStack(session.Control().Send(&wirepb.PeerFrame{Body: &wirepb.PeerFrame_Beat{Beat: b}}))
}

// handlePeerFrame handles one message from a peer, which arrived at receivedAt.
func (c *control) handlePeerFrame(session *wire.Session, id string, f *wirepb.PeerFrame, receivedAt time.Time) {
	now := time.Now()
	switch body := f.GetBody().(type) {
	case *wirepb.PeerFrame_Beat:
		c.applyHeartbeat(session, id, body.Beat, receivedAt, now)
	case *wirepb.PeerFrame_Pull:
		d := c.mirror.DeltaSince(infra.NewRevision(body.Pull.GetFromEra(), body.Pull.GetFromRevision()))
		c.sendAsync(session, &wirepb.PeerFrame{Body: &wirepb.PeerFrame_Delta{Delta: encodeDelta(d)}})
	case *wirepb.PeerFrame_Delta:
		c.pullPendingUntil = time.Time{}
		c.updateCopy("instance "+id, now, func() []string { return c.mirror.Merge(decodeDelta(body.Delta)) })
	case *wirepb.PeerFrame_Quarantine:
		c.crashes.Merge(crashguard.Decode(body.Quarantine, 0), "instance "+id, now)
	case *wirepb.PeerFrame_Handover:
		c.receiveTerm(id, Term{Group: body.Handover.GetGroup(), Fencing: body.Handover.GetFencing(), Maps: body.Handover.GetMaps()}, now)
	}
}

// sendAsync sends a message without blocking the control goroutine.
func (c *control) sendAsync(session *wire.Session, f *wirepb.PeerFrame) {
	go func() {
		_ = session.Control().SetWriteDeadline(time.Now().Add(sessionTimeout))
		if err := session.Control().Send(f); err != nil {
			c.log.Debug("message to peer not sent", "error", err.Error())
		}
	}()
}
