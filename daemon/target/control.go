package target

import (
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// heartbeat returns the state and load of this process.
func (t *Target) heartbeat() *wirepb.Heartbeat {
	load, warming := t.loadReport()
	group := t.group.report()
	t.updateGauges(load, group)
	return &wirepb.Heartbeat{
		Incarnation: t.node.Incarnation,
		Revision:    t.revision(),
		State:       t.state(warming),
		Load:        load,
		Hlc:         uint64(t.node.Clock.Now()),
		Group:       group,
	}
}

func (t *Target) state(warming bool) wirepb.MemberState {
	if t.work.Closed() {
		return wirepb.MemberState_MEMBER_STATE_LEAVING
	}
	if warming {
		return wirepb.MemberState_MEMBER_STATE_WARMING
	}
	return wirepb.MemberState_MEMBER_STATE_READY
}

func (t *Target) readControl(s *wire.Session, heartbeats *node.Heartbeats) {
	for {
		var m wirepb.Control
		if err := s.Control().Recv(&m); err != nil {
			_ = s.Close()
			return
		}
		switch body := m.GetBody().(type) {
		case *wirepb.Control_Heartbeat:
			t.node.Clock.Observe(timeline.Timestamp(body.Heartbeat.GetHlc()))
			heartbeats.RecordReceived(body.Heartbeat)
			t.pullIfBehind(s, body.Heartbeat.GetRevision())
		case *wirepb.Control_Announce:
			t.node.Clock.Observe(timeline.Timestamp(body.Announce.GetHlc()))
			t.pullIfBehind(s, body.Announce.GetRevision())
		case *wirepb.Control_Pull:
			t.replyToPull(s, body.Pull.GetFromRevision())
		case *wirepb.Control_Deltas:
			t.applyDeltas(s, body.Deltas)
		}
	}
}

func (t *Target) pullIfBehind(s *wire.Session, revision uint64) {
	if own := t.revision(); revision > own {
		_ = s.Control().Send(&wirepb.Control{Body: &wirepb.Control_Pull{Pull: &wirepb.Pull{FromRevision: own}}})
	}
}

// replyToPull sends an entry the configuration changes after a revision. An
// entry pulls when a heartbeat of this process names a higher revision.
func (t *Target) replyToPull(s *wire.Session, from uint64) {
	t.replicaMu.Lock()
	var m *wirepb.Control
	if t.replica.Config() != nil {
		m = node.PullReply(&t.replica, from)
	}
	t.replicaMu.Unlock()
	if m != nil {
		_ = s.Control().Send(m)
	}
}

// applyDeltas activates the configuration that an entry sent in reply to a
// pull.
func (t *Target) applyDeltas(s *wire.Session, d *wirepb.Deltas) {
	t.replicaMu.Lock()
	old := t.replica.Config()
	changed, gap, err := node.ApplyDeltas(&t.replica, d)
	next := t.replica.Config()
	if changed {
		t.config.Store(next)
	}
	t.replicaMu.Unlock()
	if err != nil {
		t.node.Log.Error("configuration from peer refused", "peer", s.Peer().GetInstance(), "error", err)
	}
	if gap {
		_ = s.Control().Send(&wirepb.Control{Body: &wirepb.Control_Pull{Pull: &wirepb.Pull{}}})
	}
	if !changed {
		return
	}
	t.node.Events.Record(timeline.Event{Kind: timeline.RevisionActive, Target: t.node.Name, Revision: next.Revision})
	t.configChanged(old, next)
	t.sendHeartbeatsNow()
}
