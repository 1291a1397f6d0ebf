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
	// handoverTimeout bounds the connection to one successor. A planned stop
	// goes on without a successor, and its operations become unknown.
	handoverTimeout = 3 * time.Second
	// handoverBatch keeps a message under wire.MaxMessage: an answer has at most
	// 1 MB.
	handoverBatch = 1 << 20
)

// origin is the incarnation that an operation id names.
type origin struct {
	target      string
	incarnation uint64
}

// handOver moves stored answers to successors, so that a repeat still gets the
// first answer after this process has stopped. Answers that this process took
// over itself go on to the successors of their origin, where entries look.
func (t *Target) handOver() {
	c := t.config.Load()
	if c == nil {
		return
	}
	byOrigin := map[origin][]*wirepb.StoredAnswer{}
	for _, s := range t.operations.export() {
		o := origin{s.ID.Target, s.ID.Incarnation}
		byOrigin[o] = append(byOrigin[o], storedAnswer(s))
	}
	for o, answers := range byOrigin {
		if err := t.handOverTo(c, o, answers); err != nil {
			t.node.Log.Warn("planned stop: stored answers are lost", "answers", len(answers), "error", err)
			continue
		}
		t.node.Events.Record(timeline.Event{Kind: timeline.StopStep, Target: t.node.Name, Detail: "stored answers moved"})
	}
}

// handOverTo tries the successors in order, those that are leaving last.
func (t *Target) handOverTo(c *config.Config, o origin, answers []*wirepb.StoredAnswer) error {
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
		if err = t.sendAnswers(s.PeerAddr, answers); err == nil {
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

func (t *Target) sendAnswers(addr string, answers []*wirepb.StoredAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	s, err := wire.Dial(ctx, addr, t.node.ClusterKey, t.node.Hello(t.revision()))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	// A successor that stalls must not hold up the stop.
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	for len(answers) > 0 {
		n, size := 0, 0
		for n < len(answers) && (n == 0 || size+len(answers[n].GetData()) <= handoverBatch) {
			size += len(answers[n].GetData())
			n++
		}
		if err := t.sendBatch(s, answers[:n]); err != nil {
			return err
		}
		answers = answers[n:]
	}
	return nil
}

func (t *Target) sendBatch(s *wire.Session, answers []*wirepb.StoredAnswer) error {
	st, err := s.Open(&wirepb.Open{Body: &wirepb.Open_Handover{Handover: &wirepb.Handover{
		FromTarget: t.node.Name, FromIncarnation: t.node.Incarnation, Answers: answers,
	}}})
	if err != nil {
		return err
	}
	defer func() { _ = st.Close() }()
	var reply wirepb.HandoverReply
	return errors.Wrap(st.Recv(&reply), "reply of the successor")
}

// serveHandover keeps the answers of a stopping target process.
func (t *Target) serveHandover(st *wire.Stream, h *wirepb.Handover) {
	stored := uint32(0)
	for _, a := range h.GetAnswers() {
		id, err := atmostonce.ParseID(a.GetOperationId())
		if err == nil && t.operations.take(storedOperation(id, a)) {
			stored++
		}
	}
	t.node.Log.Info("stored answers taken over", "from", h.GetFromTarget(), "stored", stored, "offered", len(h.GetAnswers()))
	_ = st.Send(&wirepb.HandoverReply{Stored: stored})
}

func storedAnswer(s atmostonce.StoredOperation) *wirepb.StoredAnswer {
	m := &wirepb.StoredAnswer{
		OperationId: s.ID.String(),
		Customer:    s.Request.Customer,
		Digest:      s.Request.Digest[:],
		Closed:      s.Outcome.State == atmostonce.Closed,
	}
	if a := s.Outcome.Response; a != nil {
		m.Head, m.Data = responseHead(a.Status, a.Header), a.Body
	}
	return m
}

func storedOperation(id atmostonce.ID, m *wirepb.StoredAnswer) atmostonce.StoredOperation {
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
