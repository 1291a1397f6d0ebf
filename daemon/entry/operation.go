package entry

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/api/gen/callers"
	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/httpapi"
	"github.com/skylarkstep/skylarkstep/errkind"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// outcomeTimeout is the timeout of an outcome query. The call has failed
	// already, so its final response should not be delayed for longer.
	outcomeTimeout = 250 * time.Millisecond
	// reconnectWait is how long a call waits for a target whose session broke. A
	// process that is still running is connected again within the first backoff.
	reconnectWait = 500 * time.Millisecond
	reconnectPoll = 20 * time.Millisecond
)

// IssueOperation issues an operation id that names a target which can accept
// the call now. Nothing is stored: the target first sees the id with the call.
func (s *callerService) IssueOperation(ctx context.Context, p *callers.IssueOperationPayload) (*callers.OperationIssued, error) {
	snap, err := s.entry.readySnapshot()
	if err != nil {
		return nil, err
	}
	backend, err := snap.plainService(p.BackEnd)
	if err != nil {
		return nil, err
	}
	r := request{entry: s.entry, id: httpapi.RequestStateFrom(ctx).RequestID, customer: customerFrom(ctx), backend: backend.Name}
	to, err := r.pickTarget()
	if err != nil {
		return nil, err
	}
	return &callers.OperationIssued{
		OperationID: s.entry.newOperationID(backend.Name, to).String(),
		KeepMs:      int(atmostonce.DefaultRetention.Milliseconds()),
	}, nil
}

// newOperationID issues an id for a target incarnation. The issue time is that
// of the hybrid logical clock. With the wall clock, an entry whose clock is
// slow could issue ids so old that the target cannot tell them from evicted
// ones.
func (e *Entry) newOperationID(backend string, to *route) atmostonce.ID {
	return atmostonce.NewID(backend, to.name, to.incarnation, e.node.Clock.Now().Time())
}

// Outcome returns the state of an operation, with the response if it has
// finished. It changes nothing.
func (s *callerService) Outcome(ctx context.Context, p *callers.OutcomePayload) (*callers.OperationOutcome, error) {
	snap, err := s.entry.readySnapshot()
	if err != nil {
		return nil, err
	}
	id, err := parseOperationID(p.OperationID)
	if err != nil {
		return nil, err
	}
	customer := customerFrom(ctx).Name
	reply := &wirepb.OutcomeReply{State: wirepb.OutcomeReply_STATE_UNKNOWN}
	for _, to := range snap.ownerOrSuccessors(id) {
		if r, ok := queryOutcome(to, &wirepb.Outcome{OperationId: id.String(), Customer: customer}); ok {
			reply = r
		}
		if reply.GetState() != wirepb.OutcomeReply_STATE_UNKNOWN {
			break
		}
	}
	return operationOutcome(p.OperationID, reply), nil
}

func operationOutcome(id string, reply *wirepb.OutcomeReply) *callers.OperationOutcome {
	o := &callers.OperationOutcome{OperationID: id, State: "unknown", DidRun: errkind.Unknown.String()}
	switch reply.GetState() {
	case wirepb.OutcomeReply_STATE_ABSENT:
		o.State = atmostonce.Absent.String()
	case wirepb.OutcomeReply_STATE_RUNNING:
		o.State = atmostonce.Running.String()
	case wirepb.OutcomeReply_STATE_CLOSED:
		o.State, o.DidRun = atmostonce.Closed.String(), errkind.NotRun.String()
	case wirepb.OutcomeReply_STATE_FINISHED:
		status := int(reply.GetHead().GetStatus())
		o.State, o.DidRun = atmostonce.Finished.String(), errkind.Ran.String()
		o.Status, o.Body = &status, reply.GetData()
	}
	return o
}

func parseOperationID(s string) (atmostonce.ID, error) {
	id, err := atmostonce.ParseID(s)
	if err != nil {
		return id, errkind.Wrap(err, errkind.UnknownOperation, "Operation-Id")
	}
	return id, nil
}

func (s *snapshot) plainService(name string) (config.Backend, error) {
	b, ok := s.config.Backend(name)
	if !ok || b.Kind != config.KindService {
		return b, errkind.New(errkind.UnknownBackend, "no plain service is named %q", name)
	}
	return b, nil
}

// owner returns the target incarnation that the id names, or nil if it is not
// connected. restarted reports that another incarnation of the target is
// connected.
func (s *snapshot) owner(id atmostonce.ID) (to *route, restarted bool) {
	r, ok := s.connectedTargets[id.Target]
	if !ok {
		return nil, false
	}
	if r.incarnation != id.Incarnation {
		return nil, true
	}
	return &r, false
}

// successors returns the connected targets that may store the responses of the
// incarnation that the id names.
func (s *snapshot) successors(id atmostonce.ID) []*route {
	var names []string
	for _, t := range s.config.Inventory.Targets {
		if t.Backend == id.Backend {
			names = append(names, t.Name)
		}
	}
	var routes []*route
	for _, name := range atmostonce.Successors(names, id.Target, id.Incarnation) {
		if r, ok := s.connectedTargets[name]; ok {
			routes = append(routes, &r)
		}
	}
	return routes
}

// ownerOrSuccessors returns the owner, or its successors when it is not
// connected.
func (s *snapshot) ownerOrSuccessors(id atmostonce.ID) []*route {
	if to, _ := s.owner(id); to != nil {
		return []*route{to}
	}
	return s.successors(id)
}

// awaitOwner waits up to reconnectWait for a session with the owner. It returns
// nil if there is none, and at once if the target has restarted.
func (e *Entry) awaitOwner(ctx context.Context, id atmostonce.ID) *route {
	ctx, cancel := context.WithTimeout(ctx, reconnectWait)
	defer cancel()
	tick := time.NewTicker(reconnectPoll)
	defer tick.Stop()
	for {
		to, restarted := e.snapshot.Load().owner(id)
		if restarted {
			return nil
		}
		if to != nil && !to.session.IsClosed() {
			return to
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// queryOutcome queries a target process for the state of an operation. It
// returns false when no reply arrives in time. Opening a stream to a paused
// process may block, so this runs on its own goroutine.
func queryOutcome(to *route, q *wirepb.Outcome) (*wirepb.OutcomeReply, bool) {
	replies := make(chan *wirepb.OutcomeReply, 1)
	go func() {
		st, err := to.session.Open(&wirepb.Open{Body: &wirepb.Open_Outcome{Outcome: q}})
		if err != nil {
			return
		}
		defer func() { _ = st.Close() }()
		_ = st.SetReadDeadline(time.Now().Add(outcomeTimeout))
		var reply wirepb.OutcomeReply
		if st.Recv(&reply) == nil {
			replies <- &reply
		}
	}()
	select {
	case r := <-replies:
		return r, true
	case <-time.After(outcomeTimeout):
		return nil, false
	}
}
