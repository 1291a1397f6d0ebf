package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/membership"
)

const (
	// watcherCount is how many instances, among those that hear one another,
	// watch the service. The others learn from them, so that the calls do not
	// grow with the instances.
	watcherCount = 2
	// watchTakeoverAge is the age of the copy at which an instance watches itself.
	// Watches that work keep it below the wait of one call and a heartbeat.
	watchTakeoverAge = 1400 * time.Millisecond
	// followCheckInterval is how often an instance that rests looks at least whether it should
	// watch, since other instances come and go.
	followCheckInterval = 250 * time.Millisecond
)

// shouldWatch reports whether this instance should watch the service itself: if
// it is one of those chosen, does not reach it, or hears nothing new from them.
func (c *control) shouldWatch(now time.Time) bool {
	if !c.storeReachable || now.Sub(c.confirmedAt) > watchTakeoverAge {
		return true
	}
	all := []membership.Member{{Name: c.g.id, DataCentre: c.g.opts.DataCentre}}
	for id, p := range c.peers.byID {
		if now.Sub(p.lastHeartbeatAt) < peerTimeout && !p.leaving && (p.storeReachable || p.following) {
			all = append(all, membership.Member{Name: id, DataCentre: p.record.DataCentre})
		}
	}
	return slices.ContainsFunc(membership.Watchers(all, watcherCount), func(w membership.Member) bool { return w.Name == c.g.id })
}

// followUntilNeeded returns when this instance should watch the service itself.
func (c *control) followUntilNeeded(ctx context.Context) {
	for ctx.Err() == nil {
		pause, _ := query(ctx, c, c.updateFollowing)
		if pause == 0 {
			return
		}
		ctxtime.Sleep(ctx, pause)
	}
}

// updateFollowing decides whether this instance rests, and returns the pause until it
// must look again; zero if it watches.
func (c *control) updateFollowing() time.Duration {
	now := time.Now()
	watch := c.shouldWatch(now)
	if c.following == watch {
		c.following = !watch
		c.log.Info("watch of the service changed", "resting", c.following, "age_ms", now.Sub(c.confirmedAt).Milliseconds(),
			"revision", c.mirror.Revision(), "peers_heard", c.peers.reachableCount(now))
	}
	if watch {
		return 0
	}
	return min(followCheckInterval, max(time.Millisecond, watchTakeoverAge-now.Sub(c.confirmedAt)))
}
