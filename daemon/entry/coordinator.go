package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// leasePrefix is the prefix of the lease keys. The name of the data centre
// follows.
const leasePrefix = "skylarkstep/lease/coordinator/"

// newLease returns the coordinator lease of this entry's data centre. Only the
// two watchers compete for it, which limits the reads by entries that do not
// hold it.
func (e *Entry) newLease() *lease.Holder {
	record := func(kind timeline.Kind, detail string) {
		e.node.Events.Record(timeline.Event{Kind: kind, Detail: detail})
		e.node.Log.Info("coordinator lease", "event", kind, "detail", detail)
	}
	return lease.New(lease.Options{
		KV:          e.kv,
		Key:         leasePrefix + e.node.DataCentre,
		HolderID:    fmt.Sprintf("%s/%x", e.node.Name, e.node.Incarnation),
		IsCandidate: func() bool { return e.watchesStore.Load() && !e.stopping.Load() && e.snapshot.Load() != nil },
		OnAcquired:  func(n uint64) { record(timeline.LeaseAcquired, fmt.Sprintf("fencing number %d", n)) },
		OnLost: func(n uint64, reason string) {
			record(timeline.LeaseLost, fmt.Sprintf("fencing number %d: %s", n, reason))
		},
	})
}

// Lease returns the coordinator lease. Its token is valid while this entry may
// send orders.
func (e *Entry) Lease() lease.Token { return e.lease }

// Order sends an order to a target process under the fencing number of the
// lease. It fails with Fenced when this entry does not hold the lease or the
// target has seen a higher number.
func (e *Entry) Order(ctx context.Context, target, scope string, o engine.Order) error {
	arguments, err := json.Marshal(o)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "encode the order")
	}
	session, err := queryControl(ctx, e, func(c *control) *wire.Session {
		if ct := c.connectedTargets[target]; ct != nil {
			return ct.session
		}
		return nil
	})
	if err != nil {
		return err
	}
	if session == nil {
		return errkind.New(errkind.TargetUnreachable, "no session with target %s", target)
	}
	// The token is checked last, since the process may have been paused before.
	number, valid := e.lease.Token()
	if !valid {
		return errkind.New(errkind.Fenced, "entry %s does not hold the coordinator lease of %s", e.node.Name, e.node.DataCentre)
	}
	e.node.Events.Record(timeline.Event{Kind: timeline.OrderSent, Target: target, Group: scope, Detail: string(o.Kind)})
	return sendOrder(ctx, session, &wirepb.Order{
		Scope: scope, Fencing: number, Kind: string(o.Kind), Arguments: arguments, Hlc: uint64(e.node.Clock.Now()),
	})
}

func sendOrder(ctx context.Context, s *wire.Session, o *wirepb.Order) error {
	st, err := s.Open(&wirepb.Open{Body: &wirepb.Open_Order{Order: o}})
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = st.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	defer func() { _ = st.Close() }()
	var r wirepb.OrderResult
	if err := st.Recv(&r); err != nil {
		return errkind.Wrap(err, errkind.TargetLost, "no reply to the order")
	}
	switch {
	case r.GetAccepted():
		return nil
	case r.GetHighestFencing() > o.GetFencing():
		return errkind.New(errkind.Fenced, "%s", r.GetReason())
	default:
		return errkind.New(errkind.BackendFailed, "%s", r.GetReason())
	}
}
