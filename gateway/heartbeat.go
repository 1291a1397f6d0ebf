package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// neverConfirmedAgeMs is sent as the age of a copy that was never confirmed.
const neverConfirmedAgeMs = uint64(1) << 40 // milliseconds

// heartbeat returns the heartbeat that this instance sends to a peer now.
func (c *control) heartbeat(to string, session *wire.Session, now time.Time) *wirepb.PeerBeat {
	b := &wirepb.PeerBeat{
		Instance: c.g.id, StoreAgeMs: neverConfirmedAgeMs,
		StoreRevision: infra.RevisionNumber(c.mirror.Revision()), StoreEra: infra.Era(c.mirror.Revision()),
		Leaving: c.g.isLeaving(), StoreReachable: c.storeReachable && !c.following, StoreResting: c.following, Process: c.g.opts.Process,
		QuarantineDigest: c.crashes.Digest(),
	}
	if !c.confirmedAt.IsZero() {
		b.StoreAgeMs = ceilMillis(now.Sub(c.confirmedAt))
	}
	c.addEcho(b, to, session, now)
	for _, slowdowns := range c.slowdownsByGroup {
		for addr, slowdown := range slowdowns {
			b.Slow = append(b.Slow, &wirepb.SlowTarget{Addr: addr, Percent: uint32(100 * slowdown)})
		}
	}
	c.addLimits(b, now)
	for id, t := range c.targets {
		if n := t.ownRequests.Load(); n > 0 {
			b.Loads = append(b.Loads, &wirepb.TargetLoad{Target: id, Requests: uint32(n)})
		}
	}
	return b
}

// ceilMillis returns an age in whole milliseconds, rounded up so that the copy is
// not taken for more recent than it is.
func ceilMillis(age time.Duration) uint64 {
	return uint64((max(0, age) + time.Millisecond - 1) / time.Millisecond)
}

// applyHeartbeat updates the state of a peer. It requests changes if the peer
// has a newer copy of the store. A peer of the previous build sends no era: if the
// store has eras, its copy confirms nothing, and this instance watches the store
// itself once its own copy is old. So it does if a peer sends no echo, whose ages mean
// nothing here.
func (c *control) applyHeartbeat(session *wire.Session, id string, b *wirepb.PeerBeat, receivedAt, now time.Time) {
	p := c.peers.byID[id]
	if p == nil {
		p = &peer{}
		c.peers.byID[id] = p
		c.needsPublish = true
	}
	leaving := b.GetLeaving() || p.handsOver(b.GetProcess())
	if now.Sub(p.lastHeartbeatAt) > peerTimeout || p.leaving != leaving {
		c.needsPublish = true
		c.log.Info("instance heard", "peer", id, "leaving", leaving)
	}
	if r, ok := c.instances[id]; ok {
		p.record = r
	}
	if b.GetLeaving() && !p.leaving && !p.lastHeartbeatAt.IsZero() {
		p.leavingSince = now
	}
	p.session, p.process = session, b.GetProcess()
	p.lastHeartbeat = receivedHeartbeat{session, b.GetSentAtNs(), receivedAt}
	p.lastHeartbeatAt, p.leaving, p.storeReachable, p.following = now, leaving, b.GetStoreReachable(), b.GetStoreResting()
	p.slowdowns = make(map[string]float64, len(b.GetSlow()))
	for _, t := range b.GetSlow() {
		p.slowdowns[t.GetAddr()] = float64(t.GetPercent()) / 100
	}
	p.requestsByTarget = make(map[string]uint32, len(b.GetLoads()))
	for _, l := range b.GetLoads() {
		p.requestsByTarget[l.GetTarget()] = l.GetRequests()
	}
	p.demands = make(map[string]float64, len(b.GetDemands()))
	for _, d := range b.GetDemands() {
		p.demands[d.GetBackend()] = d.GetRequestsPerS()
	}
	madeAt, dated := madeAfter(b, now)
	if !dated {
		madeAt = now // a limit must be known at once
	}
	c.mergeLimits(b.GetLimits(), madeAt, now)
	c.compareReports(p, session, b.GetQuarantineDigest(), now)
	own := c.mirror.Revision()
	switch peerRevision := infra.NewRevision(b.GetStoreEra(), b.GetStoreRevision()); {
	case peerRevision > own:
		c.requestChanges(session, own, now)
	case peerRevision == own && dated && b.GetStoreAgeMs() < neverConfirmedAgeMs:
		c.confirmAsOf(madeAt.Add(-time.Duration(b.GetStoreAgeMs())*time.Millisecond), "instance "+id)
	}
}
