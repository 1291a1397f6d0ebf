package target

import (
	"time"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const heartbeatInterval = time.Second

// heartbeats reports state and load to one entry until the session ends.
func (t *Target) heartbeats(s *wire.Session) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for seq := uint64(1); ; seq++ {
		load, warming := t.load()
		hb := &wirepb.Heartbeat{
			Incarnation: t.node.Incarnation,
			Revision:    t.revision(),
			State:       t.state(warming),
			Load:        load,
			Hlc:         uint64(t.node.Clock.Now()),
			Sequence:    seq,
		}
		if err := s.Control().Send(&wirepb.Control{Body: &wirepb.Control_Heartbeat{Heartbeat: hb}}); err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-s.Done():
			return
		}
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

func (t *Target) readControl(s *wire.Session) {
	for {
		var m wirepb.Control
		if err := s.Control().Recv(&m); err != nil {
			_ = s.Close()
			return
		}
		switch body := m.GetBody().(type) {
		case *wirepb.Control_Heartbeat:
			t.node.Clock.Observe(timeline.Timestamp(body.Heartbeat.GetHlc()))
			t.pullIfBehind(s, body.Heartbeat.GetRevision())
		case *wirepb.Control_Announce:
			t.node.Clock.Observe(timeline.Timestamp(body.Announce.GetHlc()))
			t.pullIfBehind(s, body.Announce.GetRevision())
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
			return
		}
	}
}
