package entry

import (
	"time"

	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/membership"
	"github.com/skylarkstep/skylarkstep/timeline"
)

const (
	// watchersPerDataCentre is the number of entries in a data centre that watch
	// the head in the key-value store. The others receive changes from these.
	watchersPerDataCentre = 2
	// pauseThreshold is the gap between two events of the control goroutine above
	// which the process counts as paused. It is four control intervals.
	pauseThreshold = time.Second
)

// lastBidirectionalContact returns the time until which heartbeats arrived in
// both directions, or zero: the earlier of the last heartbeat from the peer and
// its last echo of a heartbeat of this entry.
func (p *peer) lastBidirectionalContact() time.Time {
	var at time.Time
	for _, hb := range p.sessions {
		if e := hb.LastEchoAt(); e.After(at) {
			at = e
		}
	}
	if p.lastHeartbeatAt.Before(at) {
		return p.lastHeartbeatAt
	}
	return at
}

// freshnessView returns the inputs of the freshness verdict: the configuration
// state of this entry and of its peers.
func (c *control) freshnessView() configsync.FreshnessInput {
	v := configsync.FreshnessInput{
		Self: c.entry.node.Name, Revision: c.replica.Revision(),
		ConfirmedAt: c.confirmedAt, StoreReachable: c.entry.storeReachable.Load(),
	}
	for name, p := range c.peers {
		if p.lastHeartbeat == nil || len(p.sessions) == 0 {
			continue
		}
		v.Peers = append(v.Peers, configsync.PeerStatus{
			Name: name, LastHeartbeat: p.lastBidirectionalContact(), Revision: p.lastHeartbeat.GetRevision(),
			Staleness:      time.Duration(p.lastHeartbeat.GetFreshnessAgeMs()) * time.Millisecond,
			StoreReachable: p.lastHeartbeat.GetStoreReachable(),
		})
	}
	if cfg := c.replica.Config(); cfg != nil {
		for _, en := range cfg.Inventory.Entries {
			v.Entries = append(v.Entries, en.Name)
		}
	}
	return v
}

// updateVerdict computes the freshness verdict and records a change of its
// state.
func (c *control) updateVerdict(now time.Time) configsync.Freshness {
	verdict := configsync.EvaluateFreshness(c.freshnessView(), now)
	if verdict.State != c.verdict.State {
		c.entry.node.Events.Record(timeline.Event{
			Kind: timeline.FreshnessChanged, Revision: c.replica.Revision(), Detail: string(verdict.State),
		})
		c.entry.node.Log.Info("freshness changed", "state", verdict.State, "age_ms", verdict.Staleness.Milliseconds())
	}
	c.verdict = verdict
	return verdict
}

// detectPause detects that this process was paused. If so, heartbeats that
// waited in the sockets meanwhile are ignored, and new ones are sent at once.
func (c *control) detectPause(now time.Time) {
	if !c.lastIteration.IsZero() && now.Sub(c.lastIteration) > pauseThreshold {
		c.entry.node.Log.Warn("process was paused", "ms", now.Sub(c.lastIteration).Milliseconds())
		for _, p := range c.peers {
			for _, hb := range p.sessions {
				hb.DiscardEarlier()
				hb.SendNow()
			}
		}
		for _, ct := range c.connectedTargets {
			ct.heartbeats.DiscardEarlier()
			ct.heartbeats.SendNow()
		}
	}
	c.lastIteration = now
}

// updateWatcher decides whether this entry is a watcher. The watchers of a data
// centre are its two entries with the highest rendezvous hash among those that
// are reachable and not stopping.
func (c *control) updateWatcher(now time.Time) {
	cfg := c.replica.Config()
	if cfg == nil {
		c.entry.watchesStore.Store(true)
		return
	}
	self := c.entry.node
	higherRanked := 0
	for _, en := range cfg.Inventory.Entries {
		if en.DataCentre != self.DataCentre || en.Name == self.Name {
			continue
		}
		p := c.peers[en.Name]
		if p == nil || p.leaving() || now.Sub(p.lastBidirectionalContact()) > suspectAfter {
			continue
		}
		if membership.WatchRank(self.DataCentre, en.Name) > membership.WatchRank(self.DataCentre, self.Name) {
			higherRanked++
		}
	}
	c.entry.watchesStore.Store(higherRanked < watchersPerDataCentre)
}
