package target

import (
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// heartbeat returns the state and load of this process.
func (t *Target) heartbeat() *wirepb.Heartbeat {
	load, warming := t.load()
	group := t.group.report()
	t.observe(load, group)
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

func (t *Target) readControl(s *wire.Session, beats *node.Heartbeats) {
	for {
		var m wirepb.Control
		if err := s.Control().Recv(&m); err != nil {
			_ = s.Close()
			return
		}
		switch body := m.GetBody().(type) {
		case *wirepb.Control_Heartbeat:
			t.node.Clock.Observe(timeline.Timestamp(body.Heartbeat.GetHlc()))
			beats.RecordReceived(body.Heartbeat)
			t.pullIfBehind(s, body.Heartbeat.GetRevision())
		case *wirepb.Control_Announce:
			t.node.Clock.Observe(timeline.Timestamp(body.Announce.GetHlc()))
			t.pullIfBehind(s, body.Announce.GetRevision())
		case *wirepb.Control_Pull:
			t.answerPull(s, body.Pull.GetFromRevision())
		case *wirepb.Control_Deltas:
			t.take(s, body.Deltas)
		}
	}
}

func (t *Target) pullIfBehind(s *wire.Session, revision uint64) {
	if own := t.revision(); revision > own {
		_ = s.Control().Send(&wirepb.Control{Body: &wirepb.Control_Pull{Pull: &wirepb.Pull{FromRevision: own}}})
	}
}

// answerPull serves an entry that learned from this process that it is behind.
func (t *Target) answerPull(s *wire.Session, from uint64) {
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

// take puts into force what an entry sent after a pull.
func (t *Target) take(s *wire.Session, d *wirepb.Deltas) {
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
	t.kickHeartbeats()
}
