package target

import (
	"encoding/json"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// heartbeat returns the state and load of this process.
func (t *Target) heartbeat() *wirepb.Heartbeat {
	load, warming := t.load()
	return &wirepb.Heartbeat{
		Incarnation: t.node.Incarnation,
		Revision:    t.revision(),
		State:       t.state(warming),
		Load:        load,
		Hlc:         uint64(t.node.Clock.Now()),
		Group:       t.group.report(),
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
			beats.Heard(body.Heartbeat)
			t.pullIfBehind(s, body.Heartbeat.GetRevision())
		case *wirepb.Control_Announce:
			t.node.Clock.Observe(timeline.Timestamp(body.Announce.GetHlc()))
			t.pullIfBehind(s, body.Announce.GetRevision())
		case *wirepb.Control_Pull:
			t.answerPull(s)
		case *wirepb.Control_Deltas:
			t.install(body.Deltas.GetSnapshot())
		}
	}
}

func (t *Target) pullIfBehind(s *wire.Session, revision uint64) {
	if own := t.revision(); revision > own {
		_ = s.Control().Send(&wirepb.Control{Body: &wirepb.Control_Pull{Pull: &wirepb.Pull{FromRevision: own}}})
	}
}

// answerPull serves an entry that learned from this process that it is behind.
func (t *Target) answerPull(s *wire.Session) {
	c := t.config.Load()
	if c == nil {
		return
	}
	document, err := json.Marshal(c)
	if err != nil {
		t.node.Log.Error("encode configuration", "error", err)
		return
	}
	_ = s.Control().Send(&wirepb.Control{Body: &wirepb.Control_Deltas{Deltas: &wirepb.Deltas{
		Snapshot: document, SnapshotRevision: c.Revision,
	}}})
}

// install takes a configuration with a higher revision than the one held.
func (t *Target) install(document []byte) {
	c, err := config.ParseConfig(document)
	if err != nil {
		t.node.Log.Error("configuration from peer refused", "error", err)
		return
	}
	for {
		old := t.config.Load()
		if old != nil && old.Revision >= c.Revision {
			return
		}
		if t.config.CompareAndSwap(old, c) {
			t.configChanged(old, c)
			t.node.Events.Record(timeline.Event{Kind: timeline.RevisionInForce, Target: t.node.Name, Revision: c.Revision})
			t.kickHeartbeats()
			return
		}
	}
}
