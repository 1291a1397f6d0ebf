package gateway

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
)

const (
	// watchersHeard is how many instances, among those that hear one another,
	// watch the service. The others learn from them, so that the calls do not
	// grow with the instances.
	watchersHeard = 2
	// takeOverAfter is the age of the copy at which an instance watches itself.
	// Watches that work keep it below the wait of one call and a heartbeat.
	takeOverAfter = 1400 * time.Millisecond
	// restCheck is how often an instance that rests looks whether it should watch.
	restCheck = 50 * time.Millisecond
)

// candidate is an instance that may watch the service for others.
type candidate struct {
	id, dataCentre string
}

// watchOrder is the same at all instances and mixes data centres.
func watchOrder(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// watchers chooses those that watch. They are in different data centres if
// possible, so that the loss of one leaves another.
func watchers(all []candidate) []candidate {
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(watchOrder(a.id), watchOrder(b.id)), cmp.Compare(a.id, b.id))
	})
	var chosen, others []candidate
	for _, a := range all {
		known := slices.ContainsFunc(chosen, func(b candidate) bool { return a.dataCentre == b.dataCentre })
		if known {
			others = append(others, a)
		} else {
			chosen = append(chosen, a)
		}
	}
	chosen = append(chosen, others...)
	return chosen[:min(watchersHeard, len(chosen))]
}

// shouldWatch reports whether this instance should watch the service itself: if
// it is one of those chosen, does not reach it, or hears nothing new from them.
func (c *control) shouldWatch(now time.Time) bool {
	if !c.reachable || now.Sub(c.confirmedAt) > takeOverAfter {
		return true
	}
	all := []candidate{{c.g.id, c.g.o.DataCentre}}
	for id, p := range c.peers.byID {
		if now.Sub(p.heardAt) < heardFor && !p.leaving && (p.reachable || p.resting) {
			all = append(all, candidate{id, p.record.DataCentre})
		}
	}
	return slices.ContainsFunc(watchers(all), func(w candidate) bool { return w.id == c.g.id })
}

// rest returns when this instance should watch the service itself.
func (c *control) rest(ctx context.Context) {
	for ctx.Err() == nil {
		if watch, _ := query(ctx, c, c.noteResting); watch {
			return
		}
		ctxtime.Sleep(ctx, restCheck)
	}
}

// noteResting decides whether this instance rests, and reports whether it watches.
func (c *control) noteResting() bool {
	now := time.Now()
	watch := c.shouldWatch(now)
	if c.resting == watch {
		c.resting = !watch
		c.log.Info("watch of the service changed", "resting", c.resting, "age_ms", now.Sub(c.confirmedAt).Milliseconds(),
			"revision", c.mirror.Revision(), "peers_heard", c.peers.heard(now))
	}
	return watch
}
