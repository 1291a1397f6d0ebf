package entry

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
)

// acceptTimeout limits the time until an operator receives the outcome of a
// change, or an error that leaves the outcome open.
const acceptTimeout = 8 * time.Second

// queryControl runs f on the control goroutine and returns its result.
func queryControl[T any](ctx context.Context, e *Entry, f func(*control) T) (T, error) {
	result := make(chan T, 1)
	e.post(ctx, func(c *control) { result <- f(c) })
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, errkind.From(ctx.Err())
	}
}

// acceptChange calls accept, which writes a change to the key-value store and
// is passed the revision that is active at this entry. It fails with Isolated if
// this entry does not receive heartbeats from a majority of the configured
// entries, unless allowMinority is set or it has no configuration yet. During
// an outage of the store, a majority of the entries continues to serve, and at
// least one of these must have every accepted change.
func (e *Entry) acceptChange(ctx context.Context, allowMinority bool, accept func(context.Context, uint64) (*configsync.ApplyResult, error)) (*configsync.ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	activeRevision, err := queryControl(ctx, e, (*control).revision)
	if err != nil {
		return nil, err
	}
	majority, err := queryControl(ctx, e, func(c *control) bool { return c.replica.Config() == nil || c.updateVerdict(time.Now()).HasMajority })
	if err != nil {
		return nil, err
	}
	if !majority && !allowMinority {
		return nil, errkind.New(errkind.Isolated,
			"entry %s receives heartbeats from fewer than a majority of the configured entries; use another entry, or allow_minority if the others are gone", e.node.Name)
	}
	accepted, err := accept(ctx, activeRevision)
	if err != nil {
		return nil, err
	}
	if !accepted.AlreadyAccepted {
		e.node.Events.RecordAt(timeline.Timestamp(accepted.Delta.HLC),
			timeline.Event{Kind: timeline.RevisionAccepted, Revision: accepted.Revision, Detail: accepted.Delta.Author})
		// The operator's next read at this entry must return the change.
		_, _ = queryControl(ctx, e, func(c *control) bool { c.applyAccepted(accepted); return true })
		if activeRevision > 0 && majority {
			e.waitForMajority(ctx, accepted.Revision)
		}
	}
	return accepted, nil
}

// Limits of the wait until a majority has an accepted revision.
const (
	majorityTimeout      = 2 * time.Second
	majorityPollInterval = 5 * time.Millisecond
)

// waitForMajority delays the operator's response until the revision is active
// at a majority of the entries. Otherwise, the change could be lost when this
// process and the store fail right after the response, since no other process
// would have it. The change remains accepted if the wait times out.
func (e *Entry) waitForMajority(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, majorityTimeout)
	defer cancel()
	tick := time.NewTicker(majorityPollInterval)
	defer tick.Stop()
	for {
		if done, err := queryControl(ctx, e, func(c *control) bool { return c.majorityHasRevision(revision) }); done || err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// majorityHasRevision reports whether a majority of the configured entries has
// reached the revision.
func (c *control) majorityHasRevision(revision uint64) bool {
	entries := c.replica.Config().Inventory.Entries
	count := 0
	for _, en := range entries {
		if p := c.peers[en.Name]; en.Name == c.entry.node.Name || p != nil && p.lastHeartbeat.GetRevision() >= revision {
			count++
		}
	}
	return count > len(entries)/2
}

// applyAccepted makes a change active that this entry has accepted, without
// waiting for the watch.
func (c *control) applyAccepted(a *configsync.ApplyResult) {
	changed, gap, err := c.replica.ApplyDeltas([]config.Delta{a.Delta})
	if gap || err != nil {
		changed, err = c.replica.ApplySnapshot(a.Revision, a.Tree)
	}
	if err != nil {
		c.entry.node.Log.Error("accepted configuration refused", "error", err)
		return
	}
	if changed {
		c.propagateConfig()
	}
}
