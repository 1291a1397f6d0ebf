package node

import (
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// HeartbeatInterval is the time between two heartbeats without a change.
const HeartbeatInterval = time.Second

// Heartbeats sends heartbeats on one session and keeps the sequence numbers of
// both sides.
type Heartbeats struct {
	session *wire.Session
	build   func() *wirepb.Heartbeat
	kick    chan struct{}
	sent    atomic.Uint64
	heard   atomic.Uint64
	echoed  atomic.Uint64
}

// NewHeartbeats returns the heartbeats of a session; build fills in the state
// of the process.
func NewHeartbeats(s *wire.Session, build func() *wirepb.Heartbeat) *Heartbeats {
	return &Heartbeats{session: s, build: build, kick: make(chan struct{}, 1)}
}

// Run sends a heartbeat each interval, and at once after Kick, until the
// session ends.
func (h *Heartbeats) Run() {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for {
		hb := h.build()
		hb.Sequence, hb.Echo = h.sent.Load()+1, h.heard.Load()
		h.sent.Store(hb.Sequence)
		if err := h.session.Control().Send(&wirepb.Control{Body: &wirepb.Control_Heartbeat{Heartbeat: hb}}); err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-h.kick:
		case <-h.session.Done():
			return
		}
	}
}

// Kick sends the next heartbeat now, for a change that peers must learn at once.
func (h *Heartbeats) Kick() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// Heard records a heartbeat of the peer after its content took effect here, so
// that the echo tells the peer that this process acts on it.
func (h *Heartbeats) Heard(hb *wirepb.Heartbeat) {
	h.heard.Store(max(h.heard.Load(), hb.GetSequence()))
	h.echoed.Store(max(h.echoed.Load(), hb.GetEcho()))
}

// Sent returns the sequence number of the last heartbeat sent.
func (h *Heartbeats) Sent() uint64 { return h.sent.Load() }

// Echoed returns the highest own sequence number that the peer has acted on.
func (h *Heartbeats) Echoed() uint64 { return h.echoed.Load() }
