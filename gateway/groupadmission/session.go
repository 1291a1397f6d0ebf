package groupadmission

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// Role is the role in the first message of a session between an instance and one
	// that coordinates a rank group.
	Role = "group-admission"
	// outboxSize is the number of messages that may wait to be written. A peer that
	// does not read for longer than they cover loses its session.
	outboxSize = 512
	// sessionTimeout ends a session on which nothing can be written or read.
	sessionTimeout = 1500 * time.Millisecond
	// subscriberTimeout ends the session of an instance that sends nothing. Instances
	// renew their subscription each subscribeInterval.
	subscriberTimeout = 4 * time.Second
	subscribeInterval = time.Second
)

// outbox sends messages of a session without blocking the sender.
type outbox struct {
	session *wire.Session
	queue   chan *wirepb.AdmissionFrame
}

func newOutbox(session *wire.Session) *outbox {
	return &outbox{session: session, queue: make(chan *wirepb.AdmissionFrame, outboxSize)}
}

// send queues a message. It ends the session if the peer does not read.
func (o *outbox) send(f *wirepb.AdmissionFrame) bool {
	select {
	case o.queue <- f:
		return true
	default:
		_ = o.session.Close()
		return false
	}
}

// run writes the queued messages until ctx ends or the session breaks. Messages that
// wait are written together.
func (o *outbox) run(ctx context.Context) {
	defer func() { _ = o.session.Close() }()
	for {
		var batch []*wirepb.AdmissionFrame
		select {
		case f := <-o.queue:
			batch = append(batch, f)
		case <-ctx.Done():
			return
		}
		for len(o.queue) > 0 && len(batch) < outboxSize {
			batch = append(batch, <-o.queue)
		}
		_ = o.session.Control().SetWriteDeadline(time.Now().Add(sessionTimeout))
		if err := wire.SendAll(o.session.Control(), batch); err != nil {
			return
		}
	}
}

// Serve serves an instance that has opened a session, until it breaks or ctx ends.
func (s *Server) Serve(ctx context.Context, session *wire.Session) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := newOutbox(session)
	go out.run(ctx)
	instance := session.Peer().GetInstance()
	subscribed := map[string]bool{}
	defer func() {
		for group := range subscribed {
			s.Unsubscribe(group, instance)
		}
	}()
	for {
		_ = session.Control().SetReadDeadline(time.Now().Add(subscriberTimeout))
		var f wirepb.AdmissionFrame
		if err := session.Control().Recv(&f); err != nil {
			s.o.Log.Debug("admission session ended", "instance", instance, "error", err.Error())
			return
		}
		switch body := f.GetBody().(type) {
		case *wirepb.AdmissionFrame_Subscribe:
			group := body.Subscribe.GetGroup()
			if subscribed[group] = s.Subscribe(group, instance, func(f *wirepb.AdmissionFrame) { out.send(f) }); !subscribed[group] {
				out.send(&wirepb.AdmissionFrame{Body: &wirepb.AdmissionFrame_Load{Load: &wirepb.GroupLoad{Group: group, Ended: true}}})
			}
		case *wirepb.AdmissionFrame_Request:
			s.Request(instance, body.Request)
		case *wirepb.AdmissionFrame_Withdrawal:
			s.Withdraw(instance, body.Withdrawal)
		}
	}
}
