package gateway

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// handOverTimeout limits the wait for the control goroutine, which may have ended.
const handOverTimeout = time.Second

// Term is the period for which one coordinator controls a rank group.
type Term struct {
	Group   string
	Fencing uint64
	// Maps is the number of expert maps planned so far.
	Maps uint64
}

// HandOver passes a term to another instance that is reachable and not leaving.
// The caller must have stopped sending orders for the group.
func (g *Gateway) HandOver(ctx context.Context, t Term) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	g.control.call(ctx, func() { g.control.handOver(t, time.Now()) })
}

// handOver sends a term to one instance. It is sent to no second one if the
// message gets lost: two coordinators with one fencing number could use one
// version for two maps. The group's standby replaces a lost coordinator.
func (c *control) handOver(t Term, now time.Time) {
	id, p := c.successor(t, now)
	if p == nil {
		c.log.Warn("term not handed over", "group", t.Group, "fencing", t.Fencing, "reason", "no instance is reachable and stays")
		return
	}
	c.log.Info("term handed over", "peer", id, "group", t.Group, "fencing", t.Fencing, "maps", t.Maps)
	if p.receivedTerms == nil {
		p.receivedTerms = map[Term]bool{}
	}
	p.receivedTerms[t] = true
	c.sendAsync(p.session, &wirepb.PeerFrame{Body: &wirepb.PeerFrame_Handover{
		Handover: &wirepb.TermHandover{Group: t.Group, Fencing: t.Fencing, Maps: t.Maps},
	}})
}

// successor returns an instance that can continue a term, preferably in another
// data centre, since the instances of one are often stopped together. An instance
// that got the term before is stopping if the term has come back.
func (c *control) successor(t Term, now time.Time) (id string, successor *peer) {
	for candidateID, p := range c.peers.byID {
		if p.leaving || p.receivedTerms[t] || now.Sub(p.lastHeartbeatAt) > peerTimeout || !p.hasSession() {
			continue
		}
		if successor == nil || p.record.DataCentre != c.g.opts.DataCentre {
			id, successor = candidateID, p
		}
	}
	return id, successor
}

// hasSession reports whether the session of the last heartbeat is open.
func (p *peer) hasSession() bool { return p.session != nil && !p.session.IsClosed() }

// receiveTerm takes a term over from another instance. If this process is
// stopping too, the term goes on to an instance that stays. The heartbeats of the
// sender may not have reported yet that it is leaving.
func (c *control) receiveTerm(from string, t Term, now time.Time) {
	if p := c.peers.byID[from]; p != nil {
		if !p.leaving {
			p.leavingSince = now
		}
		p.leaving, p.handedOver, c.needsPublish = true, true, true
	}
	if c.g.opts.TakeOver == nil || !c.g.opts.TakeOver(t) {
		c.log.Info("term not taken over", "peer", from, "group", t.Group, "fencing", t.Fencing)
		c.handOver(t, now)
	}
}
