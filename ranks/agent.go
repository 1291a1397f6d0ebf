package ranks

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

// agent serves coordinators on behalf of one rank.
type agent struct {
	engine   Engine
	rankAddr string
	log      *slog.Logger
	hello    *wirepb.Hello
	// lastQueryAt is when a coordinator last sent a query or an order, as time
	// since startedAt.
	lastQueryAt atomic.Int64
	startedAt   time.Time
	// stopping is set when a planned stop begins, and ending is closed at its end:
	// each session then ends after its next message.
	stopping atomic.Bool
	ending   chan struct{}
	sessions sync.WaitGroup
	// lastFencing is the highest fencing number of the forwarded orders that the
	// rank has not refused for their number. Recovery uses it.
	lastFencing atomic.Uint64
}

const (
	// sessionIdleTimeout is the time without a message after which the session
	// of a coordinator is closed.
	sessionIdleTimeout = 10 * time.Second
	// lastMessageTimeout is how long a session waits for one more message at the
	// end of a planned stop. A coordinator sends a query each roundInterval.
	lastMessageTimeout = 2 * roundInterval
	// endSessionsTimeout limits the wait for all sessions to end.
	endSessionsTimeout = time.Second
)

// serve accepts sessions of coordinators until the listener is closed. ctx must
// last until the end of a planned stop, since orders are forwarded until then.
func (a *agent) serve(ctx context.Context, l net.Listener) {
	for {
		conn, err := wire.Accept(l, a.log)
		if err != nil {
			if !a.stopping.Load() {
				a.log.Error("peer listener failed", "error", err.Error())
			}
			return
		}
		a.sessions.Go(func() {
			session, err := wire.Server(conn, nil, a.hello)
			if err != nil {
				a.log.Warn("coordinator refused", "addr", conn.RemoteAddr().String(), "error", err.Error())
				return
			}
			defer func() { _ = session.Close() }()
			a.serveSession(ctx, session)
		})
	}
}

// serveSession answers the queries and orders of one coordinator until its
// session ends. At the end of a planned stop it ends the session after a reply,
// when no message of the coordinator can be on its way, or when none arrives.
func (a *agent) serveSession(ctx context.Context, session *wire.Session) {
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-a.ending:
			limitLastMessage(session)
		case <-ended:
		}
	}()
	for ctx.Err() == nil {
		var f wirepb.RankFrame
		if err := a.receive(session, &f); err != nil {
			a.log.Debug("coordinator session ended", "coordinator", session.Peer().GetInstance(), "error", err.Error())
			return
		}
		a.lastQueryAt.Store(int64(time.Since(a.startedAt)))
		var out wirepb.RankFrame
		switch body := f.GetBody().(type) {
		case *wirepb.RankFrame_Question:
			out.Body = &wirepb.RankFrame_State{State: a.readState(ctx, body.Question)}
		case *wirepb.RankFrame_Order:
			out.Body = &wirepb.RankFrame_Result{Result: a.forwardOrder(ctx, body.Order)}
		default:
			return
		}
		if err := session.Control().Send(&out); err != nil || a.isEnding() {
			return
		}
	}
}

// receive waits for the next message of a session. Once the sessions end, it
// waits for lastMessageTimeout at most.
func (a *agent) receive(session *wire.Session, f *wirepb.RankFrame) error {
	_ = session.Control().SetReadDeadline(time.Now().Add(sessionIdleTimeout))
	if a.isEnding() {
		limitLastMessage(session)
	}
	return session.Control().Recv(f)
}

func limitLastMessage(session *wire.Session) {
	_ = session.Control().SetReadDeadline(time.Now().Add(lastMessageTimeout))
}

func (a *agent) isEnding() bool {
	select {
	case <-a.ending:
		return true
	default:
		return false
	}
}

// endSessions ends all sessions between two messages and waits until they have
// ended, but not longer than endSessionsTimeout.
func (a *agent) endSessions() {
	close(a.ending)
	ended := make(chan struct{})
	go func() {
		a.sessions.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(endSessionsTimeout):
		a.log.Warn("sessions of coordinators not ended in time")
	}
}

// sinceLastQuery returns the time since a coordinator last sent a query or an
// order.
func (a *agent) sinceLastQuery() time.Duration {
	return time.Since(a.startedAt) - time.Duration(a.lastQueryAt.Load())
}

func (a *agent) readState(ctx context.Context, q *wirepb.RankQuestion) *wirepb.RankState {
	r, err := queryRank(ctx, a.engine, a.rankAddr, ReportQuery{Counts: q.GetCounts(), Placement: q.GetPlacement()})
	if err != nil {
		return &wirepb.RankState{Error: err.Error()}
	}
	return encodeReport(r)
}

// forwardOrder sends an order to the rank and returns its outcome.
func (a *agent) forwardOrder(ctx context.Context, w *wirepb.RankOrder) *wirepb.RankOrderResult {
	o := decodeOrder(w)
	outcome, err := sendToRank(ctx, a.engine, a.rankAddr, o, w.GetFencing(), int(min(w.GetCopies(), lossyDuplicates)))
	if outcome != Fenced {
		a.recordFencing(w.GetFencing())
	}
	res := &wirepb.RankOrderResult{Outcome: uint32(outcome)}
	if err != nil {
		res.Error = err.Error()
	}
	return res
}

// recordFencing raises lastFencing. An order of a superseded coordinator may
// arrive later than one of its successor.
func (a *agent) recordFencing(number uint64) {
	for {
		last := a.lastFencing.Load()
		if number <= last || a.lastFencing.CompareAndSwap(last, number) {
			return
		}
	}
}

func encodeReport(r Report) *wirepb.RankState {
	s := r.State
	w := &wirepb.RankState{
		Group: r.Group, Rank: uint32(r.Rank), Size: uint32(r.Size), Born: r.StartedAtMs, Slowness: r.Slowdown,
		Open: s.Open, Epoch: s.Epoch, Step: s.Step, MapVersion: s.MapVersion, PreparedVersion: s.PreparedVersion,
		ArmedVersion: s.ArmedVersion, ArmedStep: s.ArmedStep, Held: s.Held, HeldStep: s.HeldStep, Counts: r.Counts,
		Running: uint32(max(0, r.Running)), Waiting: uint32(max(0, r.Waiting)),
	}
	for _, experts := range r.Placement {
		w.Placement = append(w.Placement, &wirepb.ExpertList{Experts: convertInts[uint32](experts)})
	}
	return w
}

func decodeReport(w *wirepb.RankState) Report {
	r := Report{
		Group: w.GetGroup(), Rank: int(w.GetRank()), Size: int(w.GetSize()), StartedAtMs: w.GetBorn(), Slowdown: w.GetSlowness(), Counts: w.GetCounts(),
		Running: int(w.GetRunning()), Waiting: int(w.GetWaiting()),
		State: switchover.State{
			Reported: true, Open: w.GetOpen(), Epoch: w.GetEpoch(), Step: w.GetStep(), MapVersion: w.GetMapVersion(),
			PreparedVersion: w.GetPreparedVersion(), ArmedVersion: w.GetArmedVersion(), ArmedStep: w.GetArmedStep(),
			Held: w.GetHeld(), HeldStep: w.GetHeldStep(),
		},
	}
	for _, l := range w.GetPlacement() {
		r.Placement = append(r.Placement, convertInts[int](l.GetExperts()))
	}
	return r
}

func encodeOrder(o switchover.Order, fencing uint64, duplicates int) *wirepb.RankOrder {
	w := &wirepb.RankOrder{Operation: string(o.Operation), Version: o.Version, Step: o.Step, Epoch: o.Epoch, Fencing: fencing, Copies: uint32(duplicates)}
	for _, set := range o.Map {
		s := &wirepb.ExpertSet{}
		for _, experts := range set {
			s.Ranks = append(s.Ranks, &wirepb.ExpertList{Experts: convertInts[uint32](experts)})
		}
		w.Sets = append(w.Sets, s)
	}
	return w
}

func decodeOrder(w *wirepb.RankOrder) switchover.Order {
	o := switchover.Order{Operation: switchover.Operation(w.GetOperation()), Version: w.GetVersion(), Step: w.GetStep(), Epoch: w.GetEpoch()}
	for _, s := range w.GetSets() {
		var set [][]int
		for _, l := range s.GetRanks() {
			set = append(set, convertInts[int](l.GetExperts()))
		}
		o.Map = append(o.Map, set)
	}
	return o
}

// decodeOutcome returns NoReply for an outcome that no agent of this version
// sends: what the rank did is not known then.
func decodeOutcome(w *wirepb.RankOrderResult) Outcome {
	if w.GetOutcome() > uint32(Fenced) {
		return NoReply
	}
	return Outcome(w.GetOutcome())
}

func convertInts[T, F int | uint32](from []F) []T {
	to := make([]T, len(from))
	for i, n := range from {
		to[i] = T(n)
	}
	return to
}
