package gateway

import (
	"time"

	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// receivedHeartbeat identifies the last heartbeat of a peer, for its echo.
type receivedHeartbeat struct {
	session *wire.Session
	// sentAtNs is on the peer's clock, and at on that of this process.
	sentAtNs int64
	at       time.Time
}

// addEcho returns to a peer the send time of its last heartbeat on the session.
// Instances share no clock: with the echo of its own send time, the peer knows a time
// on its own clock before which this heartbeat was not made.
func (c *control) addEcho(b *wirepb.PeerBeat, id string, session *wire.Session, now time.Time) {
	b.SentAtNs = monotonic(now)
	p := c.peers.byID[id]
	if p == nil || p.lastHeartbeat.session != session {
		return
	}
	b.EchoedSentAtNs, b.EchoHeldNs = p.lastHeartbeat.sentAtNs, int64(now.Sub(p.lastHeartbeat.at))
}

// madeAfter returns the latest time after which a heartbeat is known to have been
// made, or false if it has no echo. The time from then on counts as its transit, so
// that an age that it carries is never taken for less than it is, however long the
// heartbeat was on its way. A time in the future shows that the clock of one process
// has stood still.
func madeAfter(b *wirepb.PeerBeat, now time.Time) (time.Time, bool) {
	echoed, held := b.GetEchoedSentAtNs(), b.GetEchoHeldNs()
	sinceEchoed := monotonic(now) - echoed
	if echoed <= 0 || held < 0 || held > sinceEchoed {
		return time.Time{}, false
	}
	return processStart.Add(time.Duration(echoed + held)), true
}
