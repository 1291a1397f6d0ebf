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
	// learnPause is the pause between looks at a rank that belongs to no group.
	learnPause = 500 * time.Millisecond
	// recordTTL and recordRenew are the times of an agent's record.
	recordTTL   = 8 * time.Second
	recordRenew = 2500 * time.Millisecond
	// memberCheck is the pause between looks whether the rank's group is the same.
	memberCheck = 2 * time.Second
)

// Records decodes the items of the key-value service.
type Records interface {
	ConfigKey() string
	Config(value []byte) (*routing.Config, error)
	TargetPrefix() string
	TargetID(key string) (string, bool)
	Target(id string, value []byte) (routing.Target, error)
}

// AgentOptions describe the process beside a rank.
type AgentOptions struct {
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

// RunAgent serves until ctx ends.
func RunAgent(ctx context.Context, o AgentOptions, l net.Listener) error {
	a := &agent{
		engine: o.Engine, addr: o.RankAddr, log: o.Log, began: time.Now(),
		hello: &wirepb.Hello{Instance: o.Instance, Role: "rank", DataCentre: o.DataCentre},
	}
	var group sync.WaitGroup
	group.Go(func() { a.serve(ctx, l) })
	for ctx.Err() == nil {
		r, err := o.Engine.Report(ctx, o.RankAddr)
		if err != nil || r.Group == "" {
			ctxtime.Sleep(ctx, learnPause)
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
func runMember(ctx context.Context, o AgentOptions, a *agent, r Report) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	o.Log.Info("rank joined", "group", r.Group, "rank", r.Rank, "size", r.Size, "addr", o.RankAddr)
	value, err := json.Marshal(agentRecord{Group: r.Group, Backend: o.Backend, Rank: r.Rank, Size: r.Size, PeerAddr: o.PeerAddr, RankAddr: o.RankAddr})
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	record := lease.Record{KV: o.KV, Key: groupPrefix(r.Group) + fmt.Sprint(r.Rank), Value: value, TTL: recordTTL, RenewInterval: recordRenew}
	group.Go(func() { record.Run(ctx) })
	group.Go(func() { rescue(ctx, o, a, r) })
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, memberCheck)
		if now, err := o.Engine.Report(ctx, o.RankAddr); err == nil && (now.Group != r.Group || now.Rank != r.Rank || now.Size != r.Size) {
			return
		}
	}
}
