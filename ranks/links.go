package ranks

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/wire"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// askTimeout bounds the question to one rank, and orderTimeout an order.
	askTimeout   = 300 * time.Millisecond
	orderTimeout = 120 * time.Millisecond
	// dialTimeout bounds the opening of a session with an agent.
	dialTimeout = 300 * time.Millisecond
	// refresh is the pause between reads of the agents' records, and
	// refreshMissing the one while a rank has no agent.
	refresh        = 5 * time.Second
	refreshMissing = time.Second
	// directAfter is how long a rank may lack an agent before it is called
	// directly, which costs more.
	directAfter = 1500 * time.Millisecond
)

// link is the way to one rank: the session with its agent, or its own address.
type link struct {
	mu      sync.Mutex
	addr    string // of the agent
	session *wire.Session
	direct  string // of the rank, used without an agent
	lost    time.Time
}

// links are the ways to all ranks of a group.
type links struct {
	o     Options
	log   *slog.Logger
	own   *agent
	group string
	rank  int

	byRank   []*link
	read     time.Time
	complete bool
}

// agentRecord is what an agent tells coordinators about itself.
type agentRecord struct {
	Rank     int    `json:"rank"`
	PeerAddr string `json:"peer_addr"`
}

func groupPrefix(group string) string { return "skylarkstep/ranks/" + group + "/" }

// load reads the agents' records if they are old.
func (l *links) load(ctx context.Context, now time.Time) {
	age := now.Sub(l.read)
	if !l.read.IsZero() && (age < refreshMissing || l.complete && age < refresh) {
		return
	}
	l.read = now
	items, _, err := l.o.KV.List(ctx, groupPrefix(l.group))
	if err != nil {
		l.log.Warn("agents not read", "error", err.Error())
		return
	}
	for _, it := range items {
		var r agentRecord
		if err := json.Unmarshal(it.Value, &r); err != nil || r.Rank < 0 || r.Rank >= len(l.byRank) {
			continue // left from another shape of the group
		}
		l.byRank[r.Rank].set(r.PeerAddr)
	}
}

func (k *link) set(addr string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.addr == addr {
		return
	}
	k.addr = addr
	if k.session != nil {
		_ = k.session.Close()
		k.session = nil
	}
}

// resize makes room for the ranks of the group.
func (l *links) resize(size int) {
	if size == len(l.byRank) || size <= 0 {
		return
	}
	l.byRank = make([]*link, size)
	for i := range l.byRank {
		l.byRank[i] = &link{}
	}
	l.read = time.Time{}
}

// askAll reads all ranks at the same time. A rank that did not answer has a
// state that is not known.
func (l *links) askAll(ctx context.Context, q Question) []Report {
	own, err := ask(ctx, l.o.Engine, l.o.RankAddr, q)
	if err != nil {
		l.log.Warn("own rank not read", "error", err.Error())
		return nil
	}
	l.own.askedAt.Store(int64(time.Since(l.own.began)))
	l.resize(own.Size)
	l.load(ctx, time.Now())
	reports := make([]Report, len(l.byRank))
	var group sync.WaitGroup
	for i, k := range l.byRank {
		if i == own.Rank {
			reports[i] = own
			continue
		}
		group.Go(func() {
			r, err := l.askOne(ctx, k, q)
			if err == nil && r.Rank == i && r.Group == l.group {
				reports[i] = r
			} else if err != nil {
				l.log.Debug("rank not read", "rank", i, "error", err.Error())
			}
		})
	}
	group.Wait()
	l.complete = true
	for i := range reports {
		if !reports[i].State.Known {
			reports[i].Rank, l.complete = i, false
		}
	}
	if !l.complete {
		l.findDirect(ctx, reports)
	}
	return reports
}

func (l *links) askOne(ctx context.Context, k *link, q Question) (Report, error) {
	var f wirepb.RankFrame
	f.Body = &wirepb.RankFrame_Question{Question: &wirepb.RankQuestion{Counts: q.Counts, Placement: q.Placement}}
	answer, err := k.call(ctx, l.own.hello, &f, askTimeout)
	if err == nil {
		s := answer.GetState()
		if s == nil || s.GetError() != "" {
			return Report{}, errors.Errorf("agent: %s", s.GetError())
		}
		return decodeReport(s), nil
	}
	if direct := k.directAddr(); direct != "" {
		return ask(ctx, l.o.Engine, direct, q)
	}
	return Report{}, err
}

// call sends one message to the agent and waits for its answer. A session that
// did not answer in time is closed, so that a late answer is not taken for that
// to the next message.
func (k *link) call(ctx context.Context, hello *wirepb.Hello, f *wirepb.RankFrame, timeout time.Duration) (*wirepb.RankFrame, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.addr == "" {
		k.noteLost()
		return nil, errors.New("no agent is known")
	}
	if k.session == nil {
		dctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		s, err := wire.Dial(dctx, k.addr, nil, hello)
		if err != nil {
			k.noteLost()
			return nil, err
		}
		k.session = s
	}
	deadline := time.Now().Add(timeout)
	_ = k.session.Control().SetWriteDeadline(deadline)
	_ = k.session.Control().SetReadDeadline(deadline)
	err := k.session.Control().Send(f)
	var answer wirepb.RankFrame
	if err == nil {
		err = k.session.Control().Recv(&answer)
	}
	if err != nil {
		_ = k.session.Close()
		k.session = nil
		k.noteLost()
		return nil, errors.WithStack(err)
	}
	k.lost, k.direct = time.Time{}, ""
	return &answer, nil
}

func (k *link) noteLost() {
	if k.lost.IsZero() {
		k.lost = time.Now()
	}
}

func (k *link) directAddr() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.direct
}

// findDirect looks for the addresses of ranks whose agents are gone.
func (l *links) findDirect(ctx context.Context, reports []Report) {
	now := time.Now()
	missing := false
	for i, k := range l.byRank {
		k.mu.Lock()
		if !reports[i].State.Known && k.direct == "" && !k.lost.IsZero() && now.Sub(k.lost) > directAfter {
			missing = true
			k.lost = now // not again for a while
		}
		k.mu.Unlock()
	}
	if !missing {
		return
	}
	items, _, err := l.o.KV.List(ctx, l.o.Records.TargetPrefix())
	if err != nil {
		l.log.Warn("targets not read", "error", err.Error())
		return
	}
	var group sync.WaitGroup
	for _, t := range l.targets(items) {
		group.Go(func() {
			r, err := l.o.Engine.Report(ctx, t.Addr)
			if err != nil || r.Group != l.group || r.Rank >= len(l.byRank) {
				return
			}
			k := l.byRank[r.Rank]
			k.mu.Lock()
			if k.session == nil {
				k.direct = t.Addr
			}
			k.mu.Unlock()
		})
	}
	group.Wait()
}

func (l *links) targets(items []infra.Item) []routing.Target {
	var out []routing.Target
	for _, it := range items {
		id, _ := l.o.Records.TargetID(it.Key)
		if t, err := l.o.Records.Target(id, it.Value); err == nil && t.Backend == l.o.Backend {
			out = append(out, t)
		}
	}
	return out
}

type orderResult struct {
	order   switchover.Order
	outcome Outcome
	err     string
}

// orderAll sends orders to several ranks at the same time. The token is looked
// at before each, since the process may have been paused.
func (l *links) orderAll(ctx context.Context, orders []switchover.Order, fencing uint64, token lease.Token) []orderResult {
	results := make([]orderResult, len(orders))
	var group sync.WaitGroup
	for i, o := range orders {
		group.Go(func() {
			results[i] = orderResult{order: o}
			if now, valid := token.Token(); !valid || now != fencing {
				return
			}
			outcome, err := l.orderOne(ctx, o, fencing)
			results[i].outcome = outcome
			if err != nil {
				results[i].err = err.Error()
			}
		})
	}
	group.Wait()
	return results
}

func (l *links) orderOne(ctx context.Context, o switchover.Order, fencing uint64) (Outcome, error) {
	if o.Rank == l.rank {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		return l.o.Engine.Order(ctx, l.o.RankAddr, o, fencing)
	}
	k := l.byRank[o.Rank]
	f := &wirepb.RankFrame{Body: &wirepb.RankFrame_Order{Order: encodeOrder(o, fencing)}}
	answer, err := k.call(ctx, l.own.hello, f, orderTimeout)
	if err == nil {
		r := answer.GetResult()
		if r.GetError() != "" {
			err = errors.New(r.GetError())
		}
		return Outcome(r.GetOutcome()), err
	}
	if direct := k.directAddr(); direct != "" {
		return l.o.Engine.Order(ctx, direct, o, fencing)
	}
	return NoAnswer, err
}
