package ranks

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/expertmap/switchover"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// agentQueryTimeout is the timeout of a query to one agent, directQueryTimeout that
	// of one to the rank itself, and agentOrderTimeout that of an order to an agent. The
	// load of the whole group is not known before the last query of a round has ended.
	agentQueryTimeout  = 200 * time.Millisecond
	directQueryTimeout = 200 * time.Millisecond
	agentOrderTimeout  = rankOrderTimeout + 60*time.Millisecond
	// recordRefresh is the interval at which the agents' records are read, and
	// recordRefreshMissing the one while some rank has not reported.
	recordRefresh        = 5 * time.Second
	recordRefreshMissing = time.Second
	// defaultReportAge is the largest age of a report to another machine if the
	// configuration does not name the lag of reports.
	defaultReportAge = time.Second
	// reportAgePerLag is how many times older than the named lag a report may be. A
	// rank updates what it reports at intervals.
	reportAgePerLag = 2
	// addrSearchInterval is the interval of searches for the ranks' addresses.
	addrSearchInterval = time.Second
	// maxGroupSize limits the size of a group that a record may state, 64 times
	// the largest in use. Links of a size from a damaged record could use up the
	// memory.
	maxGroupSize = 4096
)

// maxReportAge returns the largest age of a report that a rank sends to another
// machine.
func maxReportAge(shape *routing.ExpertShape) time.Duration {
	if shape.ReportLag <= 0 {
		return defaultReportAge
	}
	return reportAgePerLag * shape.ReportLag
}

// ItemLister lists the items of the key-value store under a prefix, from a
// cached copy or from the store itself.
type ItemLister func(ctx context.Context, prefix string) ([]infra.Item, error)

// links are the connections to all ranks of a group.
type links struct {
	engine    Engine
	records   Records
	listItems ItemLister
	log       *slog.Logger
	hello     *wirepb.Hello
	group     string
	// maxReportAge is the largest age of a report that a rank sends to another
	// machine.
	maxReportAge time.Duration

	backend     string
	byRank      []*link
	loadedAt    time.Time
	allReported bool
	searchedAt  time.Time
}

// agentRecord is what an agent publishes about itself in the key-value store.
type agentRecord struct {
	Group    string `json:"group"`
	Backend  string `json:"back_end"`
	Rank     int    `json:"rank"`
	Size     int    `json:"size"`
	PeerAddr string `json:"peer_addr"`
	// RankAddr is the address at which the rank receives requests.
	RankAddr string `json:"rank_addr"`
}

const agentsPrefix = "skylarkstep/ranks/"

// DecodeRank decodes the record of an agent. It returns false for other items.
func DecodeRank(key string, value []byte) (routing.RankMember, bool) {
	var r agentRecord
	if !strings.HasPrefix(key, agentsPrefix) || json.Unmarshal(value, &r) != nil || r.RankAddr == "" || r.Group == "" {
		return routing.RankMember{}, false
	}
	return routing.RankMember{Addr: r.RankAddr, Group: r.Group, Rank: r.Rank}, true
}

// DecodeCoordinator decodes the record of a coordinator: its group, and the instance
// on which it runs. It returns false for other items.
func DecodeCoordinator(key string, value []byte) (group, instance string, ok bool) {
	group, ok = strings.CutPrefix(key, coordinatorKeyPrefix)
	instance, _, _ = strings.Cut(string(value), "/")
	return group, instance, ok && group != "" && instance != ""
}

func groupPrefix(group string) string { return agentsPrefix + group + "/" }

// refreshRecords reads the agents' records if the last read is too long ago.
func (l *links) refreshRecords(ctx context.Context, now time.Time) {
	age := now.Sub(l.loadedAt)
	if !l.loadedAt.IsZero() && (age < recordRefreshMissing || l.allReported && age < recordRefresh) {
		return
	}
	l.loadedAt = now
	items, err := l.listItems(ctx, groupPrefix(l.group))
	if err != nil {
		l.log.Warn("reading agent records failed", "error", err.Error())
		return
	}
	for _, it := range items {
		var r agentRecord
		if err := json.Unmarshal(it.Value, &r); err != nil {
			l.log.Warn("decoding agent record failed", "key", it.Key, "error", err.Error())
			continue
		}
		if r.Size < 1 || r.Size > maxGroupSize || r.Rank < 0 || r.Rank >= r.Size {
			l.log.Warn("agent record not valid", "key", it.Key, "rank", r.Rank, "size", r.Size)
			continue
		}
		l.resize(r.Size)
		l.backend = r.Backend
		l.byRank[r.Rank].setAgentAddr(r.PeerAddr)
		l.byRank[r.Rank].advertisedAddr = r.RankAddr
	}
}

// resize replaces the links if the size of the group has changed.
func (l *links) resize(size int) {
	if size == len(l.byRank) {
		return
	}
	l.byRank = make([]*link, size)
	for i := range l.byRank {
		l.byRank[i] = &link{}
	}
}

// queryAll queries all ranks concurrently. The report of a rank that did not
// reply has State.Reported unset.
func (l *links) queryAll(ctx context.Context, q ReportQuery) []Report {
	l.refreshRecords(ctx, time.Now())
	reports := make([]Report, len(l.byRank))
	var wg sync.WaitGroup
	wg.Go(func() { l.findRankAddrs(ctx, time.Now()) })
	for i, k := range l.byRank {
		wg.Go(func() {
			r, err := l.queryOne(ctx, k, q)
			if err == nil && r.Rank == i && r.Group == l.group {
				reports[i] = r
			} else if err != nil {
				l.log.Info("query of rank failed", "rank", i, "direct", k.directAddr(), "error", err.Error())
			}
		})
	}
	wg.Wait()
	l.allReported = len(reports) > 0
	for i := range reports {
		if !reports[i].State.Reported {
			reports[i].Rank, l.allReported = i, false
		}
	}
	return reports
}

// queryOne queries a rank through its agent, or directly if the agent does not
// reply. A direct query does not read counts, and its report is older.
func (l *links) queryOne(ctx context.Context, k *link, q ReportQuery) (Report, error) {
	sentAt := time.Now()
	var f wirepb.RankFrame
	f.Body = &wirepb.RankFrame_Question{Question: &wirepb.RankQuestion{Counts: q.Counts, Placement: q.Placement}}
	reply, err := k.roundTrip(ctx, l.hello, &f, agentQueryTimeout)
	if err == nil {
		s := reply.GetState()
		if s == nil || s.GetError() != "" {
			return Report{}, errors.Errorf("agent: %s", s.GetError())
		}
		r := decodeReport(s)
		r.State.AsOf = sentAt
		return r, nil
	}
	if direct := k.directAddr(); direct != "" {
		sentAt = time.Now()
		ctx, cancel := context.WithTimeout(ctx, directQueryTimeout)
		defer cancel()
		r, err := queryRank(ctx, l.engine, direct, ReportQuery{Placement: q.Placement})
		r.State.AsOf = sentAt.Add(-l.maxReportAge)
		if err != nil {
			k.forgetRankAddr()
		}
		return r, err
	}
	return Report{}, err
}

// findRankAddrs looks for the ranks' own addresses among the targets of the
// back end, so that a rank whose agent becomes unresponsive during a switch is
// reached at once.
func (l *links) findRankAddrs(ctx context.Context, now time.Time) {
	missing := false
	for _, k := range l.byRank {
		missing = missing || k.directAddr() == ""
	}
	if !missing || now.Sub(l.searchedAt) < addrSearchInterval {
		return
	}
	l.searchedAt = now
	items, err := l.listItems(ctx, l.records.TargetPrefix())
	if err != nil {
		l.log.Warn("reading target entries failed", "error", err.Error())
		return
	}
	var wg sync.WaitGroup
	for _, t := range l.backendTargets(items) {
		wg.Go(func() {
			r, err := l.engine.Report(ctx, t.Addr)
			if err != nil || r.Group != l.group || r.Rank < 0 || r.Rank >= len(l.byRank) {
				return
			}
			k := l.byRank[r.Rank]
			k.mu.Lock()
			k.rankAddr = t.Addr
			k.mu.Unlock()
		})
	}
	wg.Wait()
}

func (l *links) backendTargets(items []infra.Item) []routing.Target {
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

// sendOrders sends orders to several ranks concurrently. The token is checked
// before each order, since the process may have been paused.
func (l *links) sendOrders(ctx context.Context, orders []switchover.Order, fencing uint64, duplicates int, token lease.Token) []orderResult {
	results := make([]orderResult, len(orders))
	var wg sync.WaitGroup
	for i, o := range orders {
		wg.Go(func() {
			results[i] = orderResult{order: o}
			if now, valid := token.Token(); !valid || now != fencing {
				results[i].outcome = NotSent
				return
			}
			outcome, err := l.sendOrder(ctx, o, fencing, duplicates)
			results[i].outcome = outcome
			if err != nil {
				results[i].err = err.Error()
			}
		})
	}
	wg.Wait()
	return results
}

// sendOrder sends an order through the agent of the rank, or directly to the rank
// if the agent does not reply. A Hold order is always sent directly, so that the
// coordinator needs no other process to release the held step, and a Go order if
// the address of the rank is known.
func (l *links) sendOrder(ctx context.Context, o switchover.Order, fencing uint64, duplicates int) (Outcome, error) {
	k := l.byRank[o.Rank]
	direct := k.directAddr()
	switch {
	case o.Operation == switchover.Hold && direct == "":
		return Refused, errors.Errorf("address of rank %d is not known", o.Rank)
	case o.Operation == switchover.Hold, o.Operation == switchover.Go && direct != "":
		return sendToRank(ctx, l.engine, direct, o, fencing, duplicates)
	}
	f := &wirepb.RankFrame{Body: &wirepb.RankFrame_Order{Order: encodeOrder(o, fencing, duplicates)}}
	reply, err := k.roundTrip(ctx, l.hello, f, agentOrderTimeout)
	if err == nil {
		r := reply.GetResult()
		if r.GetError() != "" {
			err = errors.New(r.GetError())
		}
		return decodeOutcome(r), err
	}
	if direct != "" {
		return sendToRank(ctx, l.engine, direct, o, fencing, duplicates)
	}
	return NoReply, err
}
