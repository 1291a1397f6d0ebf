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
	askTimeout   = 200 * time.Millisecond
	orderTimeout = giveTimeout + 60*time.Millisecond
	// dialTimeout bounds the opening of a session with an agent, and redialAfter
	// is the pause after one that failed.
	dialTimeout = 200 * time.Millisecond
	redialAfter = time.Second
	// refresh is the pause between reads of the agents' records, and
	// refreshMissing the one while a rank has no agent.
	refresh        = 5 * time.Second
	refreshMissing = time.Second
	// findInterval is the pause between searches for the addresses of ranks.
	findInterval = time.Second
)

// link is the way to one rank: the session with its agent, or its own address.
type link struct {
	mu      sync.Mutex
	addr    string // of the agent
	session *wire.Session
	direct  string // of the rank, used while its agent does not answer
	rank    string // of the rank, from the record of its agent
	lost    time.Time
}

// ItemLister reads the items of the key-value service, from a copy or from the
// service itself.
type ItemLister func(ctx context.Context, prefix string) ([]infra.Item, error)

// links are the ways to all ranks of a group.
type links struct {
	engine  Engine
	records Records
	items   ItemLister
	log     *slog.Logger
	hello   *wirepb.Hello
	group   string

	backend  string
	byRank   []*link
	read     time.Time
	complete bool
	searched time.Time
}

// agentRecord is what an agent tells coordinators about itself.
type agentRecord struct {
	Group    string `json:"group"`
	Backend  string `json:"back_end"`
	Rank     int    `json:"rank"`
	Size     int    `json:"size"`
	PeerAddr string `json:"peer_addr"`
	// RankAddr is where the rank takes requests.
	RankAddr string `json:"rank_addr"`
}

const agentsPrefix = "skylarkstep/ranks/"

func groupPrefix(group string) string { return agentsPrefix + group + "/" }

// load reads the agents' records if they are old.
func (l *links) load(ctx context.Context, now time.Time) {
	age := now.Sub(l.read)
	if !l.read.IsZero() && (age < refreshMissing || l.complete && age < refresh) {
		return
	}
	l.read = now
	items, err := l.items(ctx, groupPrefix(l.group))
	if err != nil {
		l.log.Warn("agents not read", "error", err.Error())
		return
	}
	for _, it := range items {
		var r agentRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			l.log.Warn("agent record not readable", "key", it.Key, "error", err.Error())
			continue
		}
		l.resize(r.Size)
		if r.Rank < len(l.byRank) {
			l.backend = r.Backend
			l.byRank[r.Rank].set(r.PeerAddr)
			l.byRank[r.Rank].rank = r.RankAddr
		}
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
}

// askAll reads all ranks at the same time. A rank that did not answer has a
// state that is not known.
func (l *links) askAll(ctx context.Context, q ReportQuery) []Report {
	l.load(ctx, time.Now())
	reports := make([]Report, len(l.byRank))
	var group sync.WaitGroup
	for i, k := range l.byRank {
		group.Go(func() {
			r, err := l.askOne(ctx, k, q)
			if err == nil && r.Rank == i && r.Group == l.group {
				reports[i] = r
			} else if err != nil {
				l.log.Info("rank not read", "rank", i, "direct", k.directAddr(), "error", err.Error())
			}
		})
	}
	group.Wait()
	l.complete = true
	for i := range reports {
		if !reports[i].State.Reported {
			reports[i].Rank, l.complete = i, false
		}
	}
	l.findDirect(ctx, time.Now())
	return reports
}

func (l *links) askOne(ctx context.Context, k *link, q ReportQuery) (Report, error) {
	var f wirepb.RankFrame
	f.Body = &wirepb.RankFrame_Question{Question: &wirepb.RankQuestion{Counts: q.Counts, Placement: q.Placement}}
	answer, err := k.call(ctx, l.hello, &f, askTimeout)
	if err == nil {
		s := answer.GetState()
		if s == nil || s.GetError() != "" {
			return Report{}, errors.Errorf("agent: %s", s.GetError())
		}
		return decodeReport(s), nil
	}
	if direct := k.directAddr(); direct != "" {
		r, err := ask(ctx, l.engine, direct, ReportQuery{Placement: q.Placement})
		if err != nil {
			k.forgetDirect()
		}
		return r, err
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
		return nil, errors.New("no agent is known")
	}
	if k.session == nil && time.Since(k.lost) < redialAfter {
		return nil, errors.New("the agent was not reached a moment ago")
	}
	if k.session == nil {
		dctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		s, err := wire.Dial(dctx, k.addr, nil, hello)
		if err != nil {
			k.lost = time.Now()
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
		k.session, k.lost = nil, time.Now()
		return nil, errors.WithStack(err)
	}
	return &answer, nil
}

// forgetDirect drops an address at which the rank does not answer any more.
func (k *link) forgetDirect() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.direct = ""
}

func (k *link) directAddr() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.direct
}

// findDirect looks for the addresses of the ranks, so that one whose agent
// falls silent during a switch is reached at once.
func (l *links) findDirect(ctx context.Context, now time.Time) {
	missing := false
	for _, k := range l.byRank {
		missing = missing || k.directAddr() == ""
	}
	if !missing || now.Sub(l.searched) < findInterval {
		return
	}
	l.searched = now
	items, err := l.items(ctx, l.records.TargetPrefix())
	if err != nil {
		l.log.Warn("targets not read", "error", err.Error())
		return
	}
	var group sync.WaitGroup
	for _, t := range l.targets(items) {
		group.Go(func() {
			r, err := l.engine.Report(ctx, t.Addr)
			if err != nil || r.Group != l.group || r.Rank >= len(l.byRank) {
				return
			}
			k := l.byRank[r.Rank]
			k.mu.Lock()
			k.direct = t.Addr
			k.mu.Unlock()
		})
	}
	group.Wait()
}

func (l *links) targets(items []infra.Item) []routing.Target {
	var out []routing.Target
	for _, it := range items {
		id, _ := l.records.TargetID(it.Key)
		if t, err := l.records.Target(id, it.Value); err == nil && t.Backend == l.backend {
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
func (l *links) orderAll(ctx context.Context, orders []switchover.Order, fencing uint64, copies int, token lease.Token) []orderResult {
	results := make([]orderResult, len(orders))
	var group sync.WaitGroup
	for i, o := range orders {
		group.Go(func() {
			results[i] = orderResult{order: o}
			if now, valid := token.Token(); !valid || now != fencing {
				return
			}
			outcome, err := l.orderOne(ctx, o, fencing, copies)
			results[i].outcome = outcome
			if err != nil {
				results[i].err = err.Error()
			}
		})
	}
	group.Wait()
	return results
}

func (l *links) orderOne(ctx context.Context, o switchover.Order, fencing uint64, copies int) (Outcome, error) {
	if o.Operation == switchover.Hold || o.Operation == switchover.Go {
		return l.orderDirect(ctx, o, fencing, copies)
	}
	k := l.byRank[o.Rank]
	f := &wirepb.RankFrame{Body: &wirepb.RankFrame_Order{Order: encodeOrder(o, fencing, copies)}}
	answer, err := k.call(ctx, l.hello, f, orderTimeout)
	if err == nil {
		r := answer.GetResult()
		if r.GetError() != "" {
			err = errors.New(r.GetError())
		}
		return Outcome(r.GetOutcome()), err
	}
	if direct := k.directAddr(); direct != "" {
		return give(ctx, l.engine, direct, o, fencing, copies)
	}
	return NoReply, err
}

// orderDirect gives an order without the rank's agent. Holds and their release
// go this way, so that no machine that runs a rank is needed to end a hold but
// that of the rank itself.
func (l *links) orderDirect(ctx context.Context, o switchover.Order, fencing uint64, copies int) (Outcome, error) {
	direct := l.byRank[o.Rank].directAddr()
	if direct == "" {
		return Refused, errors.Errorf("address of rank %d is not known", o.Rank)
	}
	return give(ctx, l.engine, direct, o, fencing, copies)
}
