package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/membership"
)

const (
	// watcherCount is how many of the instances that exchange heartbeats watch
	// the store. The others follow: they receive changes from the watchers, so
	// that the number of calls to the store does not grow with the number of
	// instances.
	watcherCount = 2
	// defaultWatchTakeoverAge is the age of the cached copy at which a follower
	// watches the store itself, unless the limits say otherwise. While the watchers
	// work, the age stays below the longest wait of one watch call plus a heartbeat
	// interval.
	defaultWatchTakeoverAge = 1400 * time.Millisecond
	// followCheckInterval is the longest pause until a follower checks again
	// whether it should watch the store, because other instances start and
	// stop.
	followCheckInterval = 250 * time.Millisecond
)

func (c *control) watchTakeoverAge() time.Duration {
	if age := c.g.limits.Load().WatchTakeoverAge; age > 0 {
		return age
	}
	return defaultWatchTakeoverAge
}

// outageDetectionAge is the age of the cached copy at which every follower
// has tried to watch the store itself and has sent a heartbeat with the
// result. If no heartbeat reports that the store is reachable, it is
// unreachable for all instances.
func (c *control) outageDetectionAge() time.Duration {
	return c.watchTakeoverAge() + 2*heartbeatInterval
}

// shouldWatch reports whether this instance should watch the store itself: it
// is one of the selected watchers, or it does not know the store to be
// reachable, or its copy is older than the age at which followers take over.
func (c *control) shouldWatch(now time.Time) bool {
	if !c.storeReachable || now.Sub(c.confirmedAt) > c.watchTakeoverAge() {
		return true
	}
	candidates := []membership.Member{{Name: c.g.id, DataCentre: c.g.opts.DataCentre}}
	for id, p := range c.peers.byID {
		if now.Sub(p.lastHeartbeatAt) < peerTimeout && !p.leaving && (p.storeReachable || p.following) {
			candidates = append(candidates, membership.Member{Name: id, DataCentre: p.record.DataCentre})
		}
	}
	return slices.ContainsFunc(membership.Watchers(candidates, watcherCount), func(w membership.Member) bool { return w.Name == c.g.id })
}

// followUntilNeeded returns when this instance should watch the store itself.
func (c *control) followUntilNeeded(ctx context.Context) {
	for ctx.Err() == nil {
		pause, _ := query(ctx, c, c.updateFollowing)
		if pause == 0 {
			return
		}
		ctxtime.Sleep(ctx, pause)
	}
}

// updateFollowing decides whether this instance follows. It returns the pause
// until the next check, or zero if the instance should watch.
func (c *control) updateFollowing() time.Duration {
	now := time.Now()
	shouldWatch := c.shouldWatch(now)
	if c.following == shouldWatch {
		c.following = !shouldWatch
		c.log.Info("watch of the service changed", "resting", c.following, "age_ms", now.Sub(c.confirmedAt).Milliseconds(), "confirmed_by", c.confirmedBy,
			"revision", infra.RevisionNumber(c.mirror.Revision()), "peers_heard", c.peers.reachableCount(now))
	}
	if shouldWatch {
		return 0
	}
	return min(followCheckInterval, max(time.Millisecond, c.watchTakeoverAge()-now.Sub(c.confirmedAt)))
}
