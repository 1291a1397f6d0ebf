package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/timeline"
)

// instancePollInterval is the mean time between two reads of the instance list. The
// list lags by itself; heartbeats are what finds failures fast.
const instancePollInterval = 2 * time.Second

// watchInstances reads the instance list until ctx ends. While it does not
// answer, the last answer counts.
func (e *Entry) watchInstances(ctx context.Context) {
	for {
		rows, err := e.instances.Instances(ctx)
		if err == nil {
			e.post(ctx, func(c *control) { c.applyInstanceList(rows) })
		} else if ctx.Err() == nil {
			e.node.Log.Warn("instance list does not answer", "error", err)
		}
		select {
		case <-time.After(instancePollInterval/2 + rand.N(instancePollInterval)):
		case <-ctx.Done():
			return
		}
	}
}

// applyInstanceList takes an answer of the instance list. The list only removes: instances
// that it shows as leaving get no new work. A missing row says nothing, since
// the list lags, and an empty list removes nobody.
func (c *control) applyInstanceList(rows []infra.Instance) {
	if len(rows) == 0 {
		return
	}
	leaving := map[string]bool{}
	for _, r := range rows {
		if r.State != infra.InstanceLeaving {
			continue
		}
		leaving[r.Name] = true
		if !c.leavingInstances[r.Name] {
			c.entry.node.Events.Record(timeline.Event{
				Kind: timeline.MemberState, Target: r.Name, DataCentre: r.DataCentre, Detail: "leaving by the instance list",
			})
		}
	}
	c.leavingInstances = leaving
	c.publishNow = true
}
