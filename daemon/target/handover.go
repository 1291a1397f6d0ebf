package target

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/atmostonce"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// handoverTimeout limits the dial to a successor and the transfer of each
	// batch, so that a successor that is paused leaves time for the next. If none
	// accepts the operations, the planned stop continues and their outcome
	// becomes unknown.
	handoverTimeout = time.Second
	// handoverBatch is the maximum size in bytes of the responses in one batch. A
	// response has at most 1 MB, so a batch stays under wire.MaxMessage.
	handoverBatch = 1 << 20
)

// origin identifies the target process that an operation id names.
type origin struct {
	target      string
	incarnation uint64
}

// handover moves stored responses to successors, so that a retry still gets the
// first response after this process has stopped.
type handover struct {
	target *Target
	moved  map[atmostonce.ID]bool
	failed map[string]bool // successors that did not accept responses, by name
}

func newHandover(t *Target) *handover {
	return &handover{target: t, moved: map[atmostonce.ID]bool{}, failed: map[string]bool{}}
}

// run moves the responses that are stored now and were not moved before, until
// ctx ends. Responses that were handed over to this process move to the
// successors of their origin, since entries look for them there.
func (h *handover) run(ctx context.Context) {
	t := h.target
	c := t.config.Load()
	if c == nil {
		return
	}
	byOrigin := map[origin][]atmostonce.StoredOperation{}
	for _, s := range t.operations.exportStored() {
		if !h.moved[s.ID] {
			o := origin{s.ID.Target, s.ID.Incarnation}
			byOrigin[o] = append(byOrigin[o], s)
		}
	}
	for o, stored := range byOrigin {
		if err := h.moveTo(ctx, c, o, stored); err != nil {
			t.node.Log.Warn("planned stop: stored responses are lost", "answers", len(stored), "error", err)
			continue
		}
		t.recordStopStep("stored responses moved")
	}
}

// moveTo sends the responses to the first successor that accepts them.
// Successors that are leaving come last.
func (h *handover) moveTo(ctx context.Context, c *config.Config, o origin, stored []atmostonce.StoredOperation) error {
	var responses []*wirepb.StoredAnswer
	for _, s := range stored {
		responses = append(responses, encodeStored(s))
	}
	err := errors.New("no other target of the back end accepts them")
	for _, s := range h.successors(c, o) {
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
		if err = h.target.sendStored(ctx, s.PeerAddr, responses); err == nil {
			for _, s := range stored {
				h.moved[s.ID] = true
			}
			return nil
		}
		h.failed[s.Name] = true
	}
	return err
}

// successors returns the successors of an origin that have not failed, those that
// are leaving last.
func (h *handover) successors(c *config.Config, o origin) []config.Target {
	t := h.target
	var staying, leaving []config.Target
	for _, name := range atmostonce.Successors(backendTargets(c, t.settings.Target.Backend), o.target, o.incarnation) {
		s, _ := c.Target(name)
		switch {
		case name == t.node.Name || h.failed[name]:
		case c.IsLeaving(s):
			leaving = append(leaving, s)
		default:
			staying = append(staying, s)
		}
	}
	return append(staying, leaving...)
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

func (t *Target) sendStored(ctx context.Context, addr string, responses []*wirepb.StoredAnswer) error {
	dialCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	s, err := wire.Dial(dialCtx, addr, t.node.ClusterKey, t.node.Hello(t.revision()))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for len(responses) > 0 {
		n, size := 0, 0
		for n < len(responses) && (n == 0 || size+len(responses[n].GetData()) <= handoverBatch) {
			size += len(responses[n].GetData())
			n++
		}
		if err := t.sendBatch(ctx, s, responses[:n]); err != nil {
			return err
		}
		responses = responses[n:]
	}
	return nil
}

func (t *Target) sendBatch(ctx context.Context, s *wire.Session, responses []*wirepb.StoredAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	// A stalled successor must not delay the stop.
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
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

// serveHandover stores the responses of a stopping target process. If this
// process is stopping too, it sends no reply, so that the sender tries another
// successor: the responses would be lost with this process. They count as work in
// progress until they are stored, so that a stop that begins now moves them on.
func (t *Target) serveHandover(st *wire.Stream, h *wirepb.Handover) {
	if !t.work.Begin() {
		t.node.Log.Info("stored responses refused: this process is stopping", "from", h.GetFromTarget(), "offered", len(h.GetAnswers()))
		return
	}
	defer t.work.End()
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
