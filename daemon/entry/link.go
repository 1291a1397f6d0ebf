package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/skylarkstep/skylarkstep/balancer"
	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/node"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/timeline"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// Limits of the reconnection backoff.
const (
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
	dialTimeout = 2 * time.Second
)

// link maintains a session with one target.
type link struct {
	entry       *Entry
	target      config.Target
	outstanding *balancer.Counter
	// outstandingHistory is accessed only by the control goroutine.
	outstandingHistory balancer.History
	stop               context.CancelFunc
}

func startLink(parent context.Context, e *Entry, t config.Target) *link {
	ctx, cancel := context.WithCancel(parent)
	l := &link{entry: e, target: t, outstanding: &balancer.Counter{}, stop: cancel}
	go l.run(ctx)
	return l
}

// run connects again whenever the session ends, with backoff and jitter so that
// entries do not reconnect at the same time.
func (l *link) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		s, err := l.dial(ctx)
		if err != nil {
			pause := backoff/2 + rand.N(backoff)
			backoff = min(2*backoff, maxBackoff)
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
			continue
		}
		backoff = minBackoff
		l.serve(ctx, s)
	}
}

func (l *link) dial(ctx context.Context) (*wire.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return wire.Dial(ctx, l.target.PeerAddr, l.entry.node.ClusterKey, l.entry.node.Hello(0))
}

// serve reads the control stream until the session ends or ctx is cancelled.
func (l *link) serve(ctx context.Context, s *wire.Session) {
	name := l.target.Name
	if s.Peer().GetInstance() != name {
		l.entry.node.Log.Warn("another instance answers at the address of a target",
			"target", name, "instance", s.Peer().GetInstance(), "addr", l.target.PeerAddr)
		_ = s.Close()
		ctxtime.Sleep(ctx, maxBackoff)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	l.entry.node.Clock.Observe(timeline.Timestamp(s.Peer().GetHlc()))
	hb := node.NewHeartbeats(s, l.entry.heartbeat)
	l.entry.post(ctx, func(c *control) { c.addTargetSession(name, s, hb) })
	defer func() {
		_ = s.Close()
		l.entry.post(ctx, func(c *control) { c.removeTargetSession(name, s) })
	}()
	go hb.Run()
	l.entry.readControl(ctx, s, func(c *control, m *wirepb.Heartbeat) { c.recordTargetHeartbeat(name, s, m) })
}

// heartbeat returns the state of this entry. It makes up for a lost
// announcement: a process pulls when the revision in a heartbeat is higher than
// its own.
func (e *Entry) heartbeat() *wirepb.Heartbeat {
	hb := &wirepb.Heartbeat{
		Incarnation:    e.node.Incarnation,
		Revision:       e.revision(),
		State:          e.state(),
		Hlc:            uint64(e.node.Clock.Now()),
		FreshnessAgeMs: math.MaxInt32,
	}
	if s := e.snapshot.Load(); s != nil {
		hb.Revision = s.config.Revision
		hb.StoreReachable = s.storeReachable
		hb.FreshnessAgeMs = uint64((s.verdict.Staleness + time.Since(s.verdictAt)).Milliseconds())
	}
	return hb
}

func (e *Entry) revision() uint64 {
	if s := e.snapshot.Load(); s != nil {
		return s.config.Revision
	}
	return 0
}

func (e *Entry) state() wirepb.MemberState {
	if e.stopping.Load() {
		return wirepb.MemberState_MEMBER_STATE_LEAVING
	}
	return wirepb.MemberState_MEMBER_STATE_READY
}
