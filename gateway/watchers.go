package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/membership"
)

const (
	// watchersHeard is how many instances, among those that hear one another,
	// watch the service. The others learn from them, so that the calls do not
	// grow with the instances.
	watchersHeard = 2
	// takeOverAfter is the age of the copy at which an instance watches itself.
	// Watches that work keep it below the wait of one call and a heartbeat.
	takeOverAfter = 1400 * time.Millisecond
	// restCheck is how often an instance that rests looks at least whether it should
	// watch, since other instances come and go.
	restCheck = 250 * time.Millisecond
)

// shouldWatch reports whether this instance should watch the service itself: if
// it is one of those chosen, does not reach it, or hears nothing new from them.
func (c *control) shouldWatch(now time.Time) bool {
	if !c.reachable || now.Sub(c.confirmedAt) > takeOverAfter {
		return true
	}
	all := []membership.Member{{Name: c.g.id, DataCentre: c.g.o.DataCentre}}
	for id, p := range c.peers.byID {
		if now.Sub(p.heardAt) < heardFor && !p.leaving && (p.reachable || p.resting) {
			all = append(all, membership.Member{Name: id, DataCentre: p.record.DataCentre})
		}
	}
	return slices.ContainsFunc(membership.Watchers(all, watchersHeard), func(w membership.Member) bool { return w.Name == c.g.id })
}

// rest returns when this instance should watch the service itself.
func (c *control) rest(ctx context.Context) {
	for ctx.Err() == nil {
		pause, _ := query(ctx, c, c.noteResting)
		if pause == 0 {
			return
		}
		ctxtime.Sleep(ctx, pause)
	}
}

// noteResting decides whether this instance rests, and returns the pause until it
// must look again; zero if it watches.
func (c *control) noteResting() time.Duration {
	now := time.Now()
	watch := c.shouldWatch(now)
	if c.resting == watch {
		c.resting = !watch
		c.log.Info("watch of the service changed", "resting", c.resting, "age_ms", now.Sub(c.confirmedAt).Milliseconds(),
			"revision", c.mirror.Revision(), "peers_heard", c.peers.heard(now))
	}
	if watch {
		return 0
	}
	return min(restCheck, max(time.Millisecond, takeOverAfter-now.Sub(c.confirmedAt)))
}
