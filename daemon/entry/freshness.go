package entry

import (
	"time"

	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/membership"
	"github.com/skylarkstep/skylarkstep/timeline"
)

const (
	// watchersPerDataCentre read the head; the others learn from them.
	watchersPerDataCentre = 2
	// pauseNoticed is four control ticks. A longer gap means that the process
	// was paused.
	pauseNoticed = time.Second
)

// heardBothWays returns when both directions of the pair last worked, or zero.
func (p *peer) heardBothWays() time.Time {
	var at time.Time
	for _, hb := range p.sessions {
		if e := hb.LastEchoAt(); e.After(at) {
			at = e
		}
	}
	if p.heardAt.Before(at) {
		return p.heardAt
	}
	return at
}

// view returns what this entry knows about the configuration.
func (c *control) view() configsync.View {
	v := configsync.View{
		Self: c.entry.node.Name, Revision: c.replica.Revision(),
		ConfirmedAt: c.confirmedAt, StoreReachable: c.entry.reachable.Load(),
	}
	for name, p := range c.peers {
		if p.heartbeat == nil || len(p.sessions) == 0 {
			continue
		}
		v.Peers = append(v.Peers, configsync.PeerView{
			Name: name, HeardAt: p.heardBothWays(), Revision: p.heartbeat.GetRevision(),
			Age:            time.Duration(p.heartbeat.GetFreshnessAgeMs()) * time.Millisecond,
			StoreReachable: p.heartbeat.GetStoreReachable(),
		})
	}
	if cfg := c.replica.Config(); cfg != nil {
		for _, en := range cfg.Inventory.Entries {
			v.Entries = append(v.Entries, en.Name)
		}
	}
	return v
}

// judge renews the verdict and records a change of its state.
func (c *control) judge(now time.Time) configsync.Verdict {
	verdict := configsync.Judge(c.view(), now)
	if verdict.State != c.verdict.State {
		c.entry.node.Events.Record(timeline.Event{
			Kind: timeline.FreshnessChanged, Revision: c.replica.Revision(), Detail: string(verdict.State),
		})
		c.entry.node.Log.Info("freshness changed", "state", verdict.State, "age_ms", verdict.Age.Milliseconds())
	}
	c.verdict = verdict
	return verdict
}

// noticePause forgets what waited in the sockets while this process was paused.
func (c *control) noticePause(now time.Time) {
	if !c.lastLoop.IsZero() && now.Sub(c.lastLoop) > pauseNoticed {
		c.entry.node.Log.Warn("process was paused", "ms", now.Sub(c.lastLoop).Milliseconds())
		for _, p := range c.peers {
			for _, hb := range p.sessions {
				hb.DiscardEarlier()
				hb.SendNow()
			}
		}
		for _, m := range c.members {
			m.beats.DiscardEarlier()
			m.beats.SendNow()
		}
	}
	c.lastLoop = now
}

// updateWatcher decides whether this entry reads the head: the two entries of
// the data centre with the highest rendezvous hash among those heard.
func (c *control) updateWatcher(now time.Time) {
	cfg := c.replica.Config()
	if cfg == nil {
		c.entry.watcher.Store(true)
		return
	}
	self := c.entry.node
	above := 0
	for _, en := range cfg.Inventory.Entries {
		if en.DataCentre != self.DataCentre || en.Name == self.Name {
			continue
		}
		p := c.peers[en.Name]
		if p == nil || p.leaving() || now.Sub(p.heardBothWays()) > suspectAfter {
			continue
		}
		if membership.WatchRank(self.DataCentre, en.Name) > membership.WatchRank(self.DataCentre, self.Name) {
			above++
		}
	}
	c.entry.watcher.Store(above < watchersPerDataCentre)
}
