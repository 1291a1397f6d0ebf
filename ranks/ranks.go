package ranks

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/ctxtime"
	"github.com/skylarkstep/skylarkstep/lease"
	"github.com/skylarkstep/skylarkstep/routing"
	"github.com/skylarkstep/skylarkstep/wire/wirepb"
)

const (
	// joinPollInterval is the interval at which a rank that belongs to no group
	// is polled.
	joinPollInterval = 500 * time.Millisecond
	// recordTTL and recordRenewInterval are the lease times of an agent's
	// record. A renewal also shows that the store was restored and lacks the
	// record, which must be back within 2 s.
	recordTTL           = 8 * time.Second
	recordRenewInterval = 1500 * time.Millisecond
	// memberCheckInterval is the interval of checks whether the rank still has
	// the same group, number and group size.
	memberCheckInterval = 2 * time.Second
)

// Records decodes keys and values of the key-value store.
type Records interface {
	ConfigKey() string
	Config(value []byte) (*routing.Config, error)
	TargetPrefix() string
	TargetID(key string) (string, bool)
	Target(id string, value []byte) (routing.Target, error)
}

// AgentOptions are the settings of an agent.
type AgentOptions struct {
	Instance   string
	DataCentre string
	// RankAddr is the address of the agent's rank, and Backend the back end
	// that the rank serves.
	RankAddr, Backend string
	PeerAddr          string
	KV                infra.KV
	Records           Records
	Engine            Engine
	Log               *slog.Logger
}

// RunAgent serves coordinators on l and publishes the agent's record while the
// rank belongs to a group. It returns when ctx ends.
func RunAgent(ctx context.Context, o AgentOptions, l net.Listener) error {
	a := &agent{
		engine: o.Engine, rankAddr: o.RankAddr, log: o.Log, startedAt: time.Now(),
		hello: &wirepb.Hello{Instance: o.Instance, Role: "rank", DataCentre: o.DataCentre},
	}
	var wg sync.WaitGroup
	wg.Go(func() { a.serve(ctx, l) })
	for ctx.Err() == nil {
		r, err := o.Engine.Report(ctx, o.RankAddr)
		if err != nil || r.Group == "" {
			ctxtime.Sleep(ctx, joinPollInterval)
			continue
		}
		runMember(ctx, o, a, r)
	}
	_ = l.Close()
	wg.Wait()
	return nil
}

// runMember publishes the agent's record and recovers unfinished switches. It
// returns when ctx ends or the rank's group, number or group size has changed.
func runMember(ctx context.Context, o AgentOptions, a *agent, r Report) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	o.Log.Info("rank joined", "group", r.Group, "rank", r.Rank, "size", r.Size, "addr", o.RankAddr)
	value, err := json.Marshal(agentRecord{Group: r.Group, Backend: o.Backend, Rank: r.Rank, Size: r.Size, PeerAddr: o.PeerAddr, RankAddr: o.RankAddr})
	if err != nil {
		panic(err) // a struct of numbers and strings always encodes
	}
	key := groupPrefix(r.Group) + fmt.Sprint(r.Rank)
	record := lease.Record{
		KV: o.KV, Key: key, Value: value, TTL: recordTTL, RenewInterval: recordRenewInterval,
		OnLost: func() { o.Log.Warn("own record lost, writing it again", "key", key) },
	}
	wg.Go(func() { record.Run(ctx) })
	wg.Go(func() { recoverSwitch(ctx, o, a, r) })
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, memberCheckInterval)
		if current, err := o.Engine.Report(ctx, o.RankAddr); err == nil && (current.Group != r.Group || current.Rank != r.Rank || current.Size != r.Size) {
			return
		}
	}
}
