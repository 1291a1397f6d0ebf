package gateway

import (
	"context"
	"time"

	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// reportInterval is the shortest time between two messages with crash reports to
	// all peers, and reportResend that between two to a peer whose heartbeats
	// show other crash reports.
	reportInterval = 50 * time.Millisecond
	reportResend   = time.Second
)

// crashExchange is the state of the exchange of crash reports with other instances.
type crashExchange struct {
	// reportsSentAt is when all peers were last sent the crash reports, and
	// reportsDue is set while another message is scheduled.
	reportsSentAt time.Time
	reportsDue    bool
	record        quarantineRecord
}

// sendReports sends the crash reports to all peers, which pass them on if they are new to
// them. Messages that follow one another closely are combined.
func (c *control) sendReports(now time.Time) {
	if c.reportsDue {
		return
	}
	c.reportsDue = true
	delay := max(0, reportInterval-now.Sub(c.reportsSentAt))
	time.AfterFunc(delay, func() {
		select {
		case c.inbox <- c.sendReportsNow:
		case <-c.ended:
		}
	})
}

func (c *control) sendReportsNow() {
	now := time.Now()
	c.reportsDue, c.reportsSentAt = false, now
	changes := c.crashes.TakeChanges(now)
	if changes == nil {
		return
	}
	frame := &wirepb.PeerFrame{Body: &wirepb.PeerFrame_Quarantine{Quarantine: changes}}
	for _, p := range c.peers.byID {
		if p.hasSession() && now.Sub(p.lastHeartbeatAt) < peerTimeout {
			c.sendAsync(p.session, frame)
		}
	}
}

// compareReports sends the crash reports to a peer whose heartbeat shows that it has
// other crash reports: it has just started, or messages were lost.
func (c *control) compareReports(p *peer, session *wire.Session, digest uint64, now time.Time) {
	if own := c.crashes.Digest(); own == 0 || own == digest || now.Sub(p.reportsSentAt) < reportResend {
		return
	}
	p.reportsSentAt = now
	c.sendAsync(session, &wirepb.PeerFrame{Body: &wirepb.PeerFrame_Quarantine{Quarantine: c.crashes.State(now)}})
}

// SetQuarantined quarantines or clears a part of prompts, or a request, on behalf of
// an operator. It reports whether the decision was made.
func (g *Gateway) SetQuarantined(ctx context.Context, subject string, quarantined bool) bool {
	_, ok := query(ctx, g.control, func() struct{} {
		g.control.crashes.Set(subject, quarantined, time.Now())
		return struct{}{}
	})
	return ok
}
