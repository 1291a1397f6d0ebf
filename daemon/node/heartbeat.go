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
	// echoedAt is when the echo last advanced, in nanoseconds since started.
	echoedAt atomic.Int64
	minEcho  atomic.Uint64
	started  time.Time
}

// NewHeartbeats returns the heartbeats of a session; build fills in the state
// of the process.
func NewHeartbeats(s *wire.Session, build func() *wirepb.Heartbeat) *Heartbeats {
	return &Heartbeats{session: s, build: build, kick: make(chan struct{}, 1), started: time.Now()}
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

// SendNow sends the next heartbeat now, for a change that peers must learn at once.
func (h *Heartbeats) SendNow() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// RecordReceived records a heartbeat of the peer after its content took effect here, so
// that the echo tells the peer that this process acts on it.
func (h *Heartbeats) RecordReceived(hb *wirepb.Heartbeat) {
	h.heard.Store(max(h.heard.Load(), hb.GetSequence()))
	if hb.GetEcho() > h.echoed.Load() {
		h.echoed.Store(hb.GetEcho())
		h.echoedAt.Store(int64(time.Since(h.started)))
	}
}

// LastEchoAt returns when the peer last showed that it hears this process. A
// stale time means a partition in one direction.
func (h *Heartbeats) LastEchoAt() time.Time { return h.started.Add(time.Duration(h.echoedAt.Load())) }

// DiscardEarlier is called when this process was paused. Heartbeats that waited in the
// socket meanwhile are old; only those that echo one sent from now on count.
func (h *Heartbeats) DiscardEarlier() { h.minEcho.Store(h.sent.Load() + 1) }

// IsCurrent reports whether a heartbeat was sent after the last Resume.
func (h *Heartbeats) IsCurrent(hb *wirepb.Heartbeat) bool { return hb.GetEcho() >= h.minEcho.Load() }

// LastSent returns the sequence number of the last heartbeat sent.
func (h *Heartbeats) LastSent() uint64 { return h.sent.Load() }

// LastEchoed returns the highest own sequence number that the peer has acted on.
func (h *Heartbeats) LastEchoed() uint64 { return h.echoed.Load() }
