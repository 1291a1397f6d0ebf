package entry

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/configsync"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/timeline"
)

// acceptTimeout bounds the time until an operator learns the outcome of a
// change, or that it is not known.
const acceptTimeout = 8 * time.Second

// ask runs f on the control goroutine and returns its answer.
func ask[T any](ctx context.Context, e *Entry, f func(*control) T) (T, error) {
	answer := make(chan T, 1)
	e.post(ctx, func(c *control) { answer <- f(c) })
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, errkind.From(ctx.Err())
	}
}

// accept runs a change at the store. An entry that does not hear a majority of
// the configured entries refuses: the majority that an outage of the store
// leaves to serve must contain an entry that knows every accepted change.
func (e *Entry) accept(ctx context.Context, allowMinority bool, run func(context.Context, uint64) (*configsync.ApplyResult, error)) (*configsync.ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	held, err := ask(ctx, e, (*control).revision)
	if err != nil {
		return nil, err
	}
	heard, err := ask(ctx, e, func(c *control) bool { return c.replica.Config() == nil || c.judge(time.Now()).MajorityReachable })
	if err != nil {
		return nil, err
	}
	if !heard && !allowMinority {
		return nil, errkind.New(errkind.Isolated,
			"entry %s hears fewer than a majority of the configured entries; use another entry, or allow_minority if the others are gone", e.node.Name)
	}
	a, err := run(ctx, held)
	if err != nil {
		return nil, err
	}
	if !a.AlreadyAccepted {
		e.node.Events.RecordAt(timeline.Timestamp(a.Delta.HLC),
			timeline.Event{Kind: timeline.RevisionAccepted, Revision: a.Revision, Detail: a.Delta.Author})
		// The operator's next read at this entry must show the change.
		_, _ = ask(ctx, e, func(c *control) bool { c.acceptedHere(a); return true })
		if held > 0 && heard {
			e.waitSpread(ctx, a.Revision)
		}
	}
	return a, nil
}

// Bounds of the wait for a majority that holds an accepted revision.
const (
	spreadBound = 2 * time.Second
	spreadPoll  = 5 * time.Millisecond
)

// waitSpread holds the operator's answer back until a majority of the entries
// has the revision in force. Otherwise a change is known to this process alone
// if both it and the store fail right after the answer. The change stays
// accepted if the bound passes.
func (e *Entry) waitSpread(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, spreadBound)
	defer cancel()
	tick := time.NewTicker(spreadPoll)
	defer tick.Stop()
	for {
		if done, err := ask(ctx, e, func(c *control) bool { return c.majorityHolds(revision) }); done || err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *control) majorityHolds(revision uint64) bool {
	entries := c.replica.Config().Inventory.Entries
	holds := 0
	for _, en := range entries {
		if p := c.peers[en.Name]; en.Name == c.entry.node.Name || p != nil && p.heartbeat.GetRevision() >= revision {
			holds++
		}
	}
	return holds > len(entries)/2
}

// acceptedHere puts a change that this entry accepted into force without
// waiting for the watch.
func (c *control) acceptedHere(a *configsync.ApplyResult) {
	changed, gap, err := c.replica.ApplyDeltas([]config.Delta{a.Delta})
	if gap || err != nil {
		changed, err = c.replica.ApplySnapshot(a.Revision, a.Tree)
	}
	if err != nil {
		c.entry.node.Log.Error("accepted configuration refused", "error", err)
		return
	}
	if changed {
		c.installed()
	}
}
