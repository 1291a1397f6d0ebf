package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/timeline"
)

// instancePollInterval is the mean time between two reads of the instance list.
// The list lags anyway; failures are detected early by heartbeats.
const instancePollInterval = 2 * time.Second

// watchInstances polls the instance list until ctx is cancelled. While the list
// cannot be read, the last result remains in use.
func (e *Entry) watchInstances(ctx context.Context) {
	for {
		rows, err := e.instances.Instances(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil || errkind.KindOf(err) == errkind.InvalidRequest:
			e.logOddRow(err)
			e.post(ctx, func(c *control) { c.applyInstanceList(rows) })
		default:
			e.node.Log.Warn("instance list does not answer", "error", err)
		}
		select {
		case <-time.After(instancePollInterval/2 + rand.N(instancePollInterval)):
		case <-ctx.Done():
			return
		}
	}
}

// logOddRow logs a row that is not that of an instance, once while it stays.
func (e *Entry) logOddRow(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != "" && text != e.oddRow {
		e.node.Log.Warn("row of the instance list not readable", "error", text)
	}
	e.oddRow = text
}

// applyInstanceList applies a result of the instance list, which can only
// withdraw instances: those that it shows as leaving get no new work. A missing
// row has no meaning, since the list lags, and an empty list is ignored.
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
