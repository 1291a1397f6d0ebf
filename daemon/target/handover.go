package target

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// handoverTimeout limits the transfer to one successor. If no successor
	// accepts the operations, the planned stop continues and their outcome
	// becomes unknown.
	handoverTimeout = 3 * time.Second
	// handoverBatch is the maximum size in bytes of the responses in one batch. A
	// response has at most 1 MB, so a batch stays under wire.MaxMessage.
	handoverBatch = 1 << 20
)

// origin identifies the target process that an operation id names.
type origin struct {
	target      string
	incarnation uint64
}

// handOverOperations moves stored responses to successors, so that a retry still
// gets the first response after this process has stopped. Responses that were
// handed over to this process move to the successors of their origin, since
// entries look for them there.
func (t *Target) handOverOperations() {
	c := t.config.Load()
	if c == nil {
		return
	}
	byOrigin := map[origin][]*wirepb.StoredAnswer{}
	for _, s := range t.operations.exportStored() {
		o := origin{s.ID.Target, s.ID.Incarnation}
		byOrigin[o] = append(byOrigin[o], encodeStored(s))
	}
	for o, responses := range byOrigin {
		if err := t.handOverTo(c, o, responses); err != nil {
			t.node.Log.Warn("planned stop: stored responses are lost", "answers", len(responses), "error", err)
			continue
		}
		t.node.Events.Record(timeline.Event{Kind: timeline.StopStep, Target: t.node.Name, Detail: "stored responses moved"})
	}
}

// handOverTo sends the responses to the first successor that accepts them.
// Successors that are leaving come last.
func (t *Target) handOverTo(c *config.Config, o origin, responses []*wirepb.StoredAnswer) error {
	var staying, leaving []config.Target
	for _, name := range atmostonce.Successors(backendTargets(c, t.settings.Target.Backend), o.target, o.incarnation) {
		s, _ := c.Target(name)
		switch {
		case name == t.node.Name:
		case c.IsLeaving(s):
			leaving = append(leaving, s)
		default:
			staying = append(staying, s)
		}
	}
	err := errors.New("the back end has no other target")
	for _, s := range append(staying, leaving...) {
		if err = t.sendStored(s.PeerAddr, responses); err == nil {
			return nil
		}
	}
	return err
}

func backendTargets(c *config.Config, backend string) []string {
	var names []string
	for _, t := range c.Inventory.Targets {
		if t.Backend == backend {
			names = append(names, t.Name)
		}
	}
	return names
}

func (t *Target) sendStored(addr string, responses []*wirepb.StoredAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	s, err := wire.Dial(ctx, addr, t.node.ClusterKey, t.node.Hello(t.revision()))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	// A stalled successor must not delay the stop.
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	for len(responses) > 0 {
		n, size := 0, 0
		for n < len(responses) && (n == 0 || size+len(responses[n].GetData()) <= handoverBatch) {
			size += len(responses[n].GetData())
			n++
		}
		if err := t.sendBatch(s, responses[:n]); err != nil {
			return err
		}
		responses = responses[n:]
	}
	return nil
}

func (t *Target) sendBatch(s *wire.Session, responses []*wirepb.StoredAnswer) error {
	st, err := s.Open(&wirepb.Open{Body: &wirepb.Open_Handover{Handover: &wirepb.Handover{
		FromTarget: t.node.Name, FromIncarnation: t.node.Incarnation, Answers: responses,
	}}})
	if err != nil {
		return err
	}
	defer func() { _ = st.Close() }()
	var reply wirepb.HandoverReply
	return errors.Wrap(st.Recv(&reply), "read the reply of the successor")
}

// serveHandover stores the responses of a stopping target process.
func (t *Target) serveHandover(st *wire.Stream, h *wirepb.Handover) {
	stored := uint32(0)
	for _, m := range h.GetAnswers() {
		id, err := atmostonce.ParseID(m.GetOperationId())
		if err == nil && t.operations.importStored(decodeStored(id, m)) {
			stored++
		}
	}
	t.node.Log.Info("stored responses taken over", "from", h.GetFromTarget(), "stored", stored, "offered", len(h.GetAnswers()))
	_ = st.Send(&wirepb.HandoverReply{Stored: stored})
}

func encodeStored(s atmostonce.StoredOperation) *wirepb.StoredAnswer {
	m := &wirepb.StoredAnswer{
		OperationId: s.ID.String(),
		Customer:    s.Request.Customer,
		Digest:      s.Request.Digest[:],
		Closed:      s.Outcome.State == atmostonce.Closed,
	}
	if response := s.Outcome.Response; response != nil {
		m.Head, m.Data = responseHead(response.Status, response.Header), response.Body
	}
	return m
}

func decodeStored(id atmostonce.ID, m *wirepb.StoredAnswer) atmostonce.StoredOperation {
	s := atmostonce.StoredOperation{ID: id, Request: atmostonce.Request{Customer: m.GetCustomer()}}
	copy(s.Request.Digest[:], m.GetDigest())
	if m.GetClosed() {
		s.Outcome.State = atmostonce.Closed
		return s
	}
	header := http.Header{}
	for _, h := range m.GetHead().GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	s.Outcome = atmostonce.Outcome{
		State:    atmostonce.Finished,
		Response: &atmostonce.Response{Status: int(m.GetHead().GetStatus()), Header: header, Body: m.GetData()},
	}
	return s
}
