package node

import (
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// HeartbeatInterval is the time between two heartbeats while nothing changes.
const HeartbeatInterval = time.Second

// Heartbeats sends heartbeats on one session and tracks the sequence numbers of
// both sides.
type Heartbeats struct {
	session      *wire.Session
	build        func() *wirepb.Heartbeat
	immediate    chan struct{}
	lastSent     atomic.Uint64
	lastReceived atomic.Uint64
	lastEchoed   atomic.Uint64
	// lastEchoAt is when the echo last advanced, in nanoseconds since started.
	lastEchoAt atomic.Int64
	// minEcho is the lowest echo of a current heartbeat, see DiscardEarlier.
	minEcho atomic.Uint64
	started time.Time
}

// NewHeartbeats returns the heartbeats of a session; build returns a heartbeat
// with the state of the process.
func NewHeartbeats(s *wire.Session, build func() *wirepb.Heartbeat) *Heartbeats {
	return &Heartbeats{session: s, build: build, immediate: make(chan struct{}, 1), started: time.Now()}
}

// Run sends a heartbeat each interval, and at once after SendNow, until the
// session ends.
func (h *Heartbeats) Run() {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for {
		hb := h.build()
		hb.Sequence, hb.Echo = h.lastSent.Load()+1, h.lastReceived.Load()
		h.lastSent.Store(hb.Sequence)
		if err := h.session.Control().Send(&wirepb.Control{Body: &wirepb.Control_Heartbeat{Heartbeat: hb}}); err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-h.immediate:
		case <-h.session.Done():
			return
		}
	}
}

// SendNow makes Run send the next heartbeat at once. It is called after a change
// that peers must receive without delay.
func (h *Heartbeats) SendNow() {
	select {
	case h.immediate <- struct{}{}:
	default:
	}
}

// RecordReceived records a heartbeat of the peer. It is called after the content
// has been applied, so that the echo confirms this to the peer.
func (h *Heartbeats) RecordReceived(hb *wirepb.Heartbeat) {
	h.lastReceived.Store(max(h.lastReceived.Load(), hb.GetSequence()))
	if hb.GetEcho() > h.lastEchoed.Load() {
		h.lastEchoed.Store(hb.GetEcho())
		h.lastEchoAt.Store(int64(time.Since(h.started)))
	}
}

// LastEchoAt returns when the peer last echoed a newer heartbeat of this process.
// If it stays old while heartbeats arrive, the network is partitioned in one
// direction.
func (h *Heartbeats) LastEchoAt() time.Time { return h.started.Add(time.Duration(h.lastEchoAt.Load())) }

// DiscardEarlier makes IsCurrent false for heartbeats that do not echo one sent
// from now on. It is called after this process was paused, since heartbeats that
// waited in the socket during the pause are outdated.
func (h *Heartbeats) DiscardEarlier() { h.minEcho.Store(h.lastSent.Load() + 1) }

// IsCurrent reports whether the peer sent a heartbeat after it had received one
// sent after the last DiscardEarlier.
func (h *Heartbeats) IsCurrent(hb *wirepb.Heartbeat) bool { return hb.GetEcho() >= h.minEcho.Load() }

// LastSent returns the sequence number of the last heartbeat that was sent.
func (h *Heartbeats) LastSent() uint64 { return h.lastSent.Load() }

// LastEchoed returns the highest sequence number of this process that the peer
// has echoed, and so applied.
func (h *Heartbeats) LastEchoed() uint64 { return h.lastEchoed.Load() }
