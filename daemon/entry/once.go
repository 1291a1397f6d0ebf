package entry

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/daemon/target"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// maxOwnerAttempts is the maximum number of dispatches to one owner under one
// id. A dispatch is repeated when the session breaks.
const maxOwnerAttempts = 3

// runWithInternalID runs a non-idempotent call that has neither an operation id
// nor a key. Each attempt has an internal id that only this entry knows.
// Another target is tried only after the owner has closed the id, or when no
// dispatch was written.
func (c *call) runWithInternalID(ctx context.Context) (*callReply, error) {
	for n := 0; ; n++ {
		to, err := c.pickTarget()
		if err != nil {
			return nil, err
		}
		reply, failure := c.runAtOwner(ctx, c.entry.newOperationID(c.backend, to), false)
		if failure == nil {
			return reply, nil
		}
		if ctx.Err() != nil || !c.canRetry(failure) {
			return nil, failure
		}
		c.backoff(ctx, n)
	}
}

// runWithID runs a call under an id that other entries may use at the same
// time.
func (c *call) runWithID(ctx context.Context, id atmostonce.ID) (*callReply, error) {
	st := httpapi.RequestStateFrom(ctx)
	st.OperationID = id.String()
	reply, err := c.runAtOwner(ctx, id, true)
	if err == nil {
		return reply, nil
	}
	// runAtOwner returns NotRun only after the owner has closed the id.
	st.Closed = err.DidRun == errkind.NotRun
	return nil, err
}

// runWithKey runs a call under the operation id that its key is bound to.
func (c *call) runWithKey(ctx context.Context, key string) (*callReply, error) {
	d := c.newDispatch(atmostonce.ID{})
	d.Backend = c.backend
	c.entry.claims.SetEntries(len(c.entry.snapshot.Load().config.Inventory.Entries))
	id, err := c.entry.claims.Claim(ctx, c.customer.Name, key, target.RequestOf(d).Digest, func() (atmostonce.ID, error) {
		to, err := c.pickTarget()
		if err != nil {
			return atmostonce.ID{}, err
		}
		return c.entry.newOperationID(c.backend, to), nil
	})
	if err != nil {
		return nil, err
	}
	return c.runWithID(ctx, id)
}

// runAtOwner dispatches under the id to its owner, the incarnation that the id
// names, up to maxOwnerAttempts times. If the owner does not reply, runAtOwner
// settles the outcome. idShared means that others know the id: NotRun is then
// returned only if the owner confirms it, even when nothing was written.
func (c *call) runAtOwner(ctx context.Context, id atmostonce.ID, idShared bool) (*callReply, *errkind.Error) {
	// The margin leaves time to settle the outcome before the caller's deadline.
	margin := min(outcomeTimeout, time.Until(c.deadline)/4)
	workCtx, cancel := context.WithDeadline(ctx, c.deadline.Add(-margin))
	defer cancel()
	written := false
	var lastErr *errkind.Error
	for range maxOwnerAttempts {
		to := c.entry.awaitOwner(workCtx, id)
		if to == nil {
			return c.replayFromSuccessors(workCtx, id, idShared || written)
		}
		r := c.dispatchTo(workCtx, to, id)
		if r.err == nil {
			return r.reply, nil
		}
		if r.reportedByTarget {
			return nil, r.err
		}
		lastErr = r.err
		written = written || r.err.DidRun != errkind.NotRun
		if workCtx.Err() != nil {
			break
		}
	}
	if !idShared && !written {
		return nil, lastErr.WithDidRun(errkind.NotRun)
	}
	if ctx.Err() == context.Canceled {
		return nil, errkind.From(ctx.Err())
	}
	return c.settleOutcome(id, lastErr)
}

// dispatchResult is the result of one dispatch. reportedByTarget means that the
// target itself returned the error.
type dispatchResult struct {
	reply            *callReply
	err              *errkind.Error
	reportedByTarget bool
}

// dispatchTo makes one attempt under the id.
func (c *call) dispatchTo(ctx context.Context, to *route, id atmostonce.ID) dispatchResult {
	return c.prepareAttempt(to, c.newDispatch(id))(ctx)
}

// prepareAttempt counts an attempt and returns the function that makes it. The
// function returns at the latest when its context ends. A write to a paused
// process may block for longer, so the attempt runs on its own goroutine. If
// its dispatch is written late, the target finds the operation closed.
func (c *call) prepareAttempt(to *route, d *wirepb.Dispatch) func(context.Context) dispatchResult {
	attemptCall := *c
	attemptCall.triedTargets = nil
	c.attempts++
	if c.triedTargets == nil {
		c.triedTargets = map[string]bool{}
	}
	c.triedTargets[to.name] = true
	results := make(chan dispatchResult, 1)
	return func(ctx context.Context) dispatchResult {
		go func() { results <- attemptCall.runAttempt(ctx, to, d) }()
		select {
		case r := <-results:
			return r
		case <-ctx.Done():
			return dispatchResult{err: errkind.From(ctx.Err())}
		}
	}
}

// runAttempt dispatches to the target and reads the reply.
func (c *call) runAttempt(ctx context.Context, to *route, d *wirepb.Dispatch) dispatchResult {
	a, err := c.beginAttempt(ctx, to, d)
	if err != nil {
		return dispatchResult{err: errkind.From(err)}
	}
	reply, err := a.readReply()
	if err != nil && !a.reportedByTarget && ctx.Err() != nil {
		// The context closed the stream; the target did not fail.
		err = errkind.From(ctx.Err())
	}
	a.end(err)
	return dispatchResult{reply: reply, err: errkind.From(err), reportedByTarget: a.reportedByTarget}
}

// newDispatch returns a new dispatch. Each attempt needs its own, since an
// abandoned attempt may still be writing an earlier one.
func (c *call) newDispatch(id atmostonce.ID) *wirepb.Dispatch {
	return &wirepb.Dispatch{
		OperationId: id.String(),
		Operation:   c.dispatch.GetOperation(),
		Method:      c.dispatch.GetMethod(),
		Query:       c.dispatch.GetQuery(),
		Headers:     c.dispatch.GetHeaders(),
		Body:        c.dispatch.GetBody(),
	}
}

// settleOutcome queries the owner for the outcome of a call that the entry has
// abandoned, and closes the operation if it has not started. Without a reply,
// the outcome is unknown and the call may still run later.
func (c *call) settleOutcome(id atmostonce.ID, cause *errkind.Error) (*callReply, *errkind.Error) {
	unknown := cause.WithDidRun(errkind.Unknown)
	to, _ := c.entry.snapshot.Load().owner(id)
	if to == nil {
		return nil, unknown
	}
	d := c.newDispatch(id)
	d.Backend, d.Customer = c.backend, c.customer.Name
	r := target.RequestOf(d)
	reply, ok := queryOutcome(to, &wirepb.Outcome{
		OperationId: id.String(), Customer: r.Customer, Digest: r.Digest[:], CloseIfAbsent: true,
	})
	if !ok {
		return nil, unknown
	}
	switch reply.GetState() {
	case wirepb.OutcomeReply_STATE_CLOSED:
		return nil, cause.WithDidRun(errkind.NotRun)
	case wirepb.OutcomeReply_STATE_FINISHED:
		return &callReply{head: reply.GetHead(), body: reply.GetData(), replayed: true}, nil
	default:
		return nil, unknown
	}
}

// replayFromSuccessors returns the stored response from a successor of an owner
// that is not connected. Successors do not run the operation, since the id does
// not name them. If the call cannot have run, the error is TargetUnreachable.
func (c *call) replayFromSuccessors(ctx context.Context, id atmostonce.ID, mayHaveRun bool) (*callReply, *errkind.Error) {
	if !mayHaveRun {
		return nil, errkind.New(errkind.TargetUnreachable, "target %s is not connected", id.Target)
	}
	for _, to := range c.entry.snapshot.Load().successors(id) {
		r := c.dispatchTo(ctx, to, id)
		if r.err == nil {
			return r.reply, nil
		}
		if r.reportedByTarget && r.err.Kind != errkind.OperationUnknown {
			return nil, r.err
		}
	}
	return nil, errkind.New(errkind.OperationUnknown,
		"the incarnation of target %s that the operation id names is not connected, and no stored response was found", id.Target)
}
