package ranks

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// candidateAfter is how long no coordinator must have asked before an agent
	// competes for the lease; rankStagger adds to it for each rank, so that
	// mostly one does.
	candidateAfter = 1200 * time.Millisecond
	rankStagger    = 400 * time.Millisecond
	// learnPause is the pause between looks at a rank that belongs to no group.
	learnPause = 500 * time.Millisecond
	// recordTTL and recordRenew are the times of an agent's record.
	recordTTL   = 8 * time.Second
	recordRenew = 2500 * time.Millisecond
)

// coordinatorTimes are short, since a group that is held waits for the next
// coordinator. Ranks check fencing numbers, so no wait is needed.
var coordinatorTimes = lease.Times{TTL: 3 * time.Second, Renew: time.Second, Margin: 500 * time.Millisecond}

// Records decodes the items of the key-value service.
type Records interface {
	ConfigKey() string
	Config(value []byte) (*routing.Config, error)
	TargetPrefix() string
	TargetID(key string) (string, bool)
	Target(id string, value []byte) (routing.Target, error)
}

// Options describe one process.
type Options struct {
	Instance   string
	DataCentre string
	// RankAddr is the rank beside the process, and Backend its back end.
	RankAddr, Backend string
	PeerAddr          string
	KV                infra.KV
	Records           Records
	Engine            Engine
	Log               *slog.Logger
}

// Run serves until ctx ends.
func Run(ctx context.Context, o Options, l net.Listener) error {
	a := &agent{
		engine: o.Engine, addr: o.RankAddr, log: o.Log, began: time.Now(),
		hello: &wirepb.Hello{Instance: o.Instance, Role: "rank", DataCentre: o.DataCentre},
	}
	var group sync.WaitGroup
	group.Go(func() { a.serve(ctx, l) })
	for ctx.Err() == nil {
		r, err := o.Engine.Report(ctx, o.RankAddr)
		if err != nil || r.Group == "" {
			sleep(ctx, learnPause)
			continue
		}
		runMember(ctx, o, a, r)
	}
	_ = l.Close()
	group.Wait()
	return nil
}

// runMember serves a rank of a group until ctx ends or the rank belongs to
// another group.
func runMember(ctx context.Context, o Options, a *agent, r Report) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	o.Log.Info("rank joined", "group", r.Group, "rank", r.Rank, "size", r.Size, "addr", o.RankAddr)
	value, err := json.Marshal(agentRecord{Rank: r.Rank, PeerAddr: o.PeerAddr})
	if err != nil {
		panic(err) // a number and a string always encode
	}
	record := lease.Record{KV: o.KV, Key: groupPrefix(r.Group) + fmt.Sprint(r.Rank), Value: value, TTL: recordTTL, Renew: recordRenew}
	group.Go(func() { record.Run(ctx) })
	holder := lease.New(lease.Options{
		KV: o.KV, Key: "skylarkstep/coordinators/" + r.Group, Holder: o.Instance + "/" + a.began.String(), Times: coordinatorTimes,
		Candidate: func() bool { return a.quiet() > candidateAfter+time.Duration(r.Rank)*rankStagger },
		Taken:     func(n uint64) { o.Log.Info("lease taken", "group", r.Group, "fencing", n) },
		Lost: func(n uint64, reason string) {
			o.Log.Info("lease lost", "group", r.Group, "fencing", n, "reason", reason)
		},
	})
	group.Go(func() { holder.Run(ctx) })
	links := &links{o: o, log: o.Log, own: a, group: r.Group, rank: r.Rank}
	coordinate(ctx, o, holder, links)
}

// coordinate runs rounds while this process holds the lease.
func coordinate(ctx context.Context, o Options, holder *lease.Holder, l *links) {
	var c *coordinator
	for ctx.Err() == nil {
		if _, valid := holder.Token(); !valid {
			c = nil
			sleep(ctx, roundPause)
			continue
		}
		if c == nil {
			shape, err := readShape(ctx, o)
			if err != nil || shape == nil {
				o.Log.Warn("shape of the group not known", "error", fmt.Sprint(err))
				sleep(ctx, learnPause)
				continue
			}
			c = newCoordinator(o.Log, holder, l, shape)
		}
		sleep(ctx, c.round(ctx))
	}
}

// readShape reads the shape of the back end's groups from the configuration.
func readShape(ctx context.Context, o Options) (*routing.ExpertShape, error) {
	it, _, err := o.KV.Get(ctx, o.Records.ConfigKey())
	if err != nil {
		return nil, err
	}
	cfg, err := o.Records.Config(it.Value)
	if err != nil {
		return nil, err
	}
	for _, b := range cfg.Backends {
		if b.Name == o.Backend {
			return b.Experts, nil
		}
	}
	return nil, errors.Errorf("configuration has no back end %q", o.Backend)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
